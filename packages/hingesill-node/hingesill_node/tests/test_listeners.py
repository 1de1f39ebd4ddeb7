"""Tests of sockets that are opened before the node is loaded."""

import socket
import unittest

from hingesill_node.datapath.server import listen
from hingesill_node.listeners import open_early, take_early


def find_free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


class EarlySocketTests(unittest.TestCase):
    def test_a_caller_who_comes_early_is_kept_for_the_server(self):
        address = find_free_address()
        open_early(address)
        host, port = address.split(":")
        caller = socket.create_connection((host, int(port)), timeout=1.0)
        self.addCleanup(caller.close)
        server = listen(address, False)
        self.addCleanup(server.close)
        taken, _ = server.accept()
        self.addCleanup(taken.close)
        self.assertEqual(taken.getpeername(), caller.getsockname())

    def test_a_socket_is_given_once(self):
        address = find_free_address()
        open_early(address)
        take_early(address).close()
        self.assertIsNone(take_early(address))

    def test_an_address_in_use_is_left_to_the_server(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            address = "127.0.0.1:%d" % sock.getsockname()[1]
            open_early(address)
            self.assertIsNone(take_early(address))
            with self.assertRaises(OSError):
                listen(address, False)
