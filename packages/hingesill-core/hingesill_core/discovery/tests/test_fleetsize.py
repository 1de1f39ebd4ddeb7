"""Tests of the number of nodes that share the fleet's budgets."""

import unittest

from hingesill_core.discovery.fleetsize import FLEET_SIZE_WINDOW_SECONDS, FleetSize


class FleetSizeTests(unittest.TestCase):
    def test_entries_that_lapse_at_once_do_not_reduce_the_size(self):
        size = FleetSize()
        self.assertEqual(size.record(140, 0.0), 140)
        self.assertEqual(size.record(0, 5.0), 140)
        self.assertEqual(size.record(90, 6.0), 140)

    def test_a_smaller_count_applies_after_the_window(self):
        size = FleetSize()
        size.record(140, 0.0)
        size.record(90, 1.0)
        self.assertEqual(size.record(90, FLEET_SIZE_WINDOW_SECONDS + 0.5), 90)

    def test_the_size_is_at_least_one(self):
        self.assertEqual(FleetSize().record(0, 0.0), 1)
