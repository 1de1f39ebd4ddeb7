"""Tests of endpoint rate limits in hingesill's own headers, with several nodes."""

import tempfile
import threading
import time
import unittest
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import yaml

from standins.fleet import Fleet

NODES = 3
ENDPOINTS = 2
LIMIT = 2.0
# Time after which a limit is enforced once an endpoint has first reported it.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
# Maximum number of requests: one and a half times the limit, plus five.
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
PAUSE_SECONDS = 0.03


class OwnHeadersTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_endpoints(ENDPOINTS, per_process=1)
        nodes = [self.fleet.start_node(f"n{number}") for number in range(NODES)]
        self.declare(nodes[0])
        self.answers = []
        self.stopped = threading.Event()
        for node in nodes:
            thread = threading.Thread(target=self.send_requests, args=(node.address,))
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.stopped.set)

    def declare(self, node):
        file = self.fleet.folder / "arena.yaml"
        endpoints = [
            {"address": address, "data_centre": "lsn-a", "slots": 3}
            for address in self.fleet.endpoints
        ]
        routes = [{"method": "GET", "path": "/boards", "timeout_ms": 1000}]
        content = {"service": "arena", "endpoints": endpoints, "routes": routes}
        file.write_text(yaml.safe_dump(content))
        applied = self.fleet.run_cli(node, "apply", "-f", file)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.fleet.run_cli(node, "status", "--wait=5")

    def send_requests(self, address):
        host, port = address.split(":")
        while not self.stopped.wait(PAUSE_SECONDS):
            connection = HTTPConnection(host, int(port), timeout=3.0)
            try:
                connection.request("GET", "/boards/1")
                response = connection.getresponse()
                response.read()
                reason = response.getheader("Hingesill-Reason")
                self.answers.append((time.monotonic(), response.status, reason))
            except (OSError, HTTPException) as error:
                self.answers.append((time.monotonic(), None, repr(error)))
            finally:
                connection.close()

    def set_limit(self, limit):
        for endpoint in self.fleet.endpoints:
            self.fleet.set_faults(endpoint, limit=limit)

    def count(self):
        return [self.fleet.read_record(e)["arrived"] for e in self.fleet.endpoints]

    def test_all_nodes_respect_and_use_the_limit(self):
        time.sleep(1.0)
        self.set_limit(LIMIT)
        time.sleep(CONTACT_SECONDS)
        before = self.count()
        time.sleep(WINDOW_SECONDS)
        received = [after - earlier for earlier, after in zip(before, self.count())]
        self.assertLessEqual(max(received), ALLOWED)
        self.assertGreater(sum(received), 0.5 * LIMIT * WINDOW_SECONDS * ENDPOINTS)
        reasons = {reason for _, status, reason in self.answers if status == 503}
        self.assertEqual(reasons, {"endpoints-limited"})
        self.set_limit(None)
        removed_at = time.monotonic()
        time.sleep(4.0)
        statuses = [status for at, status, _ in self.answers if at > removed_at + 2.5]
        self.assertGreater(statuses.count(200), 0.95 * len(statuses))
