"""Tests of the decisions under load."""

import random
import unittest

from hingesill_core.routing.overload import compute_latest_send, suggest_return


class LatestSendTests(unittest.TestCase):
    """Requests that could no longer be answered in time were held for 0.45 of their
    callers' time, and callers had too little left for another attempt.
    """

    def test_a_request_waits_no_longer_than_its_target_allows(self):
        latest = compute_latest_send(10.0, 10.0, 0.5, 0.0, 0.2, 14.0)
        self.assertLess(latest.until, 10.5)
        self.assertEqual(latest.until, latest.late_at)

    def test_a_late_request_waits_for_leftover_capacity_only(self):
        latest = compute_latest_send(10.0, 10.0, 0.5, 1.0, 0.2, 13.0)
        self.assertLess(latest.late_at, 10.0)
        self.assertLessEqual(latest.until, 10.06)

    def test_the_wait_ends_before_the_deadline(self):
        latest = compute_latest_send(10.0, 10.0, 5.0, 0.0, 0.2, 10.1)
        self.assertLess(latest.until, 10.0)


class ReturnTests(unittest.TestCase):
    """Callers that are told to return at once, or all at the same time, are refused
    again.
    """

    def test_returns_are_spread_up_to_a_third_of_the_remaining_time(self):
        rng = random.Random(1)
        returns = sorted(suggest_return(3.0, rng) for _ in range(100))
        self.assertGreater(returns[-1] - returns[0], 0.4)
        self.assertGreaterEqual(returns[0], 0.5)
        self.assertLessEqual(returns[-1], 1.0)
