"""Tests of reading incomplete, unsolicited and late responses."""

import socket
import struct
import unittest

import eventlet
from eventlet.green import socket as green_socket

from hingesill_node.datapath.responses import EndpointResponse, IncompleteResponse
from hingesill_node.datapath.waits import wait_any

LINGER_RESET = struct.pack("ii", 1, 0)


def connect():
    """Return both ends of a connection."""
    listener = green_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    client = green_socket.create_connection(listener.getsockname(), timeout=1.0)
    server, _ = listener.accept()
    listener.close()
    return client, server


class ResponseTests(unittest.TestCase):
    def setUp(self):
        self.client, self.server = connect()
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)

    def read(self, data, end=None, request_id=None):
        """Return the EndpointResponse with its head read from data that is sent."""
        is_own = None
        if request_id is not None:
            is_own = self.build_check(request_id)
        response = EndpointResponse(self.client, "GET", is_own)
        eventlet.spawn(self.send, data, end)
        response.read_head()
        return response

    def build_check(self, request_id):
        return lambda response: response.get("Id") == request_id

    def send(self, data, end):
        self.server.sendall(data)
        eventlet.sleep(0.02)
        if end == "reset":
            self.server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        if end is not None:
            self.server.close()

    def test_unframed_response_ends_with_its_connection(self):
        response = self.read(b"HTTP/1.1 200 OK\r\n\r\nwhole", "close")
        self.assertEqual(response.read_short(100), b"whole")
        self.assertFalse(response.can_keep)

    def test_reset_unframed_response_is_incomplete(self):
        response = self.read(b"HTTP/1.1 200 OK\r\n\r\nha", "reset")
        with self.assertRaises(OSError):
            response.read_short(100)

    def test_truncated_framed_response_is_incomplete(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"
        response = self.read(head, "close")
        with self.assertRaises(IncompleteResponse):
            response.read_short(100)

    def test_late_response_to_another_request_is_skipped(self):
        late = b"HTTP/1.1 500 Late\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
        own = b"HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew"
        response = self.read(late + own, request_id="new")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.read_short(100), b"new")
        self.assertFalse(response.can_keep)

    def test_unsolicited_response_does_not_change_the_complete_one(self):
        own = b"HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew"
        unsolicited = b"HTTP/1.1 404 No\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
        response = self.read(own + unsolicited, request_id="new")
        self.assertEqual(response.read_short(100), b"new")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.reason, "OK")
        self.assertFalse(response.can_keep)

    def test_long_body_can_be_read_later(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
        response = self.read(head + b"x" * 30)
        self.assertIsNone(response.read_short(5)) if not response.complete else None
        self.assertEqual(b"".join(response.read_body()), b"x" * 30)

    def test_keep_alive_timeout(self):
        head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=9\r\n"
        response = self.read(head + b"Content-Length: 0\r\n\r\n")
        self.assertEqual(response.idle_seconds, 7.0)


class WaitTests(unittest.TestCase):
    def test_two_ready_sockets_end_one_wait(self):
        first, first_server = connect()
        second, second_server = connect()
        first_server.sendall(b"x")
        second_server.sendall(b"x")
        eventlet.sleep(0.02)
        self.assertIn(wait_any([first, second], 1.0), (first, second))
        # A second callback would end this sleep early.
        with eventlet.Timeout(1.0):
            before = eventlet.hubs.get_hub().clock()
            eventlet.sleep(0.05)
        self.assertGreaterEqual(eventlet.hubs.get_hub().clock() - before, 0.05)
        for sock in (first, second, first_server, second_server):
            sock.close()

    def test_none_after_the_timeout(self):
        client, server = connect()
        self.assertIsNone(wait_any([client], 0.02))
        client.close()
        server.close()
