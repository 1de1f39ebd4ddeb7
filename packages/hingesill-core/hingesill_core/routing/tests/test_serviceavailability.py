"""Tests of requests while endpoints back off or leave."""

import random
import unittest

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import Refusal, SendResult, SendStatus, Ticket
from hingesill_core.routing.serviceavailability import (
    MAX_BACKOFF_WAIT_SECONDS,
    RETRY_AFTER_SPREAD_SECONDS,
)
from hingesill_core.routing.tests.test_latebinding import (
    FLEET,
    ROUTE,
    build_service,
    reply,
)


class AvailabilityCase(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(build_service(3), FLEET, random.Random(1))
        self.binding = self.dispatcher.binding

    def request_backoff(self, *seconds, now=0.0):
        for number, backoff in enumerate(seconds):
            requested = RequestedBackoff(backoff)
            self.dispatcher.service_availability.record(
                f"i{number}", 0, requested, False, now
            )

    def submit(self, now=0.0):
        return self.dispatcher.submit(Ticket(ROUTE, now, now + 2.0), now)


class AllBackingOffTests(AvailabilityCase):
    """All three endpoints requested a back-off."""

    def test_new_request_is_refused_until_the_first_backoff_ends(self):
        self.request_backoff(5.0, 3.0, 4.0)
        refusal = self.submit(1.0)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertGreaterEqual(refusal.retry_after, 2.0)
        self.assertLessEqual(refusal.retry_after, 2.0 + RETRY_AFTER_SPREAD_SECONDS)

    def test_retry_after_is_spread(self):
        self.request_backoff(3.0, 3.0, 3.0)
        retry_afters = {self.submit(1.0).retry_after for _ in range(20)}
        self.assertEqual(len(retry_afters), 20)
        self.assertGreater(
            max(retry_afters) - min(retry_afters), 0.5 * RETRY_AFTER_SPREAD_SECONDS
        )

    def test_request_waits_for_a_backoff_that_ends_soon(self):
        self.request_backoff(3.0, 3.0, 3.0)
        self.assertIsInstance(
            self.submit(3.0 - 0.9 * MAX_BACKOFF_WAIT_SECONDS), LoadQuery
        )

    def test_waiting_request_is_refused_in_the_next_round(self):
        self.submit()
        self.request_backoff(3.0, 3.0, 3.0, now=0.01)
        [(_, refusal)] = self.binding.expire(0.02)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)

    def test_request_refused_by_the_last_endpoint_gets_retry_after(self):
        self.request_backoff(3.0, 3.0)
        self.submit()
        send = self.binding.handle_reply(reply("i2", 0), 0.01)
        result = SendResult(SendStatus.REFUSED, backoff=RequestedBackoff(2.0))
        self.dispatcher.complete_send(send, result, 0.01)
        self.dispatcher.service_availability.record(
            "i2", 0, result.backoff, False, 0.01
        )
        refusal, _ = self.dispatcher.retry(send.ticket, SendStatus.REFUSED, 0.01)
        self.assertIsInstance(refusal, Refusal)
        self.assertGreaterEqual(refusal.retry_after, 2.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_without_load_queries(self):
        self.binding.has_reports = False
        self.request_backoff(3.0, 3.0, 3.0)
        refusal = self.submit(1.0)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)

    def test_queued_request_is_refused(self):
        self.binding.has_reports = False
        for state in self.dispatcher.states.values():
            state.send_limit = 0
        ticket = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(ticket, 0.0)
        self.request_backoff(3.0, 3.0, 3.0)
        [(refused, refusal)] = self.dispatcher.expire(0.01)
        self.assertIs(refused, ticket)
        self.assertIs(refusal.reason, RefusalReason.ENDPOINTS_RESTING)


class OneAvailableTests(AvailabilityCase):
    def test_requests_wait_for_the_remaining_endpoint(self):
        self.request_backoff(3.0, 3.0)
        self.assertIsInstance(self.submit(), LoadQuery)
        self.assertEqual(list(self.binding.expire(0.02)), [])

    def test_endpoint_that_lost_the_request_is_not_waited_for(self):
        self.request_backoff(3.0, 3.0)
        self.submit()
        send = self.binding.handle_reply(reply("i2", 0), 0.01)
        self.dispatcher.complete_send(send, SendResult(SendStatus.LOST), 0.1)
        decision, _ = self.dispatcher.retry(send.ticket, SendStatus.LOST, 0.1)
        self.assertIsInstance(decision, Refusal)


class AllLeavingTests(AvailabilityCase):
    def test_new_request_is_refused(self):
        for number in range(3):
            self.dispatcher.service_availability.record(
                f"i{number}", 0, NO_BACKOFF, True, 0.0
            )
        self.assertIs(self.submit().reason, RefusalReason.NO_ENDPOINT)
