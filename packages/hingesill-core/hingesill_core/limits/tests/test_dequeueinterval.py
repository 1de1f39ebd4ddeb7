"""Tests of the estimated wait for Retry-After."""

import unittest

from hingesill_core.limits.dequeueinterval import DequeueInterval


class TurnoverTests(unittest.TestCase):
    def build(self, interval, sends=100):
        dequeue_interval = DequeueInterval()
        dequeue_interval.start(0.0)
        for number in range(1, sends + 1):
            dequeue_interval.record_dequeue(number * interval)
        return dequeue_interval, sends * interval

    def test_no_wait_with_an_empty_queue(self):
        dequeue_interval, now = self.build(0.1)
        self.assertEqual(dequeue_interval.estimate_wait(0, now), 0.0)

    def test_wait_grows_with_queue_length_and_interval(self):
        for interval, waiting, expected in (
            (0.1, 4, 0.5),
            (0.1, 9, 1.0),
            (0.02, 9, 0.2),
        ):
            with self.subTest(interval=interval, waiting=waiting):
                dequeue_interval, now = self.build(interval)
                self.assertAlmostEqual(
                    dequeue_interval.estimate_wait(waiting, now), expected, 2
                )

    def test_a_stall_counts_before_the_next_send(self):
        dequeue_interval, now = self.build(0.1)
        self.assertAlmostEqual(dequeue_interval.estimate_wait(1, now + 3.0), 6.0)

    def test_an_idle_period_does_not_raise_the_interval(self):
        dequeue_interval, now = self.build(0.1)
        dequeue_interval.start(now + 60.0)
        self.assertAlmostEqual(dequeue_interval.estimate_wait(1, now + 60.0), 0.2, 2)
