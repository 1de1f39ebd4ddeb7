"""Tests of routing to endpoints that report rate limits."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.ratelimits.reportedlimits import NO_LIMIT, ParsedLimit
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_core.routing.tests.test_latebinding import ROUTE, build_service, reply

OWN_ADDRESS = ("10.0.0.1", 80)


def build_reply(endpoint, limit, at, running=0):
    """Return a load reply with a rate limit, or without one."""
    parsed = NO_LIMIT if limit is None else ParsedLimit(limit)
    return replace(reply(endpoint, running), limit=parsed, sent_at=at)


class LimitedCase(unittest.TestCase):
    policy = "fresh_report"

    def setUp(self):
        service = replace(build_service(2), policy=self.policy)
        self.dispatcher = Dispatcher(service, FleetView("a", 1, 2), random.Random(1))
        self.limits = self.dispatcher.limits
        self.limits.own = OWN_ADDRESS
        self.limits.coordinators = [OWN_ADDRESS]
        self.binding = self.dispatcher.binding

    def limit_all(self, limit, at=0.0):
        for endpoint in ("i0", "i1"):
            self.binding.handle_reply(build_reply(endpoint, limit, at), at + 0.01)

    def submit(self, now):
        return self.dispatcher.submit(Ticket(ROUTE, now, now + 2.0), now)

    def send(self, now):
        """Submit a request and answer its load queries; return the decision."""
        decision = self.submit(now)
        if not isinstance(decision, LoadQuery):
            return decision
        sends = [
            self.binding.handle_reply(reply(e, 0), now) for e in decision.endpoints
        ]
        return next((send for send in sends if send is not None), None)


class LoadQueryTests(LimitedCase):
    def test_unlimited_endpoints_go_first(self):
        self.binding.handle_reply(build_reply("i0", 3.0, 0.0), 0.01)
        for number in range(10):
            query = self.submit(0.1 + number / 1000)
            self.assertEqual(query.endpoints, ("i1",))

    def test_limited_endpoints_are_used_when_others_are_full(self):
        self.binding.handle_reply(build_reply("i0", 3.0, 0.0), 0.01)
        self.submit(1.0)
        self.assertIsNone(self.binding.handle_reply(reply("i1", 3), 1.0))
        queries = [self.binding.next_query(1.0 + n * 0.015) for n in range(40)]
        endpoints = {
            identity for query in queries if query for identity in query.endpoints
        }
        self.assertIn("i0", endpoints)
        self.assertIsInstance(self.binding.handle_reply(reply("i0", 0), 1.6), Send)

    def test_all_are_limited(self):
        self.limit_all(2.0)
        decisions = [self.send(1.0 + number / 50) for number in range(200)]
        sends = [d for d in decisions if isinstance(d, Send)]
        refusals = [d for d in decisions if isinstance(d, Refusal)]
        # Two endpoints, two a second each, four seconds.
        self.assertLessEqual(len(sends), 17)
        self.assertGreater(len(refusals), 100)
        self.assertEqual(
            {refusal.reason for refusal in refusals}, {RefusalReason.ENDPOINTS_LIMITED}
        )
        self.assertEqual({refusal.outcome for refusal in refusals}, {Outcome.NOT_RUN})
        self.assertTrue(all(refusal.retry_after > 0 for refusal in refusals))

    def test_request_after_retry_after_is_served(self):
        self.limit_all(1.0)
        now = 1.0
        while not isinstance(decision := self.send(now), Refusal):
            now += 0.001
        later = now + decision.retry_after
        query = self.submit(later)
        self.assertIsInstance(query, LoadQuery)

    def test_limit_of_zero(self):
        self.limit_all(0.0)
        for number in range(20):
            self.assertIsInstance(self.send(1.0 + number), Refusal)

    def test_ended_limit(self):
        self.limit_all(0.0)
        self.limit_all(None, 1.0)
        self.assertIsInstance(self.send(2.0), Send)

    def test_restarted_endpoint_has_no_limit(self):
        self.limit_all(0.0)
        service = self.dispatcher.service
        endpoints = tuple(replace(e, born=7) for e in service.endpoints)
        self.dispatcher.configure(
            replace(service, endpoints=endpoints), self.dispatcher.fleet
        )
        self.assertEqual(self.limits.limited, {})

    def test_retries_and_hedges_need_a_grant(self):
        self.limit_all(0.5)
        sends = [self.send(1.0 + number / 100) for number in range(600)]
        sends = [send for send in sends if isinstance(send, Send)]
        before = len(sends)
        ticket = sends[-1].ticket
        self.dispatcher.retries.tokens = 5.0
        self.assertNotIsInstance(self.dispatcher.hedging.start(ticket, 7.0), Send)
        self.assertLessEqual(before, 2 * 0.5 * 6.0 + 2)

    def test_without_limits_no_grants_are_requested(self):
        self.limits.grant_client.request_grants = None
        self.assertIsInstance(self.send(1.0), Send)
        self.binding.next_query(1.1)


class WithoutQueryTests(LimitedCase):
    """Endpoints that are not queried before each send."""

    policy = "expected_wait"

    def limit_all(self, limit, at=0.0):
        for endpoint in ("i0", "i1"):
            self.limits.record(endpoint, 0, ParsedLimit(limit), at, at + 0.01)

    def test_all_are_limited(self):
        self.limit_all(2.0)
        sends, refused = 0, 0
        for number in range(200):
            now = 1.0 + number / 50
            decision = self.submit(now)
            refused += isinstance(decision, Refusal)
            begun = [decision] if isinstance(decision, Send) else []
            for send in [*begun, *self.dispatcher.dispatch_queued(now + 0.01)]:
                sends += 1
                answer = SendResult(SendStatus.ANSWERED)
                self.dispatcher.complete_send(send, answer, now + 0.01)
        self.assertLessEqual(sends, 17)
        self.assertGreater(sends, 8)
        self.assertGreater(refused, 0)

    def test_one_is_limited(self):
        self.limits.record("i0", 0, ParsedLimit(0.0), 0.0, 0.01)
        sends = [self.submit(1.0 + number) for number in range(2)]
        self.assertEqual({send.endpoint for send in sends}, {"i1"})
