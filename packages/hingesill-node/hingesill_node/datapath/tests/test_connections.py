"""Tests of the idle connections to an endpoint."""

import unittest

from hingesill_node.datapath.connections import IDLE_SECONDS, Pool


class FakeConnection:
    idle_until = 0.0

    def close(self):
        self.closed = True


class PoolTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.pool = Pool("10.0.0.1:80", 4, lambda: self.now)
        self.pool.opened = 1

    def test_a_new_pool_has_none(self):
        self.assertFalse(self.pool.has_idle())

    def test_one_that_was_given_back_waits_for_its_next_use(self):
        self.pool.give_back(FakeConnection())
        self.assertTrue(self.pool.has_idle())

    def test_one_that_rested_too_long_does_not_count(self):
        self.pool.give_back(FakeConnection())
        self.now = IDLE_SECONDS + 0.1
        self.assertFalse(self.pool.has_idle())
