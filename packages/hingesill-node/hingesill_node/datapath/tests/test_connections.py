"""Tests of pools of idle connections."""

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
        self.pool.open_count = 1

    def test_a_new_pool_has_no_idle_connection(self):
        self.assertFalse(self.pool.has_idle())

    def test_a_released_connection_is_idle(self):
        self.pool.release(FakeConnection())
        self.assertTrue(self.pool.has_idle())

    def test_a_connection_that_was_idle_too_long_does_not_count(self):
        self.pool.release(FakeConnection())
        self.now = IDLE_SECONDS + 0.1
        self.assertFalse(self.pool.has_idle())
