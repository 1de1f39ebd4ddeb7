"""Stand-in for a backend, as PROTOCOL.md describes it."""

import asyncio
import time

from kit2.http import build_response, read_message

__all__ = ["Backend"]


class Backend:
    """A backend with an identity and a queue.

    Parameters
    ----------
    identity, service, zone : str
        What stands in its entry.
    record : callable
        Called with (time, event, backend's identity, attempt) for the record.
    work_seconds : float
        Time of each request.
    slots : int
        Requests that it works on at a time.
    """

    def __init__(self, identity, service, zone, record, work_seconds=0.02, slots=3):
        self.identity, self.service, self.zone = identity, service, zone
        self.record = record
        self.work_seconds = work_seconds
        self.slots = slots
        self.running = self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        self.server = None
        self.address = ""
        self.sequence = 0
        self.state = "ready"

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    @property
    def entry(self):
        """Its entry in the store."""
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "warmup_left_ms": 0, "sequence": self.sequence,
        }  # fmt: skip

    async def enter(self, store):
        """Write its entry; return the time of the ack."""
        self.sequence += 1
        return await store.write(f"servers/{self.identity}", self.entry)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    def build_headers(self, request):
        """Return the headers of an answer."""
        load = f"{self.running},{self.waiting},{self.slots},100"
        headers = [("X-Server-Load", load), ("X-Instance-Id", self.identity)]
        attempt = request.get("x-attempt-id")
        if attempt is not None:
            headers.append(("X-Attempt-Id", attempt))
        return headers

    async def handle(self, request, writer):
        """Answer a request."""
        if request.first[1] == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(build_response(status, self.build_headers(request)))
            return
        if request.get("x-target-instance", self.identity) != self.identity:
            headers = [*self.build_headers(request), ("X-Not-Executed", "1")]
            writer.write(build_response("421 Misdirected Request", headers))
            return
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.running += 1
            self.record(time.monotonic(), "run", self.identity, request)
            try:
                await self.work(request)
            finally:
                self.running -= 1
        await self.answer(request, writer)

    async def work(self, request):
        """Work on a request."""
        await asyncio.sleep(self.work_seconds)

    async def answer(self, request, writer):
        """Send the answer of a request that has run."""
        headers = [*self.build_headers(request), ("X-Response-Seal", self.identity)]
        writer.write(build_response("200 OK", headers, self.identity.encode()))
