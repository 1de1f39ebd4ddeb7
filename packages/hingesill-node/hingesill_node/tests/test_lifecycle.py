"""Tests of the planned stop of a node."""

import unittest
from types import SimpleNamespace

import eventlet

from hingesill_core.routing.fleetview import FleetView
from hingesill_node import lifecycle
from hingesill_node.blackboard import Blackboard
from hingesill_node.lifecycle import QUIET_SECONDS, Lifecycle


class StopTests(unittest.TestCase):
    def setUp(self):
        self.board = Blackboard(FleetView("a", 1, 1))
        settings = SimpleNamespace(stop_bound_s=1.0, balancer_lag_s=0.0)
        self.lifecycle = Lifecycle(self.board, settings, None)

    def test_a_request_shortly_before_the_end_is_waited_for(self):
        pause = lifecycle.DRAIN_CHECK_INTERVAL_SECONDS
        waiting = eventlet.spawn(self.lifecycle._wait_until_quiet)
        eventlet.sleep(QUIET_SECONDS - pause / 2)
        self.board.in_flight = 1
        eventlet.sleep(4 * pause)
        self.assertFalse(waiting.dead)
        self.board.in_flight = 0
        self.assertTrue(waiting.wait())

    def test_the_timeout_ends_the_wait(self):
        self.board.in_flight = 1
        self.assertFalse(self.lifecycle._wait_until_quiet())
