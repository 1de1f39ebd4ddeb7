"""Checks whether an endpoint that gave no answer has crashed."""

import time
import unittest

import eventlet
from eventlet.green import socket

from hingesill_node.crashes.crashchecks import CrashChecks


class PathsStandIn:
    """What a service's runner knows of its other endpoints.

    Attributes
    ----------
    others : list of str
        Addresses of other endpoints.
    heard_at : float
        Time at which an endpoint last sent anything.
    """

    def __init__(self, others):
        self.others = others
        self.heard_at = float("-inf")
        self.clock = time.monotonic

    def list_other_addresses(self, endpoint):
        return self.others

    def get_heard_at(self):
        return self.heard_at


class ComparisonTests(unittest.TestCase):
    def setUp(self):
        self.crashes = []
        self.checks = CrashChecks(lambda *crash: self.crashes.append(crash))

    def bind(self):
        """Return a socket that does not listen yet, and its address."""
        bound = socket.socket()
        bound.bind(("127.0.0.1", 0))
        self.addCleanup(lambda: bound.close())
        return bound, "127.0.0.1:%d" % bound.getsockname()[1]

    def open_address(self):
        """Return the address of a listening socket."""
        listener, address = self.bind()
        listener.listen(8)
        return address

    def find_closed_address(self):
        """Return an address that refuses connections."""
        return self.bind()[1]

    def begin(self, others, address=None):
        """Start the check of an endpoint that refuses connections."""
        paths = PathsStandIn(others)
        address = address or self.find_closed_address()
        self.checks.begin("a", address, ("fingerprint",), paths)
        return paths

    def check(self, others):
        """Check an endpoint that refuses connections; return the reported crashes."""
        self.begin(others)
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

    def test_a_crash_while_all_endpoints_are_down_is_reported_once_one_is_back(self):
        other, address = self.bind()
        paths = self.begin([address])
        eventlet.sleep(0.1)
        other.listen(8)
        paths.heard_at = paths.clock()
        eventlet.sleep(0.2)
        self.assertEqual(self.crashes, [("a", {("fingerprint",)})])

    def test_a_node_that_reaches_its_endpoints_again_reports_no_crash(self):
        sockets, addresses = zip(self.bind(), self.bind())
        paths = self.begin([addresses[1]], addresses[0])
        eventlet.sleep(0.1)
        for bound in sockets:
            bound.listen(8)
        paths.heard_at = paths.clock()
        eventlet.sleep(0.2)
        self.assertEqual(self.crashes, [])
        self.assertEqual(self.checks.count_pending(("fingerprint",)), 0)

    def test_a_node_that_only_keeps_its_open_connections_reports_no_crash(self):
        paths = self.begin([self.find_closed_address()])
        eventlet.sleep(0.1)
        paths.heard_at = paths.clock()
        eventlet.sleep(0.2)
        self.assertEqual(self.crashes, [])
