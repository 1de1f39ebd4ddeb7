"""A stand-in of a backend, as PROTOCOL.md describes it."""

import asyncio
import itertools
import socket
from contextlib import suppress

from kit3.http import build_answer, read_body, read_head

__all__ = ["Backend"]

INCARNATIONS = itertools.count(1)
HEARTBEAT_SECONDS = 1.5
QUEUE = 12


class Backend:
    """One backend, which enters itself in the store.

    Parameters
    ----------
    store : Store
        The store.
    service, zone : str
        Its service and zone.
    work : coroutine function
        Called with the backend, the request's Message, body, and a writer; it writes
        the answer's bytes.
    record : callable
        Called with the words of each line of the record.
    slots : int
        Requests that run at a time.
    """

    def __init__(self, store, service, zone, work, record, slots=3):
        self.store = store
        self.service = service
        self.zone = zone
        self.work = work
        self.record = record
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self.address = ""
        self.identity = ""
        self._server = None
        self._free = None
        self._beats = None

    async def start(self):
        """Listen on a free port, and enter this backend in the store."""
        self.identity = f"i-{next(INCARNATIONS):04x}"
        self._free = asyncio.Semaphore(self.slots)
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.address = "127.0.0.1:%d" % sock.getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        for sequence in itertools.count(1):
            self._enter("ready", sequence)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _enter(self, state, sequence):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": sequence,
        }
        self.store.put(f"servers/{self.identity}", entry)

    def describe_load(self):
        """Return the value of X-Server-Load."""
        return f"{self.running},{self.waiting},{self.slots}"

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await self._handle(head, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with suppress(RuntimeError):
                writer.close()

    async def _handle(self, head, reader, writer):
        method, target, _ = head.first.split(" ")
        load = ("X-Server-Load", self.describe_load())
        if target == "/health":
            fields = [("X-Instance-Id", self.identity), load]
            writer.write(build_answer(200, "-", fields))
            await writer.drain()
            return
        attempt = head.get("x-attempt-id", "")
        named = [("X-Attempt-Id", attempt)]
        wanted = head.get("x-target-instance")
        if not attempt or wanted not in (None, self.identity):
            await read_body(reader, head)
            status = 421 if attempt else 400
            fields = [*named, ("X-Instance-Id", self.identity), ("X-Not-Executed", "1")]
            writer.write(build_answer(status, "-", fields))
            await writer.drain()
            return
        if self.waiting >= QUEUE:
            await read_body(reader, head)
            fields = [*named, load, ("X-Not-Executed", "1")]
            writer.write(build_answer(503, "-", fields))
            await writer.drain()
            return
        body = await read_body(reader, head)
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.record("runs", self.identity, attempt, method, target)
        try:
            await self.work(self, head, body, writer)
        finally:
            self.running -= 1
            self._free.release()
        await writer.drain()
