"""A test endpoint with a fixed number of slots, a queue and injected faults.

``PUT /standin/faults`` sets the faults: a JSON object with any keys of `FAULTS`.
``GET /standin/record`` returns how often each request id ran, and counters, ``GET
/standin/requests`` id, organisation, Authorization and arrival time of each run.
Checkers compare this record with the responses that callers received.
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
    "service_ms": "mean service time in a slot, in milliseconds",
    "slow_factor": "factor by which the service time is multiplied",
    "drain": "report in each response that the endpoint is draining",
    "cold": "report in each response that the endpoint is cold",
    "away_s": "crash now, and restart on the same port after this many seconds",
    "limit": "rate limit to report, in requests per second from all nodes",
    "shed_above": "refuse as not run while more requests than this are present",
    "rest_s": "Retry-After of refusals, in seconds",
    "fail_fast": "respond with status 500 without running the request",
    "hang": "delay each request for 30 s",
    "reset_before": "run the request, then reset the connection before the first byte",
    "reset_after": "break the connection in the middle of the body",
    "short": "end the body early",
    "late_ms": "delay of the finished response, in milliseconds",
    "lie_running": "number of running requests to report in place of the real one",
    "body_bytes": "minimum length of the response body",
    "noise_period_s": "mean pause between slow periods, in seconds",
    "noise_length_s": "length of a slow period, in seconds",
    "noise_factor": "slow-down factor during a slow period",
    "seed": "seed of the random source, which is reset",
}
SLOTS = 3
SERVICE_MS = 4.0
MAX_CONNECTIONS = 10_000
# Time for the response to the request that sets the fault, before a crash.
RESPONSE_SECONDS = 0.01


class EndpointApplication:
    """A WSGI application that serves requests in a limited number of slots."""

    def __init__(self, slots=SLOTS, service_ms=SERVICE_MS, seed=0):
        self.slots = Semaphore(slots)
        self.service_ms = service_ms
        self.faults = {"service_ms": service_ms}
        self.seed = seed
        self.random = random.Random(seed)
        self.running = 0
        self.ran = Counter()
        # Id, organisation, Authorization and arrival time of each request that ran.
        self.requests = []
        self.cancelled = 0
        self.probes = 0
        self.probe_times = []
        self.refused = 0
        self.busy_s = 0.0
        self.arrived = 0
        self.arrived_slow = 0
        self.noise_from = 0.0
        self.noise_until = 0.0
        self.restart = lambda away: None

    def __call__(self, environ, start_response):
        """Handle one request; see PEP 3333."""
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self.handle_standin(path, environ, start_response)
        faults = self.faults
        if faults.get("shed_above") is not None:
            if self.running > faults["shed_above"]:
                return self.shed(environ, start_response)
        if path == "/health":
            self.probes += 1
            self.probe_times.append(time.monotonic())
        return self.run(environ, start_response)

    def handle_standin(self, path, environ, start_response):
        """Set the faults, if requested, and return the record."""
        if path == "/standin/requests":
            start_response("200 OK", [("Content-Type", "application/json")])
            return [json.dumps(self.requests).encode()]
        if path == "/standin/faults":
            self.faults = json.loads(environ["wsgi.input"].read() or b"{}")
            self.random = random.Random(f"{self.seed} {self.faults.get('seed')}")
            self.noise_from = self.noise_until = 0.0
            if self.faults.get("away_s"):
                self.restart(self.faults["away_s"])
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

    def reset_state(self):
        """Start a new incarnation: reset everything but the counters of the record."""
        self.faults = {"service_ms": self.service_ms}
        self.slots = Semaphore(SLOTS)
        self.running = 0

    def shed(self, environ, start_response):
        """Refuse the request as not run."""
        self.refused += 1
        headers = [("Hingesill-Outcome", "not-run"), *self.list_headers(environ)]
        if self.faults.get("rest_s"):
            headers.append(("Retry-After", str(self.faults["rest_s"])))
        start_response("503 Service Unavailable", headers)
        return [b"full\n"]

    def list_headers(self, environ):
        """Return the headers of the answer to a request, with its id if it has one."""
        request_id = environ.get("HTTP_HINGESILL_REQUEST_ID")
        named = [("Hingesill-Request-Id", request_id)] if request_id else []
        return [*named, *self.list_state_headers()]

    def list_state_headers(self):
        """Return the headers that report load and state."""
        faults = self.faults
        running = faults.get("lie_running", max(0, self.running))
        headers = [("Hingesill-Running", str(running))]
        if faults.get("drain"):
            headers.append(("Hingesill-Draining", "1"))
        if faults.get("cold"):
            headers.append(("Hingesill-Cold", "1"))
        if faults.get("limit") is not None:
            headers.append(("Hingesill-Limit", str(faults["limit"])))
        return headers

    def run(self, environ, start_response):
        """Occupy a slot for the service time, then respond."""
        faults = self.faults
        request_id = environ.get("HTTP_HINGESILL_REQUEST_ID", "")
        if faults.get("fail_fast"):
            start_response("500 Internal Server Error", self.list_headers(environ))
            return [b"fault\n"]
        body = read_body(environ)
        arrived = time.monotonic()
        self.running += 1
        self.arrived += 1
        self.arrived_slow += self.get_factor(arrived) > 1
        try:
            if faults.get("hang"):
                eventlet.sleep(30)
            with self.slots:
                if self.is_obsolete(environ, arrived):
                    self.cancelled += 1
                    return self.shed(environ, start_response)
                self.ran[request_id] += 1
                organisation = environ.get("HTTP_HINGESILL_ORGANISATION", "")
                authorization = environ.get("HTTP_AUTHORIZATION", "")
                ran = (request_id, organisation, authorization, arrived)
                self.requests.append(ran)
                self.spend_time(environ)
        finally:
            self.running -= 1
        return self.answer(environ, start_response, request_id, body)

    def is_obsolete(self, environ, arrived):
        """Return whether a request's deadline has passed or its caller has gone."""
        remaining = environ.get("HTTP_HINGESILL_REMAINING_MS")
        if remaining and time.monotonic() > arrived + int(remaining) / 1000:
            return True
        sock = environ["eventlet.input"].get_socket().fd
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def spend_time(self, environ):
        """Wait for the service time of one request."""
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
        """Return the factor of the service time at a time."""
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
        """Respond with data of the request, so that a swapped response is detected."""
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
        headers = [("Content-Type", "application/json"), *self.list_headers(environ)]
        headers.append(("Content-Length", str(len(content))))
        start_response("200 OK", headers)
        if faults.get("short") or faults.get("reset_after"):
            environ["eventlet.minimum_write_chunk_size"] = 1
            return self.end_early(content)
        return [content]

    def end_early(self, content):
        """Yield half of the body, then break the connection."""
        yield content[: len(content) // 2]
        raise ConnectionResetError


def read_body(environ):
    """Return the body of a request; raise OSError if it is incomplete."""
    body = environ["wsgi.input"].read()
    if len(body) < int(environ.get("CONTENT_LENGTH") or 0):
        raise ConnectionResetError("the request body is incomplete")
    return body


def reset(environ):
    """Reset the connection of a request before its response."""
    sock = environ["eventlet.input"].get_socket().fd
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RDWR)
    sock.close()


class EndpointServer:
    """An endpoint served in green threads that can restart on its port.

    Parameters
    ----------
    application : EndpointApplication
        Application to serve.
    log : file
        Output of the server's log.
    """

    def __init__(self, application, log):
        self.application = application
        self.log = log
        application.restart = lambda away: eventlet.spawn(self._restart, away)
        self.port = 0
        self._listen()

    def _listen(self):
        self._sock = listen(self.port)
        self.port = self._sock.getsockname()[1]
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self._thread = eventlet.spawn(
            wsgi.server,
            self._sock,
            self.application,
            log=self.log,
            log_output=False,
            custom_pool=self._pool,
            debug=False,
        )

    def _restart(self, away):
        """Close all connections, and start again after a number of seconds."""
        eventlet.sleep(RESPONSE_SECONDS)
        self._thread.kill()
        self._sock.close()
        for connection in list(self._pool.coroutines_running):
            connection.kill()
        eventlet.sleep(away)
        self.application.reset_state()
        self._listen()

    def wait(self):
        """Block while the endpoint is served."""
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
    """Serve until terminated; the first line of the output holds the addresses."""
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
