"""Tests of requests and connections across a suspension of the VM."""

import time
import unittest

import eventlet

from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.messages import Ticket
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters

SUSPENDED_SECONDS = 5.0


class SuspensionClock:
    """Clock that includes suspended time, unlike the clock of the timers."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return time.monotonic() + self.suspended


class IdleConnection:
    """Idle connection in a pool."""

    idle_until = 0.0
    can_carry_more = True

    def has_input(self):
        return False

    def close(self):
        pass


class SuspensionTests(unittest.TestCase):
    def setUp(self):
        self.clock = SuspensionClock()
        self.runner = build_runner(clock=self.clock)

    def test_an_expired_request_is_refused_and_not_sent(self):
        room = self.runner.get_query_client(OwnFormat(), Counters())
        now = self.clock()
        ticket = Ticket(ROUTE, now, now + 2.0)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), ticket)
        query = self.runner.dispatcher.submit(ticket, now)
        waiting = eventlet.spawn(room.wait, request, query)
        eventlet.sleep(0.01)
        self.clock.suspended = SUSPENDED_SECONDS
        with eventlet.Timeout(0.5):
            found = waiting.wait()
        self.assertIs(found.decision.reason, RefusalReason.DEADLINE_UNREACHABLE)
        self.assertEqual(ticket.sends, 0)

    def test_a_connection_that_was_idle_too_long_is_not_used(self):
        pool = self.runner.find_pool("i1")
        pool.open_count = 1
        pool.release(IdleConnection(), idle_seconds=4.0)
        self.assertTrue(pool.has_idle())
        self.clock.suspended = SUSPENDED_SECONDS
        self.assertFalse(pool.has_idle())
