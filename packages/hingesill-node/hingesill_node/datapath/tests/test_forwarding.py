"""Tests of requests that another node serves late."""

import unittest
from contextlib import suppress
from types import SimpleNamespace

import eventlet

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.messages import Refusal, Ticket
from hingesill_node.datapath.callerprotocol import build_head_refusal
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.forwarding import Forwarder
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters

LIMIT_SECONDS = 0.6
# After the time at which a node that answered nothing counts as silent.
LATE_SECONDS = 0.4


class LateNode:
    """Another node whose answers come late."""

    def __init__(self, case, name, seconds):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.received = 0
        self.seconds = seconds
        port = self.listener.getsockname()[1]
        self.record = NodeRecord(name, f"127.0.0.1:{port}", "a", forward_port=port)
        thread = eventlet.spawn(eventlet.serve, self.listener, self.answer)
        case.addCleanup(thread.kill)

    def answer(self, sock, address):
        if not sock.recv(65536):
            return
        self.received += 1
        eventlet.sleep(self.seconds)
        with suppress(OSError):
            sock.sendall(b"HTTP/1.1 200 OK\r\nHingesill-Request-Id: r1\r\n")
            sock.sendall(b"Content-Length: 4\r\n\r\nlate")


class FullNode(LateNode):
    """Another node that refuses connections, as too many are open."""

    def answer(self, sock, address):
        self.received += bool(sock.recv(65536))
        server = SimpleNamespace(is_forwarded=True, counters=Counters())
        sock.sendall(build_head_refusal(RefusalReason.CONNECTION_LIMIT, server))
        sock.close()


class LateNodeTests(unittest.TestCase):
    """Guards against requests given up while an endpoint works for another node."""

    def forward(self, nodes, tokens):
        """Return the result of a request that is forwarded."""
        runner = build_runner()
        runner.dispatcher.retries.tokens = tokens
        now = runner.clock()
        ticket = Ticket(ROUTE, now, now + LIMIT_SECONDS)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), ticket)
        exchange = Exchange(runner, request, Counters(), OwnFormat())
        records = {node.record.name: node.record for node in nodes}
        forwarder = Forwarder("n1", "a", lambda: records, Counters(), OwnFormat())
        return forwarder.forward(exchange)

    def check_served(self, nodes, tokens):
        result = self.forward(nodes, tokens)
        self.assertNotIsInstance(result, Refusal)
        self.assertEqual(result.body, b"late")

    def test_no_token_for_a_retry(self):
        nodes = [LateNode(self, f"n{n}", LATE_SECONDS) for n in (2, 3)]
        self.check_served(nodes, tokens=0.0)
        self.assertEqual(sum(node.received for node in nodes), 1)

    def test_no_other_node(self):
        node = LateNode(self, "n2", LATE_SECONDS)
        self.check_served([node], tokens=5.0)
        self.assertEqual(node.received, 1)

    def test_a_node_without_room(self):
        """Guards against refusals of another node that count as endpoints' answers."""
        full, late = FullNode(self, "n2", 0.0), LateNode(self, "n3", 0.0)
        self.check_served([full, late], tokens=5.0)
        result = self.forward([full], tokens=5.0)
        self.assertIsNone(result)
        self.assertGreater(full.received, 0)

    def test_a_retry_through_another_node(self):
        nodes = [LateNode(self, f"n{n}", 2 * LIMIT_SECONDS) for n in (2, 3)]
        self.forward(nodes, tokens=5.0)
        self.assertEqual([node.received for node in nodes], [1, 1])
