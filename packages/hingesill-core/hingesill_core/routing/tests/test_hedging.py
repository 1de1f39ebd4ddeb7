"""Tests of hedges where endpoints are queried before a send."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.configuration.services import SendBudget
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.loadqueries import LoadQuery, QueryRules
from hingesill_core.routing.messages import Refusal, RetryDenied, Ticket
from hingesill_core.routing.tests.test_latebinding import (
    FLEET,
    ROUTE,
    build_service,
    reply,
)


class HedgeTests(unittest.TestCase):
    def setUp(self):
        service = replace(build_service(), sends=SendBudget(0.0, 0.5, 40.0))
        self.dispatcher = Dispatcher(service, FLEET, random.Random(1))
        self.dispatcher.retries.tokens = 2.0
        self.binding = self.dispatcher.binding
        self.ticket = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.first = self.binding.handle_reply(reply("i1", 0), 0.01)

    def test_hedge_queries_and_goes_to_another_endpoint(self):
        query = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(query, LoadQuery)
        self.assertIsNone(self.binding.handle_reply(reply("i1", 0), 0.21))
        hedge = self.binding.handle_reply(reply("i2", 0), 0.21)
        self.assertTrue(hedge.hedge)
        self.assertEqual(self.ticket.sends, 2)

    def test_hedge_never_takes_the_last_slot(self):
        self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsNone(self.binding.handle_reply(reply("i2", 2), 0.25))

    def test_requests_without_an_endpoint_go_first(self):
        self.dispatcher.hedging.start(self.ticket, 0.2)
        other = Ticket(ROUTE, 0.2, 2.2)
        self.dispatcher.submit(other, 0.2)
        self.assertIs(self.binding.handle_reply(reply("i2", 0), 0.21).ticket, other)

    def test_no_hedge_while_requests_wait(self):
        self.dispatcher.submit(Ticket(ROUTE, 0.2, 2.2), 0.2)
        tokens = self.dispatcher.retries.tokens
        denied = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(denied, RetryDenied)
        self.assertEqual(self.dispatcher.retries.tokens, tokens)

    def test_hedge_leaves_a_token_for_retries(self):
        self.dispatcher.retries.tokens = 1.9
        denied = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(denied, RetryDenied)

    def test_declared_number_of_sends_applies(self):
        self.ticket.sends = ROUTE.most_sends
        denied = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(denied, RetryDenied)

    def test_cancelled_hedge_refunds_its_token(self):
        tokens = self.dispatcher.retries.tokens
        self.dispatcher.hedging.start(self.ticket, 0.2)
        self.binding.has_reports = False
        expired = list(self.binding.expire(0.2 + QueryRules().hedge_wait_seconds))
        self.assertIsInstance(expired[0][1], Refusal)
        self.dispatcher.hedging.cancel(self.ticket)
        self.assertEqual(self.dispatcher.retries.tokens, tokens)

    def test_hedge_starts_as_late_as_it_can_meet_the_target(self):
        latency = self.dispatcher.get_latency(ROUTE)
        latency.median = 0.08
        short_delay = self.dispatcher.hedging.get_hedge_delay(self.first)
        self.assertAlmostEqual(short_delay, 0.25 - 0.01 - 1.25 * 0.08)
        latency.median = 0.2
        long_delay = self.dispatcher.hedging.get_hedge_delay(self.first)
        self.assertGreater(long_delay, 0.8)
