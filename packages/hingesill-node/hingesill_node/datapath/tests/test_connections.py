"""Tests of pools of idle connections."""

import unittest

from hingesill_node.datapath.connections import (
    IDLE_SECONDS,
    MAX_REQUESTS,
    ConnectFailed,
    EndpointConnection,
    Pool,
)


class FakeConnection:
    idle_until = 0.0
    can_carry_more = True

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


class CarriedRequestTests(unittest.TestCase):
    """Guards against a request that meets the answer to an earlier send of it."""

    def setUp(self):
        self.pool = Pool("127.0.0.1:1", 2, lambda: 0.0)

    def add(self, *request_ids):
        """Add an idle connection that has carried requests."""
        connection = IdleConnection("127.0.0.1:1")
        for request_id in request_ids:
            connection.begin("GET", "/", request_id)
        self.pool.open_count += 1
        self.pool.release(connection)
        return connection

    def test_a_connection_that_has_not_carried_it_is_used(self):
        other = self.add("r2")
        carried = self.add("r1", "r3")
        self.assertIs(self.pool.acquire("r1"), other)
        self.assertIs(self.pool.acquire("r4"), carried)

    def test_others_keep_their_order(self):
        connections = [self.add("r1", "r2"), self.add("r1")]
        with self.assertRaises(ConnectFailed):
            self.pool.acquire("r1")
        # The older one was closed, as the pool had no room for a new one.
        self.assertIs(self.pool.acquire("r2"), connections[1])

    def test_a_connection_that_remembers_as_many_as_it_can_is_closed(self):
        self.add(*(f"r{number}" for number in range(MAX_REQUESTS)))
        self.assertEqual(self.pool.open_count, 0)


class IdleConnection(EndpointConnection):
    """A connection that is not open, and whose requests are not written."""

    def putrequest(self, *arguments, **options):
        pass

    def has_input(self):
        return False
