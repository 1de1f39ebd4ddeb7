"""Tests of second sends where endpoints are asked."""

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
        self.first = self.binding.take(reply("i1", 0), 0.01)

    def test_a_hedge_asks_and_goes_elsewhere(self):
        ask = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(ask, LoadQuery)
        self.assertIsNone(self.binding.take(reply("i1", 0), 0.21))
        hedge = self.binding.take(reply("i2", 0), 0.21)
        self.assertTrue(hedge.hedge)
        self.assertEqual(self.ticket.sends, 2)

    def test_a_hedge_never_takes_a_last_slot(self):
        self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsNone(self.binding.take(reply("i2", 2), 0.25))

    def test_those_without_an_endpoint_go_first(self):
        self.dispatcher.hedging.start(self.ticket, 0.2)
        other = Ticket(ROUTE, 0.2, 2.2)
        self.dispatcher.submit(other, 0.2)
        self.assertIs(self.binding.take(reply("i2", 0), 0.21).ticket, other)

    def test_no_hedge_while_others_wait(self):
        self.dispatcher.submit(Ticket(ROUTE, 0.2, 2.2), 0.2)
        tokens = self.dispatcher.retries.tokens
        denied = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(denied, RetryDenied)
        self.assertEqual(self.dispatcher.retries.tokens, tokens)

    def test_a_token_is_left_for_retries(self):
        self.dispatcher.retries.tokens = 1.9
        denied = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(denied, RetryDenied)

    def test_the_operators_number_of_endpoints_holds(self):
        self.ticket.sends = ROUTE.most_sends
        denied = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertIsInstance(denied, RetryDenied)

    def test_a_hedge_that_finds_nothing_ends_and_costs_nothing(self):
        tokens = self.dispatcher.retries.tokens
        self.dispatcher.hedging.start(self.ticket, 0.2)
        self.binding.has_reports = False
        expired = list(self.binding.expire(0.2 + QueryRules().hedge_wait))
        self.assertIsInstance(expired[0][1], Refusal)
        self.dispatcher.hedging.end(self.ticket)
        self.assertEqual(self.dispatcher.retries.tokens, tokens)

    def test_a_hedge_waits_as_long_as_it_can_still_be_in_time(self):
        pace = self.dispatcher.get_latency(ROUTE)
        pace.median = 0.08
        at_once = self.dispatcher.hedging.get_overdue_time(self.first)
        self.assertAlmostEqual(at_once, 0.25 - 0.01 - 1.25 * 0.08)
        pace.median = 0.2
        late = self.dispatcher.hedging.get_overdue_time(self.first)
        self.assertGreater(late, 0.8)
