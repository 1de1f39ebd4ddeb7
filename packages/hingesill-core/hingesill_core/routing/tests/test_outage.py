"""Decisions of a dispatcher while no endpoint of its service can be reached."""

import random
import unittest

from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.health import Health
from hingesill_core.routing.messages import Forward, Refusal, SendStatus, Ticket
from hingesill_core.routing.tests.test_latebinding import ROUTE, build_service


class DiversionTests(unittest.TestCase):
    def setUp(self):
        service = build_service()
        self.dispatcher = Dispatcher(service, FleetView("a", 1, 1), random.Random(1))
        reachability = self.dispatcher.reachability
        reachability.is_enabled = True
        reachability.lost_at = 0.0

    def submit(self, **fields):
        return self.dispatcher.submit(Ticket(ROUTE, 1.0, 3.0, **fields), 1.0)

    def test_a_callers_request_goes_to_another_node_and_earns_nothing_here(self):
        self.assertIsInstance(self.submit(), Forward)
        self.assertEqual(self.dispatcher.retries.tokens, 0.0)

    def test_a_forwarded_request_is_refused_and_not_forwarded_again(self):
        decision = self.submit(is_forwarded=True)
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.reason, RefusalReason.ENDPOINTS_UNREACHABLE)
        self.assertGreater(decision.retry_after, 0.0)

    def test_a_retry_of_a_forwarded_request_is_refused_for_the_same_reason(self):
        ticket = Ticket(ROUTE, 1.0, 3.0, is_forwarded=True)
        self.dispatcher.retries.tokens = 1.0
        decision, _ = self.dispatcher.retry(ticket, SendStatus.CONNECT_FAILED, 1.0)
        self.assertIs(decision.reason, RefusalReason.ENDPOINTS_UNREACHABLE)
        self.assertEqual(self.dispatcher.retries.tokens, 1.0)

    def test_the_first_byte_ends_it(self):
        self.dispatcher.reachability.record_heard(1.0)
        self.assertNotIsInstance(self.submit(), Forward)


class EjectionTests(unittest.TestCase):
    def eject(self):
        health = Health()
        for _ in range(3):
            health.record(SendStatus.LOST, 1.0, True)
        return health

    def test_ejections_during_an_outage_end_with_it(self):
        health = self.eject()
        health.drop_failures(since=0.5)
        self.assertTrue(health.accepts_traffic())

    def test_earlier_ejections_stay(self):
        health = self.eject()
        health.drop_failures(since=1.5)
        self.assertFalse(health.accepts_traffic())
