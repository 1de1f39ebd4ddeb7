"""Tests of turns between green threads whose clients always send."""

from unittest.mock import patch

import eventlet

from hingesill_node.datapath import callerprotocol, turns
from hingesill_node.datapath.tests.callerservice import (
    BODY,
    CHUNKED_HEAD,
    GET,
    POST_HEAD,
    CallerService,
    WholeRequestCase,
    close_all,
    end_by_half_close,
)
from hingesill_node.datapath.turns import Turn, TurnGate
from hingesill_node.resources import ServerLimits

CONNECTIONS = 20
ROUNDS = 20


class TurnTests(WholeRequestCase):
    """Guards against connections that keep all other green threads waiting."""

    def count_steps(self, data):
        """Return how often another green thread ran while data was read."""
        steps = []

        def step():
            while True:
                steps.append(None)
                eventlet.sleep(0)

        with patch.object(turns, "TURN_SECONDS", 0.0):
            sock = self.service.connect()
            sock.sendall(data)
            other = eventlet.spawn(step)
            end_by_half_close(sock)
            other.kill()
        return len(steps)

    def test_a_body_that_has_arrived(self):
        body = b"1\r\na\r\n" * 20_000 + b"0\r\n\r\n"
        reads = len(body) // (8 * 1024)
        self.assertGreater(self.count_steps(CHUNKED_HEAD + body), reads)

    def test_many_bodies_that_have_arrived(self):
        body = CHUNKED_HEAD + b"1\r\na\r\n" * 5_000
        socks = [self.service.connect() for _ in range(CONNECTIONS)]
        self.addCleanup(close_all, socks)
        for sock in socks:
            sock.sendall(body)
        with (
            patch.object(turns, "TURN_SECONDS", 0.0),
            patch.object(Turn, "begin", autospec=True) as begin,
        ):
            for _ in range(ROUNDS):
                eventlet.sleep(0)
        self.assertLess(begin.call_count, 2 * CONNECTIONS + ROUNDS)

    def test_a_turn_is_short_after_a_wait(self):
        with patch.object(turns, "TURN_SECONDS", 3600.0):
            turn = Turn()
            turn.begin()
            self.assertFalse(turn.is_over())


class TurnGateTests(WholeRequestCase):
    """Guards against many expensive requests that are handled in one turn."""

    def test_other_threads_run_between_two_requests(self):
        gate = TurnGate(1)
        order = []

        def start(name):
            gate.pass_through()
            order.append(name)
            eventlet.spawn_n(order.append, f"after {name}")

        threads = [eventlet.spawn(start, name) for name in ("a", "b")]
        for thread in threads:
            thread.wait()
        self.assertLess(order.index("after a"), order.index("b"))

    def test_pipelined_and_large_requests_are_answered(self):
        long_head = GET.replace(b"Cookie", b"A: " + 9_000 * b"b" + b"\r\nCookie")
        self.assertGreater(len(long_head), callerprotocol.LARGE_HEAD_BYTES)
        data = (GET + long_head) * 10
        received = self.service.send(data, end_by_half_close)
        self.check(received, [("GET", b"")] * 20)


class FramingTests(WholeRequestCase):
    """Guards against bytes of a chunked body without end that are no body."""

    def send(self, body):
        service = CallerService(self)
        received = service.send(CHUNKED_HEAD + body, end_by_half_close)
        return received, service.accepted

    def test_extensions_and_trailers(self):
        size = ServerLimits().head_bytes + 8 * 1024
        extension = b"1;" + b"a" * size
        trailers = b"1\r\na\r\n0\r\n" + b"a: b\r\n" * (size // 6)
        for body in (extension, trailers):
            received, accepted = self.send(body)
            self.assertIn(b"\r\nHingesill-Reason: bad-framing\r\n", received)
            self.assertEqual(accepted, [])

    def test_short_ones(self):
        body = b"1;" + b"a" * 1000 + b"\r\na\r\n0\r\n" + b"a: b\r\n" * 100 + b"\r\n"
        _, accepted = self.send(body)
        self.assertEqual([request[3] for request in accepted], [b"a"])


class WaitTests(WholeRequestCase):
    """Guards against callers that wait behind those that always send."""

    def test_a_turn_begins_anew_after_a_wait(self):
        with (
            patch.object(turns, "TURN_SECONDS", 0.01),
            patch.object(turns, "CONTINUATION_GATE") as gate,
        ):
            sock = self.service.connect()
            self.addCleanup(close_all, [sock])
            for part in (POST_HEAD, BODY[:5], BODY[5:]):
                sock.sendall(part)
                eventlet.sleep(0.03)
            self.assertIn(b" 200 ", sock.recv(65536))
        gate.pass_through.assert_not_called()
