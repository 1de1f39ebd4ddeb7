"""Tests of requests while endpoints want none."""

import random
import unittest

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import Refusal, SendResult, SendStatus, Ticket
from hingesill_core.routing.serviceavailability import PATIENCE_SECONDS, SPREAD_SECONDS
from hingesill_core.routing.tests.test_latebinding import (
    FLEET,
    ROUTE,
    build_service,
    reply,
)


class OpeningCase(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(build_service(3), FLEET, random.Random(1))
        self.binding = self.dispatcher.binding

    def backoff(self, *seconds, now=0.0):
        for number, backoff in enumerate(seconds):
            asked = RequestedBackoff(backoff)
            self.dispatcher.service_availability.note(
                f"i{number}", 0, asked, False, now
            )

    def submit(self, now=0.0):
        return self.dispatcher.submit(Ticket(ROUTE, now, now + 2.0), now)


class AllRestTests(OpeningCase):
    """All three endpoints asked for a rest."""

    def test_a_new_request_is_refused_with_the_end_of_the_first_rest(self):
        self.backoff(5.0, 3.0, 4.0)
        refusal = self.submit(1.0)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertGreaterEqual(refusal.retry_after, 2.0)
        self.assertLessEqual(refusal.retry_after, 2.0 + SPREAD_SECONDS)

    def test_returns_are_spread(self):
        self.backoff(3.0, 3.0, 3.0)
        returns = {self.submit(1.0).retry_after for _ in range(20)}
        self.assertEqual(len(returns), 20)
        self.assertGreater(max(returns) - min(returns), 0.5 * SPREAD_SECONDS)

    def test_an_end_that_comes_at_once_is_waited_for(self):
        self.backoff(3.0, 3.0, 3.0)
        self.assertIsInstance(self.submit(3.0 - 0.9 * PATIENCE_SECONDS), LoadQuery)

    def test_a_request_that_waits_already_is_refused_with_the_next_round(self):
        self.submit()
        self.backoff(3.0, 3.0, 3.0, now=0.01)
        [(_, refusal)] = self.binding.expire(0.02)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)

    def test_who_was_refused_by_the_last_one_comes_back_after_the_rest(self):
        self.backoff(3.0, 3.0)
        self.submit()
        send = self.binding.take(reply("i2", 0), 0.01)
        result = SendResult(SendStatus.REFUSED, backoff=RequestedBackoff(2.0))
        self.dispatcher.settle(send, result, 0.01)
        self.dispatcher.service_availability.note("i2", 0, result.backoff, False, 0.01)
        refusal, _ = self.dispatcher.retry(send.ticket, SendStatus.REFUSED, 0.01)
        self.assertIsInstance(refusal, Refusal)
        self.assertGreaterEqual(refusal.retry_after, 2.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_endpoints_that_are_not_asked_first(self):
        self.binding.has_reports = False
        self.backoff(3.0, 3.0, 3.0)
        refusal = self.submit(1.0)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)

    def test_a_request_that_is_held_is_refused_as_well(self):
        self.binding.has_reports = False
        for state in self.dispatcher.states.values():
            state.send_limit = 0
        ticket = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(ticket, 0.0)
        self.backoff(3.0, 3.0, 3.0)
        [(refused, refusal)] = self.dispatcher.expire(0.01)
        self.assertIs(refused, ticket)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)


class OneTakesRequestsTests(OpeningCase):
    def test_requests_wait_for_it(self):
        self.backoff(3.0, 3.0)
        self.assertIsInstance(self.submit(), LoadQuery)
        self.assertEqual(list(self.binding.expire(0.02)), [])

    def test_one_that_lost_the_request_is_none_to_wait_for(self):
        self.backoff(3.0, 3.0)
        self.submit()
        send = self.binding.take(reply("i2", 0), 0.01)
        self.dispatcher.settle(send, SendResult(SendStatus.LOST), 0.1)
        decision, _ = self.dispatcher.retry(send.ticket, SendStatus.LOST, 0.1)
        self.assertIsInstance(decision, Refusal)


class AllLeaveTests(OpeningCase):
    def test_a_new_request_is_refused_at_once(self):
        for number in range(3):
            self.dispatcher.service_availability.note(
                f"i{number}", 0, NO_BACKOFF, True, 0.0
            )
        self.assertIs(self.submit().reason, RefusalReason.NO_ENDPOINT)
