"""A stand-in for a backend: ``backend.py ID SERVICE ZONE STORE RECORD OPTIONS``.

It prints its address, and keeps its entry in the store. The last part of a path says
what a request costs: ``/any/WORK-BYTES`` works for WORK ms and answers with BYTES
bytes. RECORD gets a line for each start and end of a request, each refusal and each
surplus answer, with the time on the machine's monotonic clock. OPTIONS is JSON:

bandwidth : bytes a second of its link for answers, 0 for no limit
queue : requests that wait for a slot; more are refused
reports_load : whether answers carry X-Server-Load
surplus : share of the answers that are sent a second time, late
surplus_seconds, pause_seconds : how long that lasts, and the pause until it comes again
"""

import asyncio
import hashlib
import json
import os
import random
import sys
import time

from http11 import Response, serve

SLOTS = 3
QUEUE = 12
BEAT_SECONDS = 1.5
MAX_SURPLUS_SECONDS = 0.3
SEGMENT_BYTES = 8192


class Backend:
    """Runs requests in slots."""

    def __init__(self, instance, service, zone, store, record, options):
        options = json.loads(options)
        self.bandwidth = options.get("bandwidth", 0)
        self.queue = options.get("queue", QUEUE)
        self.reports_load = options.get("reports_load", True)
        self.surplus = options.get("surplus", 0.0)
        self.surplus_seconds = options.get("surplus_seconds", 5.0)
        self.pause_seconds = options.get("pause_seconds", 1.0)
        self.rng = random.Random(instance)
        self.instance = instance
        self.service = service
        self.zone = zone
        self.store = store
        self.record = open(record, "a", buffering=1)
        self.link = asyncio.Lock()
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.address = ""

    def note(self, what, attempt):
        """Add a line to the record; the start says also what was received."""
        line = f"{time.monotonic():.4f} {self.instance} {what} {attempt}\n"
        self.record.write(line)

    def get_load(self):
        """Return the header with the load, if it is reported."""
        if not self.reports_load:
            return {}
        return {"X-Server-Load": f"{self.running},{self.waiting},{SLOTS},100"}

    async def handle(self, request):
        """Answer one request."""
        if request.path == "/health":
            return Response(200, {"X-Instance-Id": self.instance, **self.get_load()})
        attempt = request.headers.get("x-attempt-id", "")
        if not attempt:
            return Response(400, {"X-Not-Executed": "1"})
        own = {"X-Attempt-Id": attempt}
        if request.headers.get("x-target-instance", self.instance) != self.instance:
            headers = {**own, "X-Instance-Id": self.instance, "X-Not-Executed": "1"}
            return Response(421, headers)
        if self.running >= SLOTS and self.waiting >= self.queue:
            self.note("refused", attempt)
            headers = {**own, **self.get_load(), "X-Not-Executed": "1"}
            return Response(503, headers, b"", self.draw_surplus(attempt))
        return await self.run(request, attempt, own)

    async def run(self, request, attempt, own):
        """Run a request in a slot; note if its caller leaves."""
        work, size = map(int, request.path.rpartition("/")[2].split("-"))
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        digest = hashlib.sha256(request.body).hexdigest()[:16]
        sent = f"{request.method} {request.target} {len(request.body)} {digest}"
        self.note("start", f"{attempt} {sent}")
        try:
            await asyncio.sleep(work / 1000)
        except asyncio.CancelledError:
            self.note("left", attempt)
            raise
        finally:
            self.running -= 1
            self.slots.release()
        self.note("end", attempt)
        body = (attempt.encode() * (size // len(attempt) + 1))[:size]
        seal = f"{self.instance}.{attempt}.{size}"
        headers = {**own, **self.get_load(), "X-Response-Seal": seal}
        return Response(200, headers, body, self.draw_surplus(attempt))

    def draw_surplus(self, attempt):
        """Return the seconds after which an answer is sent again, or None."""
        period = self.surplus_seconds + self.pause_seconds
        if time.monotonic() % period >= self.surplus_seconds:
            return None
        if self.rng.random() >= self.surplus:
            return None
        self.note("surplus", attempt)
        return self.rng.uniform(0.0, MAX_SURPLUS_SECONDS)

    async def send(self, writer, data):
        """Send an answer over the link that all connections share."""
        for begin in range(0, len(data), SEGMENT_BYTES):
            part = data[begin : begin + SEGMENT_BYTES]
            if self.bandwidth:
                async with self.link:
                    await asyncio.sleep(len(part) / self.bandwidth)
            writer.write(part)
            await writer.drain()

    async def beat(self):
        """Write the entry at each heartbeat."""
        host, port = self.store.split(":")
        while os.getppid() != 1:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": self.sequence,
            }
            data = json.dumps(entry).encode()
            head = f"PUT /own?key=servers/{self.instance}&beat=1 HTTP/1.1\r\n"
            head += f"Host: s\r\nConnection: close\r\nContent-Length: {len(data)}\r\n"
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + b"\r\n" + data)
                await reader.read()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(BEAT_SECONDS)


async def main():
    """Serve until the parent process ends."""
    backend = Backend(*sys.argv[1:])
    _, backend.address = await serve(backend.handle, send=backend.send)
    print(backend.address, flush=True)
    await backend.beat()


if __name__ == "__main__":
    asyncio.run(main())
