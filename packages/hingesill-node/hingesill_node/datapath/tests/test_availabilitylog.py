"""Tests of the log of endpoints that back off or are leaving."""

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
        self.registry = AvailabilityRegistry(self.log.record)

    def backoff(self, seconds):
        backoff = RequestedBackoff(seconds)
        self.registry.record_backoff("arena", "i0", 0, backoff, time.monotonic())

    def count_lines(self, logs):
        numbers = [record.event for record in logs.records]
        events = (Event.REST_BEGUN, Event.REST_ENDED, Event.ENDPOINT_LEAVING)
        return [numbers.count(event.number) for event in events]

    def test_an_extended_backoff_is_logged_once(self):
        with self.assertLogs("hingesill", "INFO") as logs:
            self.backoff(0.2)
            eventlet.sleep(0.1)
            self.backoff(0.3)
            eventlet.sleep(0.2)
            self.assertEqual(self.count_lines(logs), [1, 0, 0])
            eventlet.sleep(0.2)
            self.assertEqual(self.count_lines(logs), [1, 1, 0])

    def test_short_backoffs_are_counted_but_not_logged(self):
        with self.assertNoLogs("hingesill"):
            self.backoff(0.01)
        counts = self.log.counters.list_counts("availability")
        self.assertEqual(counts, [("arena", "rest", 1)])

    def test_a_leaving_endpoint_is_logged_once(self):
        with self.assertLogs("hingesill", "INFO") as logs:
            for _ in range(3):
                self.registry.record_leaving("arena", "i0", 0, time.monotonic())
        self.assertEqual(self.count_lines(logs), [0, 0, 1])
        self.assertEqual(self.registry.count_leaving(time.monotonic()), 1)
