"""A stand-in for an endpoint: slots, a queue, and faults on demand.

``PUT /standin/faults`` takes a JSON object with any of `FAULTS`. ``GET
/standin/record`` tells how often each request id ran, and counts. The record is
what checkers compare with what callers were told.
"""

import json
import os
import random
import socket
import struct
import sys
import time
from collections import Counter

import eventlet
from eventlet import wsgi
from eventlet.green import socket as green_socket
from eventlet.semaphore import Semaphore

__all__ = ["EndpointApplication", "EndpointServer", "FAULTS"]

FAULTS = {
    "service_ms": "mean time in a slot",
    "slow_factor": "times that",
    "drain": "say that it is leaving",
    "cold": "say that it has just started",
    "away_s": "end now, with all that runs, and start again there after so long",
    "limit": "name so many requests a second that it takes from all nodes",
    "shed_above": "refuse as not run when more than this many are there",
    "rest_s": "ask for so many seconds of rest when it refuses",
    "fail_fast": "answer 500 at once",
    "hang": "never answer",
    "reset_before": "run it, then reset before the first byte",
    "reset_after": "reset in the middle of the body",
    "short": "end the body early",
    "late_ms": "hold the finished answer back",
    "lie_running": "report this load whatever it is",
    "body_bytes": "length of the body",
    "noise_period_s": "slow down once in about so long",
    "noise_length_s": "for so long",
    "noise_factor": "by so much",
    "seed": "start the random source again",
}
SLOTS = 3
SERVICE_MS = 4.0
MOST_CONNECTIONS = 10_000
# Before it ends an endpoint answers who told it to.
ANSWER_SECONDS = 0.01


class EndpointApplication:
    """A WSGI application that takes time in one of few slots."""

    def __init__(self, slots=SLOTS, service_ms=SERVICE_MS, seed=0):
        self.slots = Semaphore(slots)
        self.service_ms = service_ms
        self.faults = {"service_ms": service_ms}
        self.seed = seed
        self.random = random.Random(seed)
        self.running = 0
        self.ran = Counter()
        self.cancelled = 0
        self.probes = 0
        self.probe_times = []
        self.refused = 0
        self.busy_s = 0.0
        self.arrived = 0
        self.arrived_slow = 0
        self.noise_from = 0.0
        self.noise_until = 0.0
        self.start_again = lambda away: None

    def __call__(self, environ, start_response):
        """Answer one request; see PEP 3333."""
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self.handle_standin(path, environ, start_response)
        faults = self.faults
        if faults.get("shed_above") is not None:
            if self.running > faults["shed_above"]:
                return self.shed(start_response)
        if path == "/health":
            self.probes += 1
            self.probe_times.append(time.monotonic())
        return self.run(environ, start_response)

    def handle_standin(self, path, environ, start_response):
        """Set faults or tell the record."""
        if path == "/standin/faults":
            self.faults = json.loads(environ["wsgi.input"].read() or b"{}")
            self.random = random.Random(f"{self.seed} {self.faults.get('seed')}")
            self.noise_from = self.noise_until = 0.0
            if self.faults.get("away_s"):
                self.start_again(self.faults["away_s"])
        content = {
            "ran": self.ran,
            "running": self.running,
            "cancelled": self.cancelled,
            "probes": self.probes,
            "probe_times": self.probe_times,
            "refused": self.refused,
            "busy_s": self.busy_s,
            "arrived": self.arrived,
            "arrived_slow": self.arrived_slow,
        }
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(content).encode()]

    def forget(self):
        """Begin another life, which knows nothing but what has run before it."""
        self.faults = {"service_ms": self.service_ms}
        self.slots = Semaphore(SLOTS)
        self.running = 0

    def shed(self, start_response):
        """Refuse: it did not run."""
        self.refused += 1
        headers = [("Hingesill-Outcome", "not-run"), *self.list_signs()]
        if self.faults.get("rest_s"):
            headers.append(("Retry-After", str(self.faults["rest_s"])))
        start_response("503 Service Unavailable", headers)
        return [b"full\n"]

    def list_signs(self):
        """Return the headers that tell load and state."""
        faults = self.faults
        running = faults.get("lie_running", max(0, self.running))
        signs = [("Hingesill-Running", str(running))]
        if faults.get("drain"):
            signs.append(("Hingesill-Draining", "1"))
        if faults.get("cold"):
            signs.append(("Hingesill-Cold", "1"))
        if faults.get("limit") is not None:
            signs.append(("Hingesill-Limit", str(faults["limit"])))
        return signs

    def run(self, environ, start_response):
        """Take a slot, spend time there, answer."""
        faults = self.faults
        request_id = environ.get("HTTP_HINGESILL_REQUEST_ID", "")
        if faults.get("fail_fast"):
            start_response("500 Internal Server Error", self.list_signs())
            return [b"fault\n"]
        body = environ["wsgi.input"].read()
        arrived = time.monotonic()
        self.running += 1
        self.arrived += 1
        self.arrived_slow += self.get_factor(arrived) > 1
        try:
            if faults.get("hang"):
                eventlet.sleep(30)
            with self.slots:
                if self.is_of_no_use(environ, arrived):
                    self.cancelled += 1
                    return self.shed(start_response)
                self.ran[request_id] += 1
                self.spend_time(environ)
        finally:
            self.running -= 1
        return self.answer(environ, start_response, request_id, body)

    def is_of_no_use(self, environ, arrived):
        """Tell whether a request's time is up or its caller is gone."""
        remaining = environ.get("HTTP_HINGESILL_REMAINING_MS")
        if remaining and time.monotonic() > arrived + int(remaining) / 1000:
            return True
        sock = environ["eventlet.input"].get_socket().fd
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def spend_time(self, environ):
        """Spend the time of one request in a slot."""
        faults = self.faults
        seconds = faults.get("service_ms", 4.0) / 1000
        seconds *= 0.5 + self.random.random()
        started = time.monotonic()
        left = seconds * self.get_factor(started)
        while left > 0:
            step = min(left, 0.05)
            eventlet.sleep(step)
            left -= step
        self.busy_s += time.monotonic() - started

    def get_factor(self, now):
        """Return how many times slower the endpoint is at a time."""
        faults = self.faults
        factor = faults.get("slow_factor", 1.0)
        period = faults.get("noise_period_s")
        if not period:
            return factor
        if now > self.noise_until:
            pause = period * (0.5 + self.random.random())
            self.noise_from = now + (pause if self.noise_until else pause / 2)
            self.noise_until = self.noise_from + faults["noise_length_s"]
        if now >= self.noise_from:
            factor *= faults["noise_factor"]
        return factor

    def answer(self, environ, start_response, request_id, body):
        """Answer with the request's own words, so that a mix-up shows."""
        faults = self.faults
        if faults.get("late_ms"):
            eventlet.sleep(faults["late_ms"] / 1000)
        if faults.get("reset_before"):
            reset(environ)
            start_response("200 OK", [])
            return []
        content = json.dumps(
            {
                "id": request_id,
                "path": environ["PATH_INFO"],
                "echo": body.decode("latin-1") if len(body) < 200 else len(body),
                "layer": environ.get("HTTP_HINGESILL_RETRIES", ""),
            }
        ).encode()
        content = content.ljust(faults.get("body_bytes", 0), b" ")
        headers = [("Content-Type", "application/json"), *self.list_signs()]
        headers.append(("Content-Length", str(len(content))))
        start_response("200 OK", headers)
        if faults.get("short") or faults.get("reset_after"):
            environ["eventlet.minimum_write_chunk_size"] = 1
            return self.end_early(content)
        return [content]

    def end_early(self, content):
        """Yield half of the body, then break."""
        yield content[: len(content) // 2]
        raise ConnectionResetError


def reset(environ):
    """Reset the connection of a request before its answer."""
    sock = environ["eventlet.input"].get_socket().fd
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RDWR)
    sock.close()


class EndpointServer:
    """Serves one endpoint in green threads; it may end and start again at its port.

    Parameters
    ----------
    application : EndpointApplication
        What it serves.
    log : file
        Gets what the server says.
    """

    def __init__(self, application, log):
        self.application = application
        self.log = log
        application.start_again = lambda away: eventlet.spawn(self._start_again, away)
        self.port = 0
        self._listen()

    def _listen(self):
        self._sock = listen(self.port)
        self.port = self._sock.getsockname()[1]
        self._pool = eventlet.GreenPool(MOST_CONNECTIONS)
        self._thread = eventlet.spawn(
            wsgi.server,
            self._sock,
            self.application,
            log=self.log,
            log_output=False,
            custom_pool=self._pool,
            debug=False,
        )

    def _start_again(self, away):
        """End with all connections; start after so many seconds."""
        eventlet.sleep(ANSWER_SECONDS)
        self._thread.kill()
        self._sock.close()
        for connection in list(self._pool.coroutines_running):
            connection.kill()
        eventlet.sleep(away)
        self.application.forget()
        self._listen()

    def wait(self):
        """Serve for ever."""
        while True:
            eventlet.sleep(3600.0)


def listen(port=0):
    """Return a listening socket on a port, or on a free one."""
    sock = green_socket.socket()
    sock.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_REUSEADDR, 1)
    sock.setsockopt(green_socket.IPPROTO_TCP, green_socket.TCP_NODELAY, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(512)
    return sock


def main():
    """Serve until ended; the first line printed has the addresses."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    service_ms = float(sys.argv[2]) if len(sys.argv) > 2 else SERVICE_MS
    log = open(os.devnull, "w")
    servers = []
    for index in range(count):
        application = EndpointApplication(service_ms=service_ms, seed=index)
        servers.append(EndpointServer(application, log))
    print(" ".join(f"127.0.0.1:{server.port}" for server in servers), flush=True)
    for server in servers:
        server.wait()


if __name__ == "__main__":
    main()
