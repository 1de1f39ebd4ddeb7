"""Announcements of overdue answers to other nodes."""

import unittest

from hingesill_core.routing.messages import Send, Ticket
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner


class RecordingAnnouncements:
    is_connected = True

    def __init__(self):
        self.suspected = []

    def announce_suspicion(self, endpoint, ratio, now):
        self.suspected.append(endpoint)


class SuspicionTests(unittest.TestCase):
    """Guards against endpoints that others avoid as one node is cut off from them."""

    def setUp(self):
        self.runner = build_runner()
        self.announcements = RecordingAnnouncements()
        self.runner.announcements = self.announcements
        now = self.runner.clock()
        self.send = Send(Ticket(ROUTE, now, now + 2.0), "i1", now, 0.01)

    def report(self):
        self.runner.report_suspicion(self.send, self.send.started + 100.0)
        return self.announcements.suspected

    def test_a_node_that_received_nothing_since_the_send_announces_nothing(self):
        self.runner.dispatcher.reachability.record_heard(self.send.started - 0.1)
        self.assertEqual(self.report(), [])

    def test_a_node_that_received_something_announces_the_endpoint(self):
        self.runner.dispatcher.reachability.record_heard(self.send.started + 0.1)
        self.assertEqual(self.report(), ["i1"])
