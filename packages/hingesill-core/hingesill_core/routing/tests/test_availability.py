"""Tests of back-off and leaving as endpoints report them."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.reasons import Outcome
from hingesill_core.routing.availability import (
    INVALID_BACKOFF,
    MAX_BACKOFF_SECONDS,
    NO_BACKOFF,
    Availability,
    AvailabilityRegistry,
    RequestedBackoff,
)
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import SendResult, SendStatus, Ticket
from hingesill_core.routing.tests.test_latebinding import (
    FLEET,
    ROUTE,
    build_service,
    reply,
)


class AvailabilityTests(unittest.TestCase):
    def setUp(self):
        self.availability = Availability()

    def test_backoff_lasts_as_long_as_requested(self):
        self.assertTrue(self.availability.takes_requests(10.0))
        self.assertTrue(self.availability.record_backoff(3.0, 10.0))
        self.assertFalse(self.availability.takes_requests(12.9))
        self.assertTrue(self.availability.takes_requests(13.0))

    def test_latest_end_applies(self):
        self.availability.record_backoff(3.0, 10.0)
        self.assertFalse(self.availability.record_backoff(0.5, 10.5))
        self.assertFalse(self.availability.takes_requests(12.9))
        self.assertFalse(self.availability.record_backoff(3.0, 11.0))
        self.assertFalse(self.availability.takes_requests(13.9))

    def test_length_is_bounded(self):
        self.availability.record_backoff(1e300, 0.0)
        self.assertTrue(self.availability.takes_requests(MAX_BACKOFF_SECONDS))


class LeavingTests(unittest.TestCase):
    def test_leaving_incarnation_gets_no_requests(self):
        availability = Availability(has_instance_id=True)
        self.assertTrue(availability.record_leaving(10.0))
        self.assertFalse(availability.record_leaving(11.0))
        self.assertFalse(availability.takes_requests(1e9))

    def test_address_without_instance_id_is_used_again(self):
        availability = Availability()
        availability.record_leaving(10.0)
        availability.record_leaving(20.0)
        self.assertFalse(availability.needs_leave_renewal(39.0))
        self.assertTrue(availability.needs_leave_renewal(41.0))
        self.assertFalse(availability.takes_requests(49.0))
        self.assertTrue(availability.takes_requests(50.0))


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.registry = AvailabilityRegistry(self.changes.append)

    def request_backoff(self, seconds, now, born=0):
        self.registry.record_backoff(
            "arena", "i0", born, RequestedBackoff(seconds), now
        )

    def test_returning_incarnation_is_still_backing_off(self):
        self.request_backoff(3.0, 10.0)
        self.assertFalse(self.registry.get("i0", 0).takes_requests(12.0))

    def test_other_incarnation_is_not_backing_off(self):
        self.request_backoff(3.0, 10.0, born=1)
        self.assertTrue(self.registry.get("i0", 2).takes_requests(10.0))

    def test_returning_incarnation_is_still_leaving(self):
        self.registry.has_instance_ids = True
        self.registry.record_leaving("arena", "i0", 1, 10.0)
        self.request_backoff(3.0, 500.0)
        self.assertFalse(self.registry.get("i0", 1).takes_requests(600.0))
        self.assertTrue(self.registry.get("i0", 2).takes_requests(600.0))

    def test_start_of_a_backoff_is_published_once(self):
        self.registry.record_backoff("arena", "i0", 0, NO_BACKOFF, 9.0)
        for now in (10.0, 11.0, 14.5):
            self.request_backoff(3.0, now)
        self.assertEqual([change.endpoint for change in self.changes], ["i0", "i0"])

    def test_ended_backoff_is_dropped(self):
        self.request_backoff(3.0, 10.0)
        self.registry.record_backoff("arena", "i1", 0, RequestedBackoff(3.0), 30.0)
        self.assertEqual(list(self.registry._retained), [("i1", 0)])


class BackingOffEndpointTests(unittest.TestCase):
    """One of two endpoints requested a back-off of 3 s."""

    def setUp(self):
        self.dispatcher = Dispatcher(build_service(2), FLEET, random.Random(1))
        self.state = self.dispatcher.states["i0"]

    def record_backoff(self, now=0.0, backoff=RequestedBackoff(3.0)):
        self.dispatcher.service_availability.record("i0", 0, backoff, False, now)

    def complete_send(self, end):
        ticket = Ticket(ROUTE, 0.0, 2.0)
        send = self.dispatcher.start_send(ticket, self.state, 0.0)
        result = SendResult(end, backoff=RequestedBackoff(3.0))
        self.dispatcher.complete_send(send, result, 0.0)

    def test_it_is_not_queried(self):
        self.record_backoff()
        for _ in range(10):
            query = self.dispatcher.submit(Ticket(ROUTE, 0.1, 2.0), 0.1)
            self.assertNotIn("i0", query.endpoints)

    def test_its_reply_in_flight_serves_no_request(self):
        self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.record_backoff()
        self.assertIsNone(self.dispatcher.binding.handle_reply(reply("i0", 0), 0.1))

    def test_it_gets_no_request_without_query(self):
        self.record_backoff()
        ticket = Ticket(ROUTE, 0.0, 9.0)
        self.assertFalse(self.state.has_capacity(ticket, 2.9))
        self.assertTrue(self.state.has_capacity(ticket, 3.0))

    def test_it_is_used_again_after_its_backoff(self):
        self.record_backoff()
        self.dispatcher.submit(Ticket(ROUTE, 3.0, 5.0), 3.0)
        self.assertIsNotNone(self.dispatcher.binding.handle_reply(reply("i0", 0), 3.01))

    def test_backoff_with_invalid_length_lasts_a_second(self):
        self.record_backoff(backoff=INVALID_BACKOFF)
        self.assertFalse(self.state.availability.takes_requests(0.9))
        self.assertTrue(self.state.availability.takes_requests(1.0))

    def test_reconfiguration_keeps_the_backoff(self):
        self.record_backoff()
        self.dispatcher.configure(build_service(0), FLEET)
        self.dispatcher.configure(build_service(2), FLEET)
        self.assertFalse(self.dispatcher.states["i0"].availability.takes_requests(1.0))

    def test_it_is_not_ejected(self):
        for _ in range(5):
            self.complete_send(SendStatus.FAULT)
        self.assertTrue(self.state.health.accepts_traffic())
        self.assertEqual(self.state.health.fault_share, 0.0)

    def test_refused_send_has_not_run(self):
        ticket = Ticket(ROUTE, 0.0, 2.0)
        send = self.dispatcher.start_send(ticket, self.state, 0.0)
        result = SendResult(SendStatus.REFUSED, backoff=RequestedBackoff(3.0))
        self.dispatcher.complete_send(send, result, 0.0)
        self.dispatcher.retries.tokens = 0.0
        refusal, _ = self.dispatcher.retry(ticket, SendStatus.REFUSED, 0.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_store_and_other_nodes_do_not_end_its_leaving(self):
        self.dispatcher.service_availability.record("i0", 0, NO_BACKOFF, True, 0.0)
        self.dispatcher.mark_draining("i0", 0.0)
        self.dispatcher.configure(build_service(0), FLEET)
        self.dispatcher.configure(build_service(2), FLEET)
        state = self.dispatcher.states["i0"]
        self.assertTrue(state.is_draining(100.0))
        self.assertFalse(state.has_capacity(Ticket(ROUTE, 100.0, 109.0), 100.0))

    def test_load_reply_reports_leaving(self):
        leaving = replace(reply("i0", 0), leaving=True, born=0)
        self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertIsNone(self.dispatcher.binding.handle_reply(leaving, 0.1))
        self.assertTrue(self.state.is_draining(100.0))

    def test_reply_without_incarnation_is_of_the_current_one(self):
        self.dispatcher.binding.handle_reply(replace(reply("i0", 0), leaving=True), 0.1)
        self.assertTrue(self.state.is_draining(100.0))
