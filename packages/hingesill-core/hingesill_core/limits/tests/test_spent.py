"""Tests of judging by the time left how long a caller has been trying."""

import unittest

from hingesill_core.limits.spent import SpentTime


class SpentTimeTests(unittest.TestCase):
    def test_a_first_try_has_spent_nothing(self):
        spent = SpentTime()
        self.assertEqual(spent.estimate("r", 2.0), 0.0)
        self.assertAlmostEqual(spent.estimate("r", 2.0), 0.0)

    def test_a_later_try_has_spent_the_rest(self):
        spent = SpentTime()
        spent.estimate("r", 2.0)
        self.assertAlmostEqual(spent.estimate("r", 1.5), 0.5, delta=0.01)

    def test_routes_are_kept_apart(self):
        spent = SpentTime()
        spent.estimate("r", 9.0)
        self.assertEqual(spent.estimate("q", 2.0), 0.0)

    def test_a_usual_time_that_is_not_seen_any_more_fades(self):
        spent = SpentTime()
        spent.estimate("r", 4.0)
        for _ in range(1000):
            last = spent.estimate("r", 2.0)
        self.assertEqual(last, 0.0)
