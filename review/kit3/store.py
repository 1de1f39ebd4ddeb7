"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

from kit3.http import build_answer, read_body, read_head

__all__ = ["Store"]

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500


class Store:
    """Keys with one revision counter, watches and leases.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the store.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 0
        self.leases = {}
        self._lease_number = 100
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Write an item; bytes or a JSON document."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._write(key, base64.b64encode(value).decode(), lease)

    def remove(self, key):
        """Remove an item, if it is there."""
        if key in self.items:
            self._delete(key)

    def _write(self, key, text, lease, revision=None):
        revision = revision or self._advance()
        created = self.items.get(key, {}).get("created", revision)
        item = {"key": key, "value": text, "revision": revision}
        item |= {"created": created, "lease": lease}
        self.items[key] = item
        self._note(dict(item))

    def _delete(self, key, revision=None):
        del self.items[key]
        revision = revision or self._advance()
        self._note({"key": key, "revision": revision, "deleted": True})

    def _advance(self):
        self.revision += 1
        return self.revision

    def _note(self, event):
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire(self):
        now = time.monotonic()
        for number, (until, _) in list(self.leases.items()):
            if until < now:
                self._end_lease(number)

    def _end_lease(self, number):
        del self.leases[number]
        for key in [k for k, i in self.items.items() if i["lease"] == number]:
            self._delete(key)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                await asyncio.sleep(ANSWER_SECONDS)
                self._expire()
                status, content = await self._answer(method, target, body)
                data = json.dumps(content).encode()
                fields = [("Content-Type", "application/json")]
                writer.write(build_answer(status, "-", fields, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with suppress(RuntimeError):
                writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            found = {**(item or {}), "store_revision": self.revision}
            return (200 if item else 404), found
        if path == "/api/kv-range":
            return 200, self._list(query)
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(json.loads(body))
        if path == "/api/kv-lease":
            self._lease_number += 1
            ttl = min(600_000, max(1000, json.loads(body)["ttl_ms"]))
            self.leases[self._lease_number] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self._lease_number, "ttl_ms": ttl}
        name, _, number = path.rpartition("/")
        if not number.isdigit() or int(number) not in self.leases:
            return 404, {}
        if name == "/api/kv-keep":
            ttl = self.leases[int(number)][1]
            self.leases[int(number)] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": int(number), "ttl_ms": ttl}
        self._end_lease(int(number))
        return 200, {}

    def _list(self, query):
        after, prefix = query.get("after", ""), query.get("path_prefix", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        is_cut = len(keys) > PAGE_ITEMS
        return {
            "items": items,
            "truncated": is_cut,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            seconds = until - time.monotonic()
            if events or seconds <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), seconds)
            except asyncio.TimeoutError:
                pass

    def _transact(self, call):
        for row in call.get("expected_rev", []):
            known = self.items.get(row["key"], {}).get("revision", 0)
            if known != row["revision"]:
                keys = [r["key"] for r in call["expected_rev"]]
                items = [self.items[k] for k in keys if k in self.items]
                return 412, {"items": items}
        puts, removed = call.get("puts", []), call.get("remove", [])
        for put in puts:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        revision = self._advance()
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0), revision)
        for key in removed:
            if key in self.items:
                self._delete(key, revision)
        return 200, {"revision": revision}
