"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from kit2.http import build_response, read_message

__all__ = ["Store"]

PAGE = 500
HISTORY_SECONDS = 20.0


class Store:
    """A linearizable key-value store with leases and watches.

    Parameters
    ----------
    stale_seconds : float
        Age of what reads with ``serializable=1`` return.

    Attributes
    ----------
    is_busy : bool
        Whether it answers all calls with 503.
    """

    def __init__(self, stale_seconds=0.0):
        self.stale_seconds = stale_seconds
        self.items = {}
        self.revision = 0
        self.leases = {}
        self.next_lease = 70000
        # Times, revisions and events of all changes.
        self.log = []
        self.changed = asyncio.Condition()
        self.is_busy = False
        self.server = None
        self.address = ""
        self.calls = 0

    async def start(self, host="127.0.0.1", port=0):
        """Listen on an address."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self._expire())

    async def write(self, key, content):
        """Write an item for the operator or a backend; return the ack's time."""
        self._put(key, base64.b64encode(json.dumps(content).encode()).decode(), 0)
        await self._notify()
        return time.monotonic()

    async def remove(self, key):
        """Remove an item; return the time of the ack."""
        self._remove(key)
        await self._notify()
        return time.monotonic()

    async def end_leases(self):
        """End all leases, as if they had run out."""
        for lease in list(self.leases):
            await self._end_lease(lease)

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = dict(key=key, value=value, revision=self.revision)
        item.update(created=created, lease=lease)
        self.items[key] = item
        self.log.append((time.monotonic(), item))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = dict(key=key, revision=self.revision, deleted=True)
            self.log.append((time.monotonic(), event))

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._remove(key)
        await self._notify()

    def _view(self, is_stale):
        """Return items and revision, as they were for a stale read."""
        if not is_stale or not self.stale_seconds:
            return self.items, self.revision
        until = time.monotonic() - self.stale_seconds
        items, revision = {}, 0
        for at, event in self.log:
            # The first second is known to all: the store had it before.
            if at > until and revision:
                break
            revision = event["revision"]
            if event.get("deleted"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items, revision

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                self.calls += 1
                target = urlsplit(request.first[1])
                query = {k: v[0] for k, v in parse_qs(target.query).items()}
                body = json.loads(request.body or b"{}")
                status, content = await self._handle(target.path, query, body)
                data = json.dumps(content).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(build_response(status, headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, path, query, body):
        if self.is_busy:
            return "503 Service Unavailable", {}
        name, _, tail = path.removeprefix("/api/kv-").partition("/")
        method = getattr(self, "_do_" + name.replace("-", "_"))
        return await method(query, body, tail)

    async def _do_key(self, query, body, tail):
        items, revision = self._view(query.get("serializable") == "1")
        item = items.get(query["key"])
        status = "200 OK" if item else "404 Not Found"
        return status, {**(item or {}), "store_revision": revision}

    async def _do_range(self, query, body, tail):
        items, revision = self._view(query.get("serializable") == "1")
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        content = dict(items=[items[k] for k in keys[:PAGE]])
        content.update(truncated=len(keys) > PAGE, store_revision=revision)
        return "200 OK", content

    async def _do_watch(self, query, body, tail):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until = time.monotonic() + min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while True:
            events = [
                event
                for _, event in self.log
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if self.is_busy:
                return "503 Service Unavailable", {}
            if events or left <= 0:
                return "200 OK", dict(events=events, store_revision=self.revision)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _do_lease(self, query, body, tail):
        self.next_lease += 1
        ttl = int(body["ttl_ms"])
        self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
        return "200 OK", dict(lease=self.next_lease, ttl_ms=ttl)

    async def _do_keep(self, query, body, tail):
        if int(tail) not in self.leases:
            return "404 Not Found", {}
        ttl = self.leases[int(tail)][1]
        self.leases[int(tail)] = (time.monotonic() + ttl / 1000, ttl)
        return "200 OK", dict(ttl_ms=ttl)

    async def _do_lease_end(self, query, body, tail):
        await self._end_lease(int(tail))
        return "200 OK", {}

    async def _do_txn(self, query, body, tail):
        rows = body.get("expected_rev", [])
        found = [self.items.get(row["key"]) for row in rows]
        revisions = [item["revision"] if item else 0 for item in found]
        if revisions != [row["revision"] for row in rows]:
            return "412 Precondition Failed", dict(items=[i for i in found if i])
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return "404 Not Found", {}
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        await self._notify()
        return "200 OK", dict(revision=self.revision)
