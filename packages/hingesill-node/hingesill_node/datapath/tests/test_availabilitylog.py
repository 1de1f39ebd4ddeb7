"""Tests of the lines on endpoints that ask for a rest or are leaving."""

import time
import unittest

import eventlet

from hingesill_core.routing.availability import AvailabilityRegistry, RequestedBackoff
from hingesill_node.datapath.availabilitylog import AvailabilityLog
from hingesill_node.telemetry.counters import Counters
from hingesill_node.telemetry.events import Event


class AvailabilityLogTests(unittest.TestCase):
    def setUp(self):
        self.log = AvailabilityLog(time.monotonic)
        self.log.counters = Counters()
        self.book = AvailabilityRegistry(self.log.note)

    def backoff(self, seconds):
        backoff = RequestedBackoff(seconds)
        self.book.record_backoff("arena", "i0", 0, backoff, time.monotonic())

    def count_lines(self, logs):
        numbers = [record.event for record in logs.records]
        events = (Event.REST_BEGUN, Event.REST_ENDED, Event.ENDPOINT_LEAVING)
        return [numbers.count(event.number) for event in events]

    def test_a_rest_that_is_made_longer_ends_once(self):
        with self.assertLogs("hingesill", "INFO") as logs:
            self.backoff(0.2)
            eventlet.sleep(0.1)
            self.backoff(0.3)
            eventlet.sleep(0.2)
            self.assertEqual(self.count_lines(logs), [1, 0, 0])
            eventlet.sleep(0.2)
            self.assertEqual(self.count_lines(logs), [1, 1, 0])

    def test_short_rests_are_only_counted(self):
        with self.assertNoLogs("hingesill"):
            self.backoff(0.01)
        counts = self.log.counters.list_counts("availability")
        self.assertEqual(counts, [("arena", "rest", 1)])

    def test_an_endpoint_that_leaves_is_told_once(self):
        with self.assertLogs("hingesill", "INFO") as logs:
            for _ in range(3):
                self.book.record_leaving("arena", "i0", 0, time.monotonic())
        self.assertEqual(self.count_lines(logs), [0, 0, 1])
        self.assertEqual(self.book.count_leaving(time.monotonic()), 1)
