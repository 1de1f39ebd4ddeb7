"""Tests of requests whose body ends early or is malformed, and of whole bodies."""

import random
import re
from unittest.mock import patch

import eventlet

from hingesill_node.datapath import server
from hingesill_node.datapath.tests.callerservice import (
    BODY,
    CHUNKED_HEAD,
    GET,
    LISTENERS,
    LONG_BODY,
    LONG_HEAD,
    POST_HEAD,
    CallerService,
    IncompleteRequestCase,
    WholeRequestCase,
    end_by_half_close,
    list_faults,
    read_to_end,
)

CHUNK = b"%04x;a=1\r\n%b\r\n"


def chunk(rng):
    """Return the long body in chunks of up to 9,000 bytes."""
    chunks = []
    start = 0
    while start < len(LONG_BODY):
        data = LONG_BODY[start : start + rng.randint(1, 9_000)]
        chunks.append(CHUNK % (len(data), data))
        start += len(data)
    return b"".join(chunks) + b"00000\r\n\r\n"


class IncompleteBodyTests(IncompleteRequestCase):
    """Guards against requests that run with a part of their body."""

    def check_body(self, head, body):
        data = head + body
        self.check_cuts(data, range(len(head), len(data)))

    def test_a_length(self):
        self.check_body(POST_HEAD, BODY)

    def test_the_size_of_a_chunk(self):
        self.check_body(CHUNKED_HEAD, b"0010\r\n0123456789abcdef\r\n0\r\n\r\n")

    def test_the_size_of_a_later_chunk(self):
        for body in (
            b"4\r\nabcd\r\n0004\r\nefgh\r\n0\r\n\r\n",
            b"3\r\na\r\n\r\n00\r\n\r\n",
        ):
            self.check_body(CHUNKED_HEAD, body)

    def test_chunk_extensions(self):
        self.check_body(CHUNKED_HEAD, b'04;a="1"\r\nabcd\r\n0;b=2\r\n\r\n')

    def test_trailers(self):
        self.check_body(CHUNKED_HEAD, b"4\r\nabcd\r\n0\r\nA: 1\r\nB: 2\r\n\r\n")

    def test_a_streamed_body(self):
        rng = random.Random(64)
        for head, body in ((LONG_HEAD, LONG_BODY), (CHUNKED_HEAD, chunk(rng))):
            data = head + body
            cuts = rng.sample(range(len(head), len(data)), 20)
            self.check_cuts(data, [*cuts, len(data) - 6, len(data) - 1])

    def test_the_size_of_a_streamed_chunk(self):
        data = CHUNKED_HEAD + chunk(random.Random(64))
        sizes = re.finditer(rb"\r\n0[0-9a-f]{3};a=1\r\n", data)
        # A size that is cut after its leading zero.
        cuts = [match.start() + 3 for match in sizes if match.start() > 70_000]
        self.assertEqual(len(cuts), 9)
        self.check_cuts(data, cuts)


class IncompleteBodyRecordTests(IncompleteRequestCase):
    """Guards against incomplete bodies that operators and callers cannot see."""

    def check(self, data, reason, detail):
        with self.assertLogs("hingesill", "WARNING") as logs:
            received = self.service.send(data, end_by_half_close)
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
        self.assertIn(b"\r\nHingesill-Outcome: not-run\r\n", received)
        self.assertIn(b"\r\nHingesill-Reason: %b\r\n" % reason.encode(), received)
        (record,) = list_faults(logs)
        self.assertEqual(
            (record.event, record.part, record.listener, record.reason),
            (6007, "body", "callers", reason),
        )
        self.assertEqual(record.detail, detail)
        self.assertIn(record.request.encode(), received)
        self.assertEqual(self.service.counters.counts["refusals", "", reason], 1)
        self.assertEqual(self.service.count_held(), 0)

    def test_a_length(self):
        detail = "the connection ended after 4 of 20 bytes of the body"
        self.check(POST_HEAD + BODY[:4], "incomplete-request", detail)

    def test_chunks(self):
        detail = "the connection ended within a chunked body"
        self.check(CHUNKED_HEAD + b"4\r\nab", "incomplete-request", detail)

    def test_a_malformed_size(self):
        detail = "Invalid character in chunk size"
        self.check(CHUNKED_HEAD + b"+4\r\nabcd", "bad-framing", detail)

    def test_silence_within_a_body(self):
        for data in (POST_HEAD + BODY[:4], CHUNKED_HEAD + b"4\r\nab"):
            with patch.object(server, "SOCKET_TIMEOUT_SECONDS", 0.05):
                service = CallerService(self)
            sock = service.connect()
            sock.sendall(data)
            self.assertIn(b"incomplete-request", read_to_end(sock))
            self.assertEqual((service.accepted, service.count_held()), ([], 0))


class MalformedBodyTests(IncompleteRequestCase):
    """Guards against chunks that endpoints or callers understand in another way."""

    def check(self, body):
        """Check that a body is refused, and that nothing after it is a request."""
        for listener in LISTENERS:
            received = self.service.send(
                CHUNKED_HEAD + body + b"\r\n0\r\n\r\n" + GET,
                end_by_half_close,
                listener,
            )
            self.assertEqual(self.service.accepted, [])
            self.assertEqual(received.count(b"HTTP/1.1 "), 1)
            self.assertIn(b"\r\nHingesill-Reason: bad-framing\r\n", received)
            self.assertIn(b"\r\nHingesill-Outcome: not-run\r\n", received)
        self.assertEqual(self.service.count_held(), 0)

    def test_sizes_that_are_no_hexadecimal_numbers(self):
        for size in (b"+4", b"-4", b" 4", b"4 ", b"0x4", b"0_4", b"", b"g", b"\xff"):
            with self.subTest(size=size):
                self.check(size + b"\r\nabcd\r\n0\r\n\r\n")

    def test_sizes_beyond_any_body(self):
        self.check(b"1" + 16 * b"0" + b"\r\nabcd\r\n")

    def test_bytes_after_the_data_of_a_chunk(self):
        for after in (b"x\r\n", b"\n", b"\r", b"abcd\r\n"):
            with self.subTest(after=after):
                self.check(b"4\r\nabcd" + after + b"0\r\n\r\n")

    def test_lines_that_end_without_a_carriage_return(self):
        self.check(b"4\nabcd\r\n0\r\n\r\n")
        self.check(b"4\r\nabcd\r\n0\n\n")

    def test_malformed_trailers(self):
        for trailer in (b"a b", b"Content-Length: 4", b"Transfer-Encoding: chunked"):
            with self.subTest(trailer=trailer):
                self.check(b"4\r\nabcd\r\n0\r\n" + trailer + b"\r\n\r\n")


class WholeBodyTests(WholeRequestCase):
    """Guards against whole bodies that are refused or read beyond their end."""

    def test_chunk_extensions_and_trailers(self):
        body = b'B;a="1"\r\nweight=12\r\n\r\n9;b\r\n\r\n&plot=7\r\n'
        for listener in LISTENERS:
            for end in (b"0\r\n\r\n", b"000;c=d\r\nE: f\r\nG: h\r\n\r\n"):
                data = CHUNKED_HEAD + body + end
                received = self.service.send(data + GET, end_by_half_close, listener)
                self.check(received, [("POST", BODY), ("GET", b"")])

    def test_chunks_in_many_segments(self):
        data = (
            CHUNKED_HEAD
            + b"B\r\nweight=12\r\n\r\n9\r\n\r\n&plot=7\r\n0\r\nE: f\r\n\r\n"
        )
        for listener in LISTENERS:
            sock = self.service.connect(listener)
            for index in range(len(data)):
                sock.sendall(data[index : index + 1])
                eventlet.sleep(0)
            sock.sendall(GET)
            received = end_by_half_close(sock)
            self.check(received, [("POST", BODY), ("GET", b"")])

    def test_streamed_bodies(self):
        rng = random.Random(64)
        for data in (LONG_HEAD + LONG_BODY, CHUNKED_HEAD + chunk(rng)):
            received = self.service.send(data + GET, end_by_half_close)
            self.check(received, [("POST", LONG_BODY), ("GET", b"")])

    def test_early_answers_to_long_bodies(self):
        rng = random.Random(64)
        for data in (LONG_HEAD + LONG_BODY, CHUNKED_HEAD + chunk(rng)):
            data = data.replace(b"/a/1", b"/unknown", 1)
            received = self.service.send(data + GET, end_by_half_close)
            self.assertTrue(received.startswith(b"HTTP/1.1 404 "))
            self.check(received.replace(b"HTTP/1.1 404", b""), [("GET", b"")])

    def test_a_chunked_body_of_a_request_to_upgrade(self):
        head = CHUNKED_HEAD.replace(b"Host: a", b"Connection: Upgrade\r\nUpgrade: h2c")
        data = head + b"4\r\nabcd\r\n0\r\n\r\n"
        received = self.service.send(data + GET, end_by_half_close)
        self.check(received, [("POST", b"abcd"), ("GET", b"")])

    def test_a_caller_that_waits_for_100_continue(self):
        head = CHUNKED_HEAD.replace(b"Host: a", b"Host: a\r\nExpect: 100-continue")
        sock = self.service.connect()
        sock.sendall(head)
        self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 100 Continue\r\n"))
        sock.sendall(b"4\r\nabcd\r\n0\r\n\r\n")
        self.check(end_by_half_close(sock), [("POST", b"abcd")])
