"""Tests of routes whose requests may be sent to some regions only."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.configuration.services import Endpoint
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import LoadQuery, LoadReply
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_core.routing.tests.test_latebinding import ROUTE, build_service

FLEET = FleetView("north-1", 4, 8)
# Two endpoints in each region but for one whose data centre nobody knows.
REGIONS = ("north", "north", "south", "south", "west", "west", "")


def build_endpoints(regions=REGIONS):
    return tuple(
        Endpoint("10.0.0.1:80", f"{region}-1", 3, 100, f"{region}{n}", region=region)
        for n, region in enumerate(regions)
    )


def reply(endpoint):
    return LoadReply(endpoint, SendStatus.ANSWERED, LoadReport(0, 0.0, 0, 3))


class HomesCase(unittest.TestCase):
    HOMES = ("south",)

    def setUp(self):
        self.route = replace(ROUTE, homes=self.HOMES)
        self.configure()
        self.binding = self.dispatcher.binding
        self.ticket = Ticket(self.route, 0.0, 2.0)

    def configure(self, regions=REGIONS, **values):
        endpoints = build_endpoints(regions)
        self.service = replace(
            build_service(), endpoints=endpoints, routes=(self.route,), **values
        )
        self.dispatcher = Dispatcher(self.service, FLEET, random.Random(1))


class AskingTests(HomesCase):
    def test_only_endpoints_at_home_are_asked(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        self.assertEqual(sorted(ask.endpoints), ["south2", "south3"])
        again = self.binding.next_query(0.05)
        self.assertLessEqual(set(again.endpoints), {"south2", "south3"})

    def test_a_reply_from_elsewhere_is_for_others(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("north0"), 0.05))
        self.assertIsNone(self.binding.take(reply("6"), 0.05))
        other = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(other, 0.0)
        self.assertIs(self.binding.take(reply("north0"), 0.05).ticket, other)
        self.assertIs(self.binding.take(reply("south2"), 0.05).ticket, self.ticket)

    def test_a_retry_stays_at_home(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.dispatcher.retries.tokens = 2.0
        send = self.binding.take(reply("south2"), 0.05)
        self.dispatcher.settle(send, SendResult(SendStatus.LOST), 0.1)
        decision, _ = self.dispatcher.retry(self.ticket, SendStatus.LOST, 0.1)
        self.assertIsInstance(decision, LoadQuery)
        self.assertLessEqual(set(decision.endpoints), {"south2", "south3"})
        self.assertIsNone(self.binding.take(reply("west4"), 0.2))

    def test_a_hedge_stays_at_home(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.dispatcher.retries.tokens = 2.0
        self.binding.take(reply("south2"), 0.05)
        ask = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertLessEqual(set(ask.endpoints), {"south2", "south3"})
        self.assertIsNone(self.binding.take(reply("west4"), 0.21))

    def test_without_an_endpoint_at_home_it_is_refused_at_once(self):
        self.configure([r for r in REGIONS if r != "south"])
        refusal = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertGreater(refusal.retry_after, 0.0)

    def test_one_that_waits_is_refused_once_its_home_is_evacuated(self):
        self.dispatcher.submit(self.ticket, 0.0)
        abroad = [e for e in self.service.endpoints if e.region != "south"]
        service = replace(self.service, endpoints=tuple(abroad))
        self.dispatcher.configure(service, FLEET)
        ((ticket, refusal),) = self.binding.expire(0.05)
        self.assertIs(ticket, self.ticket)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)


class TwoHomesTests(HomesCase):
    HOMES = ("south", "west")

    def test_both_are_used(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("north0"), 0.05))
        self.assertIsInstance(self.binding.take(reply("west5"), 0.05), Send)


class UnaskedTests(HomesCase):
    def test_a_send_without_questions_stays_at_home(self):
        self.configure(policy="expected_wait")
        for _ in range(4):
            send = self.dispatcher.submit(Ticket(self.route, 0.0, 2.0), 0.0)
            self.assertIn(send.endpoint, ("south2", "south3"))

    def test_without_an_endpoint_at_home_it_is_refused_at_once(self):
        self.configure(["north", "west"], policy="expected_wait")
        refusal = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)
