"""A stand-in of a backend, as PROTOCOL.md describes it."""

import asyncio
import itertools
import socket
from functools import partial

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
        self.read = read_body
        self.running = 0
        self.waiting = 0
        self.address = ""
        self.identity = ""
        self.is_dark = False
        self.is_failed = False
        self._dark_lifetimes = set()
        self._server = None
        self._free = None
        self._beats = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Begin a new lifetime, on the same port after the first one."""
        self.identity = f"i-{next(INCARNATIONS):04x}"
        self.running = self.waiting = 0
        self.is_dark = False
        self._free = asyncio.Semaphore(self.slots)
        port = int(self.address.rpartition(":")[2] or 0)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.bind(("127.0.0.1", port))
        serve = partial(self._serve, self.identity)
        self._server = await asyncio.start_server(serve, sock=sock)
        self.address = "127.0.0.1:%d" % sock.getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        for sequence in itertools.count(1):
            if not self.is_dark:
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

    def kill(self):
        """Crash as a killed process does: all connections are reset or closed."""
        self._beats.cancel()
        self._server.close()
        self.identity = ""
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def go_dark(self):
        """Crash silently: nothing is answered any more, on any connection."""
        self.is_dark = True
        self._dark_lifetimes.add(self.identity)
        self._beats.cancel()
        for task in list(self._tasks):
            task.cancel()

    async def return_from_dark(self):
        """Begin a new lifetime; the machine's old connections stay silent."""
        self._server.close()
        self.store.remove(f"servers/{self.identity}")
        await self.start()

    def describe_load(self):
        """Return the value of X-Server-Load."""
        return f"{self.running},{self.waiting},{self.slots}"

    async def _serve(self, lifetime, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while lifetime == self.identity and not self.is_dark:
                head = await read_head(reader)
                if head is None or self.is_dark or lifetime != self.identity:
                    break
                if not await self._handle(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            if lifetime in self._dark_lifetimes:
                # A machine that went dark closes nothing.
                SILENT.append((reader, writer))
            elif lifetime != self.identity:
                writer.transport.abort()
            else:
                writer.close()

    async def _handle(self, head, reader, writer):
        method, target, _ = head.first.split(" ")
        load = ("X-Server-Load", self.describe_load())
        if target == "/health":
            fields = [("X-Instance-Id", self.identity), load]
            status = 503 if self.is_failed else 200
            writer.write(build_answer(status, "-", fields))
            await writer.drain()
            return True
        attempt = head.get("x-attempt-id", "")
        named = [("X-Attempt-Id", attempt)]
        wanted = head.get("x-target-instance")
        if not attempt or wanted not in (None, self.identity):
            await read_body(reader, head)
            status = 421 if attempt else 400
            fields = [*named, ("X-Instance-Id", self.identity), ("X-Not-Executed", "1")]
            writer.write(build_answer(status, "-", fields))
            await writer.drain()
            return True
        if self.waiting >= QUEUE:
            await read_body(reader, head)
            fields = [*named, load, ("X-Not-Executed", "1")]
            writer.write(build_answer(503, "-", fields))
            await writer.drain()
            return True
        body = await self.read(reader, head)
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
        return True


# Connections of machines that went dark; they must not be closed by the collector.
SILENT = []
