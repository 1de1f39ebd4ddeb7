"""Tests of the UDP socket that the components of a node share."""

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
        self.received = []

    def wait(self, condition):
        with eventlet.Timeout(5.0):
            while not condition():
                eventlet.sleep(0.01)

    def test_datagrams_are_dispatched_by_first_byte(self):
        self.port.register(b"A", lambda data, _: self.received.append((data, "A")))
        self.port.register_default(lambda data, _: self.received.append((data, "")))
        for data in (b"A1", b"B1", b""):
            self.port.send(data, self.address)
        self.wait(lambda: len(self.received) == 3)
        self.assertEqual(self.received, [(b"A1", "A"), (b"B1", ""), (b"", "")])

    def test_datagrams_without_a_handler_are_counted(self):
        self.port.send(b"x", self.address)
        self.wait(lambda: self.counters.counts[("datagrams", "unknown", "")] == 1)

    def test_a_second_handler_is_rejected(self):
        self.port.register(b"A", print)
        with self.assertRaises(ValueError):
            self.port.register(b"A", print)

    def test_sending_never_yields(self):
        """Guards against a send that lets another green thread run."""
        ran = []
        eventlet.spawn(lambda: ran.append(True))
        for _ in range(2000):
            try:
                self.port.send(b"x" * 1400, self.address)
            except OSError:
                continue
        self.assertEqual(ran, [])
