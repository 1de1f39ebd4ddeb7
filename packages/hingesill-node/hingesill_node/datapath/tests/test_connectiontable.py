"""Tests of connections that make room for others, and of those that are refused."""

import select
import socket
import time
import unittest
from unittest import mock

import eventlet
from eventlet.event import Event as GreenEvent

from hingesill_node.datapath import callerprotocol, connectionstate
from hingesill_node.datapath.tests.callerservice import (
    GET,
    LONG_BODY,
    LONG_HEAD,
    POST_HEAD,
    AcceptingApplication,
    CallerService,
    close_all,
    end_by_half_close,
    read_to_end,
)
from hingesill_node.datapath.tests.test_connection_ends import GatedApplication
from hingesill_node.listeners import RECEIVE_BUFFER_BYTES
from hingesill_node.resources import MEBIBYTE, SHARES, ServerLimits, compute_connections

CONNECTIONS = 3
UNROUTED = GET.replace(b" /a/", b" /none/")


class ConnectionLimitCase(unittest.TestCase):
    """A service with as many connections as it accepts."""

    application = GatedApplication

    def setUp(self):
        limits = ServerLimits(connections=CONNECTIONS)
        self.service = CallerService(self, self.application, limits)
        self.gate = getattr(self.service.application, "gate", None)
        # A socket without a reference is closed.
        self.open = []
        self.addCleanup(close_all, self.open)

    def connect(self, data=b""):
        """Return a connection after its bytes have been handled."""
        sock = self.service.connect()
        self.open.append(sock)
        sock.sendall(data)
        eventlet.sleep(0.01)
        return sock

    def wait_for_ends(self, end, count):
        """Wait until so many connections have ended in a way."""
        counts = self.service.counters.counts
        with eventlet.Timeout(5.0, AssertionError(f"{end}: {counts}")):
            while counts["connections", "callers", end] != count:
                eventlet.sleep(0.005)

    def count_refusals(self):
        return self.service.counters.counts["refusals", "", "connection-limit"]

    def check_served(self):
        """Check that a further caller is answered."""
        self.assertIn(b" 404 ", self.connect(UNROUTED).recv(65536))

    def check_refusal(self, received):
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b"\r\nHingesill-Outcome: not-run\r\n", received)
        self.assertIn(b"\r\nHingesill-Reason: connection-limit\r\n", received)
        self.assertIn(b"\r\nRetry-After: ", received)
        self.assertEqual(self.count_refusals(), 1)


class EvictionTests(ConnectionLimitCase):
    """Guards against connections that keep ordinary callers out."""

    def test_the_longest_idle_one_makes_room(self):
        first, *others = [self.connect() for _ in range(CONNECTIONS)]
        with self.assertLogs("hingesill", "WARNING") as logs:
            self.check_served()
            self.assertEqual(read_to_end(first), b"")
        self.wait_for_ends("evicted", 1)
        self.assertIn(6010, [record.event for record in logs.records])
        for sock in others:
            sock.sendall(UNROUTED)
            self.assertIn(b" 404 ", sock.recv(65536))

    def test_an_idle_one_goes_before_an_unfinished_request(self):
        unfinished = [self.connect(GET[:50]) for _ in range(CONNECTIONS - 1)]
        idle = self.connect()
        self.check_served()
        self.assertEqual(read_to_end(idle), b"")
        unfinished[0].sendall(UNROUTED[50:])
        self.gate.send()
        self.assertIn(b" 200 ", unfinished[0].recv(65536))

    def test_unfinished_heads_are_refused(self):
        first, *_ = [self.connect(GET[:50]) for _ in range(CONNECTIONS)]
        self.check_served()
        self.check_refusal(read_to_end(first))
        self.assertEqual(self.service.accepted, [])

    def test_unfinished_bodies_are_refused(self):
        first, *_ = [self.connect(POST_HEAD + b"w") for _ in range(CONNECTIONS)]
        self.check_served()
        received = read_to_end(first)
        self.assertIn(b" 503 ", received)
        self.assertIn(b"connection-limit", received)
        self.assertEqual(self.service.accepted, [])
        # A token and a place for each of the others.
        self.assertEqual(self.service.count_held(), 2 * (CONNECTIONS - 1))

    def test_callers_that_have_received_their_last_answer(self):
        closing = UNROUTED.replace(b"Cookie", b"Connection: close\r\nCookie")
        idle = self.connect()
        for _ in range(CONNECTIONS - 1):
            self.connect(closing)
        self.check_served()
        idle.sendall(UNROUTED)
        self.assertIn(b" 404 ", idle.recv(65536))
        self.wait_for_ends("evicted", 1)

    def connect_pipelining(self):
        """Return a connection whose second request waits for its turn."""
        table = self.service.servers["callers"]._connections
        before = sum(state.is_pipelining for state in table)
        sock = self.connect(UNROUTED * 4)
        while sum(state.is_pipelining for state in table) == before:
            eventlet.sleep(0.001)
        return sock

    def test_pipelined_requests_are_all_answered(self):
        with mock.patch.object(callerprotocol, "PIPELINED_GATE") as gate:
            waits = GreenEvent()
            gate.pass_through = waits.wait
            first, *_ = [self.connect_pipelining() for _ in range(CONNECTIONS)]
            served = self.connect(UNROUTED)
            waits.send()
            self.assertIn(b" 404 ", served.recv(65536))
            received = read_to_end(first)
        self.assertEqual(received.count(b"HTTP/1.1 404 "), 1)
        self.assertEqual(received.count(b"HTTP/1.1 503 "), 3)
        self.assertEqual(received.count(b"Connection: close"), 1)
        self.assertEqual(self.count_refusals(), 3)

    def test_callers_that_take_nothing_of_their_answer(self):
        self.service.application.size = 30_000_000
        self.gate.send()
        for _ in range(CONNECTIONS):
            self.connect(GET)
        with mock.patch.object(connectionstate, "STALL_SECONDS", 0.0):
            self.check_served()
        self.wait_for_ends("evicted", 1)

    def test_an_answer_that_was_taken_while_the_node_paused(self):
        self.service.application.size = 30_000_000
        self.gate.send()
        sock = self.connect(GET)
        (state,) = self.service.servers["callers"]._connections
        with mock.patch.object(connectionstate, "STALL_SECONDS", 0.0):
            rank = state.find_eviction_rank()
            self.assertIs(rank, connectionstate.EvictionRank.STALLED)
            while sock.fd.recv(65536) and not state._poll(select.POLLOUT):
                time.sleep(0.001)  # No other green thread runs.
            self.assertIsNone(state.find_eviction_rank())


class StreamedBodyTests(ConnectionLimitCase):
    """Guards against requests that are refused while an endpoint receives them."""

    application = AcceptingApplication

    def test_a_body_that_is_passed_on_while_it_arrives(self):
        part = LONG_HEAD + LONG_BODY[:-1]
        streams = [self.connect(part) for _ in range(CONNECTIONS)]
        self.check_refusal(read_to_end(self.connect(UNROUTED)))
        self.service.servers["callers"].memory.limit = 1
        for sock in streams:
            sock.sendall(LONG_BODY[-1:])
            self.assertIn(b" 200 ", sock.recv(65536))
        self.assertEqual(len(self.service.accepted), CONNECTIONS)


class RefusalTests(ConnectionLimitCase):
    """Guards against connections beyond the limit, and requests that are given up."""

    def test_requests_that_are_served_are_never_given_up(self):
        served = [self.connect(GET) for _ in range(CONNECTIONS)]
        with self.assertLogs("hingesill", "WARNING") as logs:
            self.check_refusal(read_to_end(self.connect(GET)))
        self.wait_for_ends("refused", 1)
        self.assertIn(6011, [record.event for record in logs.records])
        self.gate.send()
        for sock in served:
            self.assertIn(b" 200 ", sock.recv(65536))
        self.assertEqual(len(self.service.accepted), CONNECTIONS)

    def test_many_at_once_stay_near_the_limit(self):
        peaks = []
        table = self.service.servers["callers"]._connections
        add = table.add

        def record(state):
            add(state)
            peaks.append(len(table))

        table.add = record
        for _ in range(10 * CONNECTIONS):
            sock = socket.create_connection(self.service.addresses["callers"])
            self.open.append(sock)
        eventlet.sleep(0.05)
        self.assertLessEqual(max(peaks), CONNECTIONS + 1)
        self.assertEqual(len(table), CONNECTIONS)
        self.check_served()


class ForwardedRefusalTests(ConnectionLimitCase):
    """Guards against refusals that another node takes for an endpoint's answer."""

    def test_refusals_are_marked_for_other_nodes_only(self):
        for listener, is_marked in (("callers", False), ("forwarded", True)):
            for data in (b"\x00\r\n\r\n", GET[:50]):
                received = self.service.send(data, end_by_half_close, listener)
                marked = b"\r\nHingesill-Forward-Refusal: not-run " in received
                self.assertEqual(marked, is_marked, received)


class LimitTests(unittest.TestCase):
    """Tests of the connections that the memory and the descriptors allow."""

    def test_all_addresses_leave_a_part_of_the_vm(self):
        for memory, descriptors in ((300, 4100), (200, 4100), (552, 10_092)):
            counts = {
                name: compute_connections(
                    share, memory * MEBIBYTE, descriptors, RECEIVE_BUFFER_BYTES
                )
                for name, share in SHARES.items()
            }
            self.assertGreater(counts["callers"], 1000)
            self.assertGreater(counts["control"], 200)
            self.assertLess(sum(counts.values()), 0.7 * (descriptors - 200))

    def test_some_connections_always_fit(self):
        for share in SHARES.values():
            self.assertGreater(compute_connections(share, MEBIBYTE, 0, 1), 0)
