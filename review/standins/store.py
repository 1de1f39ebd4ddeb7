"""A stand-in process for the platform's store: ``python3 store.py``.

It prints its address. The operator and the backends write by ``PUT /own?key=K``, with
``beat=1`` for an entry that disappears after three silent heartbeats, and remove by
``DELETE /own?key=K``. ``PUT /state?down=1`` makes it answer 503 to all calls until
``down=0``; with ``lapse=1`` all leases end at that moment.
"""

import asyncio
import base64
import json
import os
import time

from http11 import Response, serve

HEARTBEAT_SECONDS = 1.5
PAGE_ITEMS = 500
SWEEP_SECONDS = 0.1


class Store:
    """Items, leases and events of the store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 0
        self.leases = {}
        self.beats = {}
        self.last_lease = 0
        self.is_down = False
        self.changed = asyncio.Condition()

    def put(self, key, value, lease=0):
        """Write an item, given as base64 text."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append(event)

    async def notify(self):
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()

    async def sweep(self):
        """Remove what has lapsed."""
        while os.getppid() != 1:
            await asyncio.sleep(SWEEP_SECONDS)
            now = time.monotonic()
            revision = self.revision
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    self.end_lease(lease)
            for key, at in list(self.beats.items()):
                if now - at > 3 * HEARTBEAT_SECONDS:
                    del self.beats[key]
                    self.remove(key)
            if self.revision != revision:
                await self.notify()

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def handle(self, request):
        """Answer one call."""
        if request.path == "/own":
            return await self.write_own(request)
        if request.path == "/state":
            return await self.set_state(request.query)
        if self.is_down:
            return Response(503, {}, b"{}")
        name, _, tail = request.path.removeprefix("/api/kv-").partition("/")
        body = json.loads(request.body or b"{}")
        revision = self.revision
        status, content = await getattr(self, name.replace("-", "_"))(
            request.query, body, tail
        )
        if self.revision != revision:
            await self.notify()
        data = json.dumps(content).encode()
        return Response(status, {"Content-Type": "application/json"}, data)

    async def set_state(self, query):
        """Go down or come back; let all leases end."""
        self.is_down = query.get("down") == "1"
        if "lapse" in query:
            for lease in list(self.leases):
                self.end_lease(lease)
            await self.notify()
        return Response(200, {}, b"{}")

    async def write_own(self, request):
        """Write or remove a key of the operator or of a backend."""
        key = request.query["key"]
        if request.method == "DELETE":
            self.beats.pop(key, None)
            self.remove(key)
        else:
            self.put(key, base64.b64encode(request.body).decode())
            if "beat" in request.query:
                self.beats[key] = time.monotonic()
        await self.notify()
        return Response(200, {}, b"{}")

    async def key(self, query, body, tail):
        """Read one key."""
        item = self.items.get(query["key"])
        content = {**(item or {}), "store_revision": self.revision}
        return (200 if item else 404), content

    async def range(self, query, body, tail):
        """Read the keys of a prefix."""
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return 200, {
            "items": items,
            "truncated": truncated,
            "store_revision": self.revision,
        }

    async def watch(self, query, body, tail):
        """Wait for events."""
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1000

        def find():
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        events = find()
        while not events and time.monotonic() < until:
            async with self.changed:
                try:
                    left = until - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), max(0.0, left))
                except TimeoutError:
                    break
            events = find()
        return 200, {"events": events, "store_revision": self.revision}

    async def lease(self, query, body, tail):
        """Grant a lease."""
        self.last_lease += 1
        seconds = body["ttl_ms"] / 1000
        self.leases[self.last_lease] = (time.monotonic() + seconds, seconds)
        return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}

    async def keep(self, query, body, tail):
        """Renew a lease."""
        lease = int(tail)
        if lease not in self.leases:
            return 404, {}
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_ms": round(seconds * 1000)}

    async def lease_end(self, query, body, tail):
        """End a lease."""
        self.end_lease(int(tail))
        return 200, {}

    async def txn(self, query, body, tail):
        """Do all entries or none."""
        found = []
        for row in body.get("expected_rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found.append(item or {"key": row["key"], "revision": 0})
        if found:
            return 412, {"items": found}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


async def main():
    """Serve until the parent process ends."""
    store = Store()
    _, address = await serve(store.handle)
    print(address, flush=True)
    await store.sweep()


if __name__ == "__main__":
    asyncio.run(main())
