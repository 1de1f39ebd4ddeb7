"""Tests of connections to endpoints that restart under the same identity."""

import unittest

from hingesill_core.routing.fleetview import FleetView
from hingesill_node.datapath.tests.test_loadqueries import build_runner, build_service

FLEET = FleetView("a", 4, 8)


class PoolTests(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner(born=100)
        self.previous = self.runner.find_pool("i1")

    def test_connections_to_the_previous_incarnation_are_not_reused(self):
        self.runner.configure(build_service(born=200), FLEET)
        current = self.runner.find_pool("i1")
        self.assertIsNot(current, self.previous)
        self.assertEqual(current.born, 200)

    def test_connections_to_the_same_incarnation_are_reused(self):
        self.runner.configure(build_service(born=100), FLEET)
        self.assertIs(self.runner.find_pool("i1"), self.previous)
