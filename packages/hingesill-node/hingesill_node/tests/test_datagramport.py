"""Tests of the UDP socket that parts of a node share."""

import socket
import unittest

import eventlet

from hingesill_node.datagramport import DatagramPort
from hingesill_node.telemetry.counters import Counters


class PortTests(unittest.TestCase):
    def setUp(self):
        self.counters = Counters()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            self.address = sock.getsockname()
        self.port = DatagramPort(self.counters)
        self.port.start("%s:%d" % self.address)
        self.heard = []

    def wait(self, condition):
        with eventlet.Timeout(5.0):
            while not condition():
                eventlet.sleep(0.01)

    def test_each_kind_comes_to_its_taker(self):
        self.port.register(b"A", lambda data, sender: self.heard.append((data, "A")))
        self.port.register_other(lambda data, sender: self.heard.append((data, "")))
        for data in (b"A1", b"B1", b""):
            self.port.send(data, self.address)
        self.wait(lambda: len(self.heard) == 3)
        self.assertEqual(self.heard, [(b"A1", "A"), (b"B1", ""), (b"", "")])

    def test_what_nothing_takes_is_counted(self):
        self.port.send(b"x", self.address)
        self.wait(lambda: self.counters.counts[("datagrams", "unknown", "")] == 1)

    def test_a_kind_has_one_taker(self):
        self.port.register(b"A", print)
        with self.assertRaises(ValueError):
            self.port.register(b"A", print)

    def test_sending_never_waits(self):
        """Not even for a moment in which another green thread could run."""
        ran = []
        eventlet.spawn(lambda: ran.append(True))
        for _ in range(2000):
            try:
                self.port.send(b"x" * 1400, self.address)
            except OSError:
                continue
        self.assertEqual(ran, [])
