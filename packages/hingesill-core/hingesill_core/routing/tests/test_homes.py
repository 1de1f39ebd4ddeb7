"""Tests of routes that only the endpoints of some regions may serve."""

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
# Two endpoints in each of three regions, and one whose region is unknown.
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


class LoadQueryTests(HomesCase):
    def test_only_endpoints_in_home_regions_are_queried(self):
        query = self.dispatcher.submit(self.ticket, 0.0)
        self.assertEqual(sorted(query.endpoints), ["south2", "south3"])
        again = self.binding.next_query(0.05)
        self.assertLessEqual(set(again.endpoints), {"south2", "south3"})

    def test_reply_from_another_region_serves_other_routes(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("north0"), 0.05))
        self.assertIsNone(self.binding.handle_reply(reply("6"), 0.05))
        other = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(other, 0.0)
        self.assertIs(self.binding.handle_reply(reply("north0"), 0.05).ticket, other)
        self.assertIs(
            self.binding.handle_reply(reply("south2"), 0.05).ticket, self.ticket
        )

    def test_retry_stays_in_home_regions(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.dispatcher.retries.tokens = 2.0
        send = self.binding.handle_reply(reply("south2"), 0.05)
        self.dispatcher.complete_send(send, SendResult(SendStatus.LOST), 0.1)
        decision, _ = self.dispatcher.retry(self.ticket, SendStatus.LOST, 0.1)
        self.assertIsInstance(decision, LoadQuery)
        self.assertLessEqual(set(decision.endpoints), {"south2", "south3"})
        self.assertIsNone(self.binding.handle_reply(reply("west4"), 0.2))

    def test_hedge_stays_in_home_regions(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.dispatcher.retries.tokens = 2.0
        self.binding.handle_reply(reply("south2"), 0.05)
        query = self.dispatcher.hedging.start(self.ticket, 0.2)
        self.assertLessEqual(set(query.endpoints), {"south2", "south3"})
        self.assertIsNone(self.binding.handle_reply(reply("west4"), 0.21))

    def test_without_an_endpoint_in_home_regions_it_is_refused(self):
        self.configure([r for r in REGIONS if r != "south"])
        refusal = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertGreater(refusal.retry_after, 0.0)

    def test_waiting_request_is_refused_when_its_region_is_evacuated(self):
        self.dispatcher.submit(self.ticket, 0.0)
        others = [e for e in self.service.endpoints if e.region != "south"]
        service = replace(self.service, endpoints=tuple(others))
        self.dispatcher.configure(service, FLEET)
        ((ticket, refusal),) = self.binding.expire(0.05)
        self.assertIs(ticket, self.ticket)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)


class TwoRegionsTests(HomesCase):
    HOMES = ("south", "west")

    def test_both_regions_are_used(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("north0"), 0.05))
        self.assertIsInstance(self.binding.handle_reply(reply("west5"), 0.05), Send)


class WithoutQueryTests(HomesCase):
    def test_send_without_query_stays_in_home_regions(self):
        self.configure(policy="expected_wait")
        for _ in range(4):
            send = self.dispatcher.submit(Ticket(self.route, 0.0, 2.0), 0.0)
            self.assertIn(send.endpoint, ("south2", "south3"))

    def test_without_an_endpoint_in_home_regions_it_is_refused(self):
        self.configure(["north", "west"], policy="expected_wait")
        refusal = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)
