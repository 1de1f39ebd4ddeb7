"""Tests of connections to endpoints that start again under their identity."""

import unittest

from hingesill_core.routing.fleetview import FleetView
from hingesill_node.datapath.tests.test_loadqueries import build_runner, build_service

FLEET = FleetView("a", 4, 8)


class PoolTests(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner(born=100)
        self.before = self.runner.find_pool("i1")

    def test_connections_to_the_life_before_are_not_used_again(self):
        self.runner.configure(build_service(born=200), FLEET)
        after = self.runner.find_pool("i1")
        self.assertIsNot(after, self.before)
        self.assertEqual(after.born, 200)

    def test_those_to_the_same_life_are(self):
        self.runner.configure(build_service(born=100), FLEET)
        self.assertIs(self.runner.find_pool("i1"), self.before)
