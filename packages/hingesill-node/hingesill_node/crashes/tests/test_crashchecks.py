"""Checks whether an endpoint that gave no answer has crashed."""

import unittest

import eventlet
from eventlet.green import socket

from hingesill_node.crashes.crashchecks import CrashChecks


class ComparisonTests(unittest.TestCase):
    def setUp(self):
        self.crashes = []
        self.checks = CrashChecks(lambda *crash: self.crashes.append(crash))

    def open_address(self):
        """Return the address of a listening socket."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        self.addCleanup(lambda: listener.close())
        return "127.0.0.1:%d" % listener.getsockname()[1]

    def find_closed_address(self):
        """Return an address that refuses connections."""
        bound = socket.socket()
        bound.bind(("127.0.0.1", 0))
        self.addCleanup(lambda: bound.close())
        return "127.0.0.1:%d" % bound.getsockname()[1]

    def check(self, others):
        """Check an endpoint that refuses connections; return the reported crashes."""
        address = self.find_closed_address()
        self.checks.begin("a", address, ("fingerprint",), others)
        eventlet.sleep(0.1)
        return self.crashes

    def test_a_node_that_reaches_no_endpoint_reports_no_crash(self):
        others = [self.find_closed_address(), self.find_closed_address()]
        self.assertEqual(self.check(others), [])

    def test_a_crash_is_reported_while_another_endpoint_is_reached(self):
        others = [self.find_closed_address(), self.open_address()]
        self.assertEqual(self.check(others), [("a", {("fingerprint",)})])

    def test_the_crash_of_a_single_endpoint_is_reported(self):
        self.assertEqual(self.check([]), [("a", {("fingerprint",)})])
