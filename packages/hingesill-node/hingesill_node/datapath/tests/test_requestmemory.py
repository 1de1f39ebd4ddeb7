"""Tests of the memory that requests and unread answers take."""

import unittest
from unittest import mock

import eventlet

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath import connectionstate
from hingesill_node.datapath.connectiontable import ConnectionTable
from hingesill_node.datapath.requestmemory import (
    COPIES,
    MAX_KEPT_BYTES,
    SMALL_BYTES,
    Holding,
    RequestMemory,
)
from hingesill_node.datapath.requests import RequestFault
from hingesill_node.datapath.tests.callerservice import (
    GET,
    LONG_HEAD,
    POST,
    POST_HEAD,
    CallerService,
    close_all,
    end_by_half_close,
    read_to_end,
)
from hingesill_node.datapath.tests.test_connection_ends import GatedApplication

LIMIT = 100_000


class HoldingTests(unittest.TestCase):
    def setUp(self):
        self.memory = RequestMemory(LIMIT)
        self.holding = Holding(self.memory)

    def test_what_is_released_is_free(self):
        self.holding.add_received(1000)
        self.holding.set_answer(500)
        self.assertEqual(self.memory.used, COPIES * 1000 + 500)
        self.holding.set_answer(0)
        self.holding.release()
        self.assertEqual(self.memory.used, 0)

    def test_requests_beyond_the_limit(self):
        with self.assertRaises(RequestFault) as raised:
            self.holding.add_received(LIMIT)
        self.assertIs(raised.exception.reason, RefusalReason.MEMORY_LIMIT)
        self.holding.release()
        self.assertEqual(self.memory.used, 0)

    def test_bytes_that_are_passed_on_do_not_count(self):
        memory = RequestMemory(10 * MAX_KEPT_BYTES)
        holding = Holding(memory)
        for _ in range(100):
            holding.add_received(MAX_KEPT_BYTES)
        self.assertEqual(memory.used, COPIES * MAX_KEPT_BYTES)

    def test_connections_are_searched_once_a_step(self):
        table = mock.Mock(ConnectionTable)
        self.memory.add_table(table)
        for _ in range(1000):
            self.holding.add_received(46)
        self.assertGreater(table.free_memory.call_count, 5)
        self.assertLess(table.free_memory.call_count, 20)


class RequestMemoryTests(unittest.TestCase):
    """Guards against requests that take more memory than the VM has for them."""

    def setUp(self):
        self.service = CallerService(self, GatedApplication)
        self.memory = RequestMemory(LIMIT)
        for server in self.service.servers.values():
            server.memory = self.memory
            self.memory.add_table(server._connections)
        self.open = []
        self.addCleanup(close_all, self.open)

    def connect(self, data):
        sock = self.service.connect()
        sock.sendall(data)
        self.open.append(sock)
        eventlet.sleep(0.01)
        return sock

    def test_all_memory_is_given_back(self):
        self.service.application.gate.send()
        for data in (GET, POST, GET * 3, GET[:50], POST_HEAD, LONG_HEAD, b"\x00\r\n"):
            self.service.send(data, end_by_half_close)
            self.assertEqual(self.memory.used, 0, data[:20])

    def test_bytes_after_a_refused_request_take_none(self):
        sock = self.connect(b"\x00\r\n")
        for _ in range(20):
            sock.sendall(b"x" * 10_000)
            eventlet.sleep(0.001)
        self.assertEqual(self.memory.used, 0)

    def test_the_oldest_unfinished_request_gives_way(self):
        part = GET[:-2] + b"A: " + b"a" * 9_000
        first, *_ = [self.connect(part) for _ in range(6)]
        received = read_to_end(first)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received[:99])
        self.assertIn(b"\r\nHingesill-Outcome: not-run\r\n", received)
        self.service.application.gate.send()
        self.assertIn(b" 200 ", self.connect(GET).recv(65536))
        self.assertLess(self.memory.used, LIMIT)

    def test_an_answer_that_is_not_taken_gives_way(self):
        self.service.application.size = 30_000_000
        self.service.application.gate.send()
        with mock.patch.object(connectionstate, "STALL_SECONDS", 0.0):
            self.connect(GET)
            self.connect(GET)
        counts = self.service.counters.counts
        self.assertGreater(counts["connections", "callers", "evicted"], 0)

    def test_requests_beyond_the_limit_are_refused(self):
        self.memory.change(LIMIT)
        large = b"A: " + b"a" * SMALL_BYTES
        for data in (GET[:-2] + large, POST_HEAD[:-2] + large):
            received = end_by_half_close(self.connect(data))
            self.assertIn(b"\r\nHingesill-Reason: memory-limit\r\n", received)
            self.assertIn(b"\r\nRetry-After: 1\r\n", received)
        self.assertEqual(
            self.service.counters.counts["refusals", "", "memory-limit"], 2
        )
        self.assertEqual((self.service.accepted, self.memory.used), ([], LIMIT))
        self.service.application.gate.send()
        self.assertIn(b" 200 ", self.connect(GET).recv(65536))
