"""Tests of endpoints' answers without end, and of answers that stop."""

import itertools
import random
import tracemalloc
import unittest
from contextlib import suppress
from unittest.mock import patch

import eventlet
from msgspec.structs import replace

from hingesill_core.reasons import Outcome
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.messages import Refusal, Ticket
from hingesill_node.datapath import turns
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.responses import (
    PARSED_BYTES,
    EndpointResponse,
    IncompleteResponse,
    MalformedResponse,
)
from hingesill_node.datapath.runner import ServiceRunner
from hingesill_node.datapath.tests.test_loadqueries import (
    ROUTE,
    NoAnnouncements,
    build_service,
)
from hingesill_node.datapath.tests.test_responses import connect
from hingesill_node.datapath.waits import WaitTimeout
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 16_000
HEADER_LINES = 10_000
TINY_CHUNK = b"1\r\nx\r\n"
MAX_RECEIVED_BYTES = 1_000_000
BODY_LIMIT = 64 * 1024
LIMIT_SECONDS = 0.3
MOVES = replace(ROUTE, repeatable=False)
TEST_SECONDS = 5.0


def send_endlessly(sock, beginning, part, pause=0.0):
    """Send a part of an answer again and again until the connection is closed."""
    with suppress(OSError):
        sock.sendall(beginning)
        for _ in itertools.count():
            sock.sendall(part)
            if pause:
                eventlet.sleep(pause)


class EndlessResponseCase(unittest.TestCase):
    def setUp(self):
        self.client, self.server = connect()
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)

    def send(self, beginning, part, pause=0.0):
        thread = eventlet.spawn(send_endlessly, self.server, beginning, part, pause)
        self.addCleanup(thread.kill)

    def read(self, seconds=None):
        response = EndpointResponse(self.client, "GET", seconds=seconds)
        with eventlet.Timeout(TEST_SECONDS):
            response.read_head()
            response.read_short(BODY_LIMIT)
        return response


class EndlessHeadTests(EndlessResponseCase):
    """Guards against heads without end that use up memory or never time out."""

    def test_heads(self):
        for beginning, part in (
            (b"", FILLER),
            (b"", b"\r\n" * 8_000),
            (HEAD + b"A: ", FILLER),
            (HEAD, b"A: %s\r\n" % FILLER),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
        ):
            with self.subTest(beginning=beginning, part=part[:20]):
                self.setUp()
                self.send(beginning, part)
                with self.assertRaises(MalformedResponse):
                    self.read()

    def test_a_head_that_trickles_in(self):
        self.client.settimeout(1.0)
        self.send(HEAD + b"A: ", b"x", pause=0.01)
        with self.assertRaises(WaitTimeout):
            self.read(LIMIT_SECONDS)


class HeadMemoryTests(EndlessResponseCase):
    """Guards against heads of answers that cost many times their size."""

    def test_short_header_lines(self):
        self.send(HEAD + b"a:\r\n" * HEADER_LINES, b"", pause=0.01)
        response = EndpointResponse(self.client, "GET")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        while response._received < 4 * HEADER_LINES:
            response._receive()
        size, _ = tracemalloc.get_traced_memory()
        self.assertLess(size, 3 * response._received)


class EndlessBodyTests(EndlessResponseCase):
    """Guards against bodies without end that block the node or use up its memory."""

    def check_framing(self, beginning, part):
        self.send(CHUNKED + beginning, part)
        with self.assertRaises(MalformedResponse):
            self.read()

    def test_an_extension_of_a_chunk(self):
        self.check_framing(b"5;a=", FILLER)

    def test_trailers(self):
        self.check_framing(b"5\r\nabcde\r\n0\r\n", b"A: %s\r\n" % FILLER)

    def test_small_chunks_are_no_fault(self):
        self.send(CHUNKED, b"1\r\na\r\n" * 2_000)
        self.assertIsNone(EndpointResponse.read_short(self.read(), BODY_LIMIT))

    def test_other_green_threads_run_while_a_body_is_read(self):
        self.send(HEAD + b"\r\n", FILLER)
        response = self.read()
        turns = []

        def count_turns():
            while True:
                turns.append(response._received)
                eventlet.sleep(0)

        thread = eventlet.spawn(count_turns)
        self.addCleanup(thread.kill)
        # Reads that never have to wait, as from an endpoint on a fast link.
        response._sock = AlwaysReadable()
        with eventlet.Timeout(TEST_SECONDS):
            for part in response.read_body():
                if response._received > 50 * MAX_RECEIVED_BYTES:
                    break
        self.assertGreater(len(turns), 10)

    def read_head(self, part):
        """Return a response with its head read, whose body repeats a part."""
        self.send(CHUNKED, b"", pause=0.01)
        response = EndpointResponse(self.client, "GET")
        response.read_head()
        response._sock = AlwaysReadable(part)
        return response

    def test_small_chunks_are_passed_on_together(self):
        """Guards against a write to the caller for each byte of an answer."""
        response = self.read_head(TINY_CHUNK * 1_000)
        parts = itertools.islice(response.read_body(), 5)
        self.assertEqual([len(part) for part in parts], [1_000] * 5)

    def test_other_green_threads_run_while_small_chunks_are_parsed(self):
        """Guards against one read of very small chunks that stops all other work."""
        response = self.read_head(TINY_CHUNK * 10_000)
        runs = []

        def count_runs():
            while True:
                runs.append(len(runs))
                eventlet.sleep(0)

        thread = eventlet.spawn(count_runs)
        self.addCleanup(thread.kill)
        with patch.object(turns, "TURN_SECONDS", 0.0):
            response._receive()
        self.assertGreaterEqual(len(runs), 60_000 // PARSED_BYTES)

    def test_a_response_that_is_closed_while_others_run(self):
        """Guards against parts of an answer that are read after its connection."""
        response = self.read_head(TINY_CHUNK * 10_000)
        eventlet.spawn(response.release)
        with patch.object(turns, "TURN_SECONDS", 0.0):
            with self.assertRaises(IncompleteResponse):
                response._receive()

    def test_a_body_that_trickles_in(self):
        self.client.settimeout(1.0)
        self.send(HEAD + b"\r\n", b"x", pause=0.01)
        with self.assertRaises(WaitTimeout):
            self.read(LIMIT_SECONDS)


class AlwaysReadable:
    """A socket whose reads return the same data at once."""

    fd = property(lambda self: self)

    def __init__(self, data=FILLER):
        self._data = data

    def recv(self, size):
        return self._data


class StoppedAnswerTests(unittest.TestCase):
    """Guards against requests held past their deadline by an answer that stops."""

    def serve(self, beginning, part=b"", closes=False):
        """Return the port of an endpoint that sends an incomplete answer."""
        listener = eventlet.listen(("127.0.0.1", 0))

        def answer(sock, address):
            with suppress(OSError):
                if not sock.recv(65536):
                    return  # A check whether the endpoint accepts connections.
                sock.sendall(beginning)
                while not closes:
                    sock.sendall(part)
                    eventlet.sleep(0.02)

        thread = eventlet.spawn(eventlet.serve, listener, answer)
        self.addCleanup(thread.kill)
        return listener.getsockname()[1]

    def exchange(self, port):
        """Return the result of a request to the endpoint, and its seconds."""
        runner = ServiceRunner(
            replace(build_service(), policy="least_in_flight_of_two"),
            FleetView("a", 1, 1),
            random.Random(1),
            NoAnnouncements(),
        )
        for pool in runner.pools.values():
            pool.address = f"127.0.0.1:{port}"
        now = runner.clock()
        ticket = Ticket(MOVES, now, now + LIMIT_SECONDS)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), ticket)
        with eventlet.Timeout(TEST_SECONDS):
            result = Exchange(runner, request, Counters(), OwnFormat()).run()
        return result, runner.clock() - now

    def check_refused(self, beginning, part=b"", closes=False):
        result, seconds = self.exchange(self.serve(beginning, part, closes))
        self.assertIsInstance(result, Refusal)
        self.assertIs(result.outcome, Outcome.UNKNOWN)
        self.assertLess(seconds, LIMIT_SECONDS + 0.3)

    def test_a_head_that_stops(self):
        self.check_refused(HEAD + b"Hingesill-Requ")

    def test_a_head_that_stops_and_closes(self):
        for cut in range(1, len(HEAD)):
            self.check_refused(HEAD[:cut], closes=True)

    def test_a_short_body_that_stops(self):
        head = HEAD + b"Hingesill-Request-Id: r1\r\nContent-Length: 9\r\n\r\n"
        self.check_refused(head + b"abc")

    def test_a_head_without_end(self):
        self.check_refused(HEAD + b"A: ", FILLER)

    def test_a_short_body_without_end(self):
        self.check_refused(HEAD + b"Hingesill-Request-Id: r1\r\n\r\n", b"x")
