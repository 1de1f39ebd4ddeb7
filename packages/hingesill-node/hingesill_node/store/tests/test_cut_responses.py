"""Tests of responses of the Consul store that end before they are whole."""

import json
import socket
import struct
import threading
import unittest

from hingesill_core.store import (
    KeyMissing,
    LeaseGranted,
    LeaseLost,
    StoreFailure,
    Value,
    VersionConflict,
    Written,
)
from hingesill_node.store.consul import ConsulStore

ITEM = json.dumps([{"Value": "YWJj", "ModifyIndex": 17}]).encode()


def frame(status, body):
    """Yield a response with a length, in chunks, and without either."""
    head = b"HTTP/1.1 %b\r\nConnection: close\r\nX-Consul-Index: 17\r\n" % status
    yield head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    chunk = b"%04x\r\n%b\r\n" % (len(body), body) if body else b""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    yield head + b"\r\n" + body


def read_request(file):
    """Read a request with its body."""
    length = 0
    while (line := file.readline().strip()) != b"":
        name, _, value = line.lower().partition(b":")
        length = int(value) if name == b"content-length" else length
    file.read(length)


class CuttingServer:
    """Sends the beginning of a response, and ends the connection."""

    def __init__(self):
        self.response = b""
        self.is_reset = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = "http://127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with sock, sock.makefile("rb") as file:
                read_request(file)
                sock.sendall(self.response)
                if self.is_reset:
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class CutResponseTests(unittest.TestCase):
    """Guards against responses that are believed though their connection ended."""

    def setUp(self):
        self.server = CuttingServer()
        self.addCleanup(self.server.close)
        self.store = ConsulStore(self.server.url)

    def check(self, call, status, body, expected):
        """Check that only whole responses are believed, and all of these."""
        length, chunks, unframed = frame(status, body)
        for response in (length, chunks):
            self.assertEqual(self.list_believed(call, response), set())
        # The end of its body is not recognizable; its status may suffice.
        self.assertLessEqual(self.list_believed(call, unframed), {expected})
        self.server.is_reset = False
        for self.server.response in (length, chunks, unframed):
            self.assertIsInstance(call(), expected)

    def list_believed(self, call, response):
        """Return the types of results of cut responses that are no failures."""
        believed = set()
        for self.server.is_reset in (False, True):
            for cut in range(len(response)):
                self.server.response = response[:cut]
                result = call()
                if not isinstance(result, StoreFailure):
                    believed.add(type(result))
        return believed

    def test_a_write(self):
        for body, expected in ((b"true", Written), (b"false", VersionConflict)):
            self.check(lambda: self.store.put("a", b"1", 3), b"200 OK", body, expected)

    def test_a_value(self):
        self.check(lambda: self.store.get("a"), b"200 OK", ITEM, Value)

    def test_a_value_nested_too_deeply(self):
        body = b"[" * 60_000 + b"]" * 60_000
        self.server.response = next(frame(b"200 OK", body))
        self.assertIsInstance(self.store.get("a"), StoreFailure)

    def test_a_missing_key(self):
        self.check(lambda: self.store.get("a"), b"404 Not Found", b"", KeyMissing)

    def test_a_renewal(self):
        for status, expected in ((b"200 OK", LeaseGranted), (b"404 No", LeaseLost)):
            self.check(lambda: self.store.renew("l", 5.0), status, ITEM, expected)

    def test_a_deletion(self):
        self.check(lambda: self.store.delete("a"), b"200 OK", b"true", Written)
