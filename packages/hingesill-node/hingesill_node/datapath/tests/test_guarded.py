"""Tests of an exchange whose request may have crashed endpoints."""

import unittest

from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.messages import Body, CallerRequest, LiveSend
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters


class GuardedTests(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner()
        self.guard = self.runner.guard
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        self.request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, self.request, Counters(), OwnFormat())

    def crash_endpoints(self, *ages):
        """Record crashes under the request, at the given ages in seconds."""
        now = self.guard.clock()
        for number, age in enumerate(ages):
            self.guard.decisions.record_crash(
                self.request.fingerprints, f"e{number}", now - age
            )

    def start_send(self):
        state = self.runner.dispatcher.states["i1"]
        now = self.runner.clock()
        return self.runner.dispatcher.start_send(self.ticket, state, now)

    def test_a_request_quarantined_while_it_waits_is_not_sent(self):
        send = self.start_send()
        self.crash_endpoints(3.0, 1.5, 0.0)
        refusal = self.exchange._execute_send(send)
        self.assertIs(refusal.reason, RefusalReason.QUARANTINED)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertGreater(refusal.retry_after, 500.0)
        self.assertEqual(self.runner.dispatcher.states["i1"].in_flight, 0)

    def test_outcome_is_unknown_after_an_earlier_send(self):
        self.ticket.exposed = True
        self.crash_endpoints(3.0, 1.5, 0.0)
        refusal = self.exchange._execute_send(self.start_send())
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)

    def test_a_suspected_request_is_not_hedged(self):
        live = LiveSend(Send(self.ticket, "i1", self.runner.clock(), 0.1), None)
        self.assertLess(self.exchange._compute_hedge_time(live), float("inf"))
        self.crash_endpoints(0.0)
        self.assertEqual(self.exchange._compute_hedge_time(live), float("inf"))

    def test_no_retry_after_a_possible_third_crash(self):
        self.runner.dispatcher.retries.tokens = 5.0
        self.ticket.sends = 1
        self.ticket.exposed = True
        self.crash_endpoints(2.0, 1.9)
        self.guard.handle_lost_response(self.request, "i1", "127.0.0.1:1")
        decision = self.exchange._decide_after(SendStatus.LOST)
        self.assertIsInstance(decision, Refusal)
        counts = self.exchange.counters.list_counts("retries")
        self.assertEqual([c[1] for c in counts], [RetryReason.DENIED_ENDINGS.value])

    def test_a_fault_answer_shows_that_the_endpoint_survived(self):
        self.crash_endpoints(3.0, 1.5, 0.0)
        live = LiveSend(self.start_send(), self.runner.find_pool("i1"))
        self.exchange.sends.end(live, SendResult(SendStatus.FAULT))
        self.assertIsNone(self.guard.find_refusal(self.request))

    def test_a_refusal_does_not_show_that_the_endpoint_survived(self):
        self.crash_endpoints(3.0, 1.5, 0.0)
        live = LiveSend(self.start_send(), self.runner.find_pool("i1"))
        self.exchange.sends.end(live, SendResult(SendStatus.REFUSED))
        self.assertIsNotNone(self.guard.find_refusal(self.request))
