"""Tests of answers that end early after their first bytes were passed on."""

import unittest

from hingesill_node.datapath.messages import Answer
from hingesill_node.datapath.tests.callerservice import (
    GET,
    AcceptingApplication,
    CallerService,
)
from hingesill_node.datapath.waits import receive

PART = b"x" * 100_000


class AbortedExchange:
    """An exchange whose endpoint ends its answer early."""

    def stream(self, answer):
        """Yield a part of the body, then raise."""
        yield PART
        raise ConnectionAbortedError("the endpoint closed its connection")


class AbortingApplication(AcceptingApplication):
    """Passes on a part of an answer without a length."""

    def _exchange(self, environ, start_response, request):
        answer = Answer(200, "OK", [], None)
        exchange = AbortedExchange()
        return self._forward_answer(environ, start_response, request, exchange, answer)


class AbortedAnswerTests(unittest.TestCase):
    """Guards against answers that ended early and look whole to their callers."""

    def setUp(self):
        self.service = CallerService(self, AbortingApplication)

    def read(self, data):
        """Return what is received, and whether the connection was reset."""
        received = b""
        sock = self.service.connect()
        sock.sendall(data)
        try:
            while part := receive(sock, 65536):
                received += part
        except ConnectionResetError:
            return received, True
        finally:
            sock.close()
        return received, False

    def test_a_body_that_ends_with_the_connection(self):
        _, was_reset = self.read(GET.replace(b"HTTP/1.1", b"HTTP/1.0"))
        self.assertTrue(was_reset)

    def test_a_body_in_chunks_has_no_last_one(self):
        received, was_reset = self.read(GET)
        self.assertFalse(was_reset)
        self.assertIn(b"\r\nTransfer-Encoding: chunked\r\n", received)
        self.assertTrue(received.endswith(PART + b"\r\n"))

    def test_no_place_is_kept(self):
        self.read(GET.replace(b"HTTP/1.1", b"HTTP/1.0"))
        self.assertEqual(self.service.blackboard.in_flight, 0)
