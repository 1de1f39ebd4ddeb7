"""Tests with real processes of requests that end before they are whole."""

import json
import random
import socket
import struct
import tempfile
import time
import unittest
from pathlib import Path

import urllib3

from standins.fleet import Fleet, wait_until
from tests.test_data_path import send_raw

SEED = 64
CUTS = 25
# Keeps the rate of log lines below its limit.
PAUSE_SECONDS = 0.03
RATE = 500
# Served in a row once the organisation's quota has filled after the start.
SERVED_AT_START = 20
LONG_BODY_BYTES = 150_000
DECLARATION = """
service: arena
endpoints: [{endpoints}]
routes:
- {{method: GET, path: /boards, repeat: repeatable, timeout_ms: 1500}}
- {{method: POST, path: /moves, timeout_ms: 1500}}
---
organisation: acme
keys: [k1]
rate: {rate}
burst: {rate}
"""
HEADERS = (
    "Host: a\r\nHingesill-Forwarding-Node: n2\r\nAuthorization: Bearer k1\r\n"
    "Hingesill-Request-Id: {id}\r\nCookie: c=1\r\n"
)
CHUNKS = "0004;a=b\r\nabcd\r\n0010\r\n0123456789abcdef\r\n00\r\nT: 1\r\n\r\n"
FORMS = {
    "get": "GET /boards HTTP/1.1\r\n" + HEADERS + "\r\n",
    "length": "POST /moves HTTP/1.1\r\n"
    + HEADERS
    + "Content-Length: 9\r\n\r\na\r\n\r\nbcde",
    "chunks": "POST /moves HTTP/1.1\r\n"
    + HEADERS
    + "Transfer-Encoding: chunked\r\n\r\n"
    + CHUNKS,
}
LONG_FORM = (
    "POST /moves HTTP/1.1\r\n" + HEADERS + f"Content-Length: {LONG_BODY_BYTES}\r\n\r\n"
)
ENDS = ("close", "reset", "half")


def send_part(address, data, end):
    """Send bytes on a new connection and end it; return what is received."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        if end == "half":
            sock.shutdown(socket.SHUT_WR)
            return sock.recv(65536)
        if end == "reset":
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return b""


class IncompleteRequestTests(unittest.TestCase):
    """Guards against incomplete requests that run, or keep tokens and places."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_endpoints(2, 1.0)
        self.node = self.fleet.start_node("n1", can_cut=True)
        self.fleet.start_node("n2", can_cut=True)
        endpoints = ", ".join(
            f"{{address: '{address}', data_centre: lsn-a}}"
            for address in self.fleet.endpoints
        )
        file = Path(folder.name) / "arena.yaml"
        file.write_text(DECLARATION.format(endpoints=endpoints, rate=RATE))
        applied = self.fleet.run_cli(self.node, "apply", "-f", file)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.addresses = (self.node.address, f"127.0.0.1:{self.node.forward_port}")
        self.sent = 0
        for address in self.addresses:
            wait_until(lambda: self.is_ready(address), 15.0, f"service at {address}")

    def build(self, form):
        """Return the bytes of a request with an id of its own."""
        self.sent += 1
        return form.format(id=f"r{self.sent}").encode()

    def is_served(self, address):
        data = self.build(FORMS["get"]).replace(
            b"Cookie", b"Connection: close\r\nCookie"
        )
        return send_raw(address, data).startswith(b"HTTP/1.1 200")

    def is_ready(self, address):
        return all(self.is_served(address) for _ in range(SERVED_AT_START))

    def count_runs(self):
        return len(self.fleet.read_requests())

    def read_metric(self, name, label=""):
        """Return the sum of a metric's values with a text in their labels."""
        url = f"http://{self.node.admin}/metrics"
        lines = urllib3.request("GET", url).data.decode().splitlines()
        lines = [line for line in lines if line.startswith(f"{name}{{")]
        return sum(float(line.split()[-1]) for line in lines if label in line)

    def count_incomplete(self):
        return self.read_metric("hingesill_refusals_total", '"incomplete-request"')

    def count_used_tokens(self):
        admitted = self.read_metric("hingesill_quota_total", '"admitted"')
        return admitted - self.read_metric("hingesill_quota_total", '"returned"')

    def read_events(self):
        """Return the log lines on incomplete requests."""
        lines = self.node.log.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [event for event in events if event.get("event") == 6007]

    def wait_for_records(self, count):
        """Wait until so many incomplete requests were counted and logged."""
        wait_until(lambda: self.count_incomplete() == count, 5.0, f"{count} refusals")
        wait_until(lambda: len(self.read_events()) == count, 5.0, f"{count} events")

    def cut(self, rng, address, form):
        """Send a random beginning of a request; return its length and the answer."""
        time.sleep(PAUSE_SECONDS)
        data = self.build(form)
        cut = rng.randrange(1, len(data))
        return cut, send_part(address, data[:cut], rng.choice(ENDS))

    def test_no_beginning_of_a_request_runs_or_keeps_a_token(self):
        rng = random.Random(SEED)
        before = self.count_runs(), self.count_used_tokens()
        count = 0
        for address in self.addresses:
            for form in FORMS.values():
                for _ in range(CUTS):
                    cut, received = self.cut(rng, address, form)
                    self.assertNotIn(b" 200 ", received[:16], (form, cut))
                    count += 1
        self.wait_for_records(count)
        self.assertEqual((self.count_runs(), self.count_used_tokens()), before)
        self.assertEqual(self.read_metric("hingesill_in_flight"), 0)
        events = self.read_events()
        found = {(event["part"], event["listener"]) for event in events}
        self.assertEqual(len(found), 4)

    def test_a_long_body_that_ends_early_does_not_run_and_frees_its_place(self):
        runs = self.count_runs()
        body = b"x" * (LONG_BODY_BYTES - 1)
        count = 0
        for address in self.addresses:
            for end in ENDS:
                received = send_part(address, self.build(LONG_FORM) + body, end)
                self.assertNotIn(b" 200 ", received[:16])
                count += 1
        self.wait_for_records(count)
        self.assertEqual(self.read_metric("hingesill_in_flight"), 0)
        self.assertEqual(self.count_runs(), runs)
        for endpoint in self.fleet.endpoints:
            self.assertEqual(self.fleet.read_record(endpoint)["running"], 0)
