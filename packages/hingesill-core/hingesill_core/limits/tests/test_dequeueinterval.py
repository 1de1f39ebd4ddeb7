"""Tests of telling callers when to come back."""

import unittest

from hingesill_core.limits.dequeueinterval import DequeueInterval


class TurnoverTests(unittest.TestCase):
    def build(self, interval, sends=100):
        dequeue_interval = DequeueInterval()
        dequeue_interval.begin(0.0)
        for number in range(1, sends + 1):
            dequeue_interval.note(number * interval)
        return dequeue_interval, sends * interval

    def test_who_comes_while_nobody_waits_finds_room(self):
        dequeue_interval, now = self.build(0.1)
        self.assertEqual(dequeue_interval.estimate(0, now), 0.0)

    def test_the_wait_grows_with_those_who_wait_and_their_pace(self):
        for interval, waiting, wait in ((0.1, 4, 0.5), (0.1, 9, 1.0), (0.02, 9, 0.2)):
            with self.subTest(interval=interval, waiting=waiting):
                dequeue_interval, now = self.build(interval)
                self.assertAlmostEqual(dequeue_interval.estimate(waiting, now), wait, 2)

    def test_a_stop_counts_before_the_next_send(self):
        dequeue_interval, now = self.build(0.1)
        self.assertAlmostEqual(dequeue_interval.estimate(1, now + 3.0), 6.0)

    def test_a_rest_without_requests_is_no_slow_pace(self):
        dequeue_interval, now = self.build(0.1)
        dequeue_interval.begin(now + 60.0)
        self.assertAlmostEqual(dequeue_interval.estimate(1, now + 60.0), 0.2, 2)
