"""Tests of sockets that are opened before the rest of the node is loaded."""

import socket
import unittest

from hingesill_node.datapath.server import listen
from hingesill_node.listeners import (
    RECEIVE_BUFFER_BYTES,
    open_early_listener,
    pop_early_listener,
)


def find_free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


class EarlySocketTests(unittest.TestCase):
    def test_an_early_connection_is_accepted_by_the_server(self):
        address = find_free_address()
        open_early_listener(address)
        host, port = address.split(":")
        caller = socket.create_connection((host, int(port)), timeout=1.0)
        self.addCleanup(caller.close)
        server = listen(address, False)
        self.addCleanup(server.close)
        accepted, _ = server.accept()
        self.addCleanup(accepted.close)
        self.assertEqual(accepted.getpeername(), caller.getsockname())

    def test_an_early_socket_is_returned_once(self):
        address = find_free_address()
        open_early_listener(address)
        pop_early_listener(address).close()
        self.assertIsNone(pop_early_listener(address))

    def test_the_server_reports_an_address_in_use(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            address = "127.0.0.1:%d" % sock.getsockname()[1]
            open_early_listener(address)
            self.assertIsNone(pop_early_listener(address))
            with self.assertRaises(OSError):
                listen(address, False)


class ReceiveBufferTests(unittest.TestCase):
    """Guards against unread bytes of clients that take up the memory of the VM."""

    def test_a_client_that_is_not_read(self):
        server = listen("127.0.0.1:0", False)
        self.addCleanup(server.close)
        with socket.create_connection(server.getsockname()) as client:
            accepted, _ = server.accept()
            self.addCleanup(accepted.close)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client.settimeout(0.2)
            with self.assertRaises(TimeoutError):
                client.sendall(b"x" * 8_000_000)
            received = len(accepted.fd.recv(8_000_000, socket.MSG_PEEK))
        self.assertLessEqual(received, 2 * RECEIVE_BUFFER_BYTES)

    def test_an_early_listener_gets_the_size_in_the_settings(self):
        address = find_free_address()
        open_early_listener(address)
        server = listen(address, False, 8 * 1024)
        self.addCleanup(server.close)
        size = server.fd.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertEqual(size, 2 * 8 * 1024)
