"""Tests of how many nodes share the fleet's budgets."""

import unittest

from hingesill_core.discovery.fleetsize import HOLD_SECONDS, FleetSize


class FleetSizeTests(unittest.TestCase):
    def test_entries_that_lapse_at_once_do_not_free_the_budget(self):
        size = FleetSize()
        self.assertEqual(size.note(140, 0.0), 140)
        self.assertEqual(size.note(0, 5.0), 140)
        self.assertEqual(size.note(90, 6.0), 140)

    def test_a_smaller_count_that_lasts_is_taken(self):
        size = FleetSize()
        size.note(140, 0.0)
        size.note(90, 1.0)
        self.assertEqual(size.note(90, HOLD_SECONDS + 0.5), 90)

    def test_there_is_at_least_this_node(self):
        self.assertEqual(FleetSize().note(0, 0.0), 1)
