"""Tests of header fields, and of the memory that requests leave behind."""

import gc
import unittest

import eventlet

from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.requests import parse_head
from hingesill_node.datapath.responses import EndpointResponse
from hingesill_node.datapath.tests.callerservice import (
    CHUNKED_HEAD,
    GET,
    LISTENERS,
    POST,
    CallerService,
    end_by_half_close,
)

PAIRS = [("Host", "a"), ("X-A", ""), ("x-a", "1: 2"), ("b", "caf\xe9\x85")]


class HeaderFieldsTests(unittest.TestCase):
    def setUp(self):
        self.fields = HeaderFields(PAIRS)

    def test_pairs_keep_order_case_and_bytes(self):
        self.assertEqual(list(self.fields), PAIRS)
        self.assertEqual(len(self.fields), len(PAIRS))
        lines = b"Host: a\r\nX-A: \r\nx-a: 1: 2\r\nb: caf\xe9\x85\r\n"
        self.assertEqual(self.fields.encode(), lines)

    def test_values_are_found_by_name_in_any_case(self):
        self.assertEqual(self.fields.get("host"), "a")
        self.assertEqual(self.fields.get("X-a"), "")
        self.assertEqual(self.fields.get_all("x-A"), ["", "1: 2"])
        self.assertIsNone(self.fields.get("x"))
        self.assertEqual(self.fields.get_all("1"), [])

    def test_no_fields(self):
        fields = HeaderFields()
        self.assertEqual((list(fields), len(fields), fields.encode()), ([], 0, b""))

    def test_memory_is_near_the_size_of_the_head(self):
        lines = "".join(f"{number:x}:\r\n" for number in range(256, 2856))
        head = f"GET / HTTP/1.1\r\n{lines}\r\n".encode()
        self.assertLess(parse_head(head).fields.count_bytes(), 2 * len(head))


class GarbageTests(unittest.TestCase):
    """Guards against objects that only the garbage collector frees."""

    requests = 100

    def setUp(self):
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def check(self, serve):
        """Check that the garbage does not grow with the number of requests."""
        serve()
        gc.collect()
        for _ in range(self.requests):
            serve()
        self.assertLess(gc.collect(), self.requests)

    def test_requests(self):
        service = CallerService(self)
        chunked = CHUNKED_HEAD + b"1\r\na\r\n0\r\n\r\n"
        for data in (GET, POST, chunked, GET[:50], b"GET\x00 / HTTP/1.1\r\n\r\n"):
            for listener in LISTENERS:
                with self.subTest(data=data[:20], listener=listener):
                    self.check(lambda: service.send(data, end_by_half_close, listener))
                    service.accepted.clear()

    def test_answers_of_endpoints(self):
        def serve():
            ours, theirs = eventlet.green.socket.socketpair()
            theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
            response = EndpointResponse(ours, "GET")
            response.read_head()
            response.read_whole()
            response.release()

        self.check(serve)
