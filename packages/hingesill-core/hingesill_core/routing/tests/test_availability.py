"""Tests of what endpoints say on further requests of this node."""

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

    def test_a_rest_lasts_as_long_as_asked_for(self):
        self.assertTrue(self.availability.takes_requests(10.0))
        self.assertTrue(self.availability.record_backoff(3.0, 10.0))
        self.assertFalse(self.availability.takes_requests(12.9))
        self.assertTrue(self.availability.takes_requests(13.0))

    def test_the_longest_end_stands(self):
        self.availability.record_backoff(3.0, 10.0)
        self.assertFalse(self.availability.record_backoff(0.5, 10.5))
        self.assertFalse(self.availability.takes_requests(12.9))
        self.assertFalse(self.availability.record_backoff(3.0, 11.0))
        self.assertFalse(self.availability.takes_requests(13.9))

    def test_an_absurd_length_is_bounded(self):
        self.availability.record_backoff(1e300, 0.0)
        self.assertTrue(self.availability.takes_requests(MAX_BACKOFF_SECONDS))


class LeavingTests(unittest.TestCase):
    def test_a_life_that_said_so_gets_nothing_any_more(self):
        availability = Availability(names_life=True)
        self.assertTrue(availability.record_leaving(10.0))
        self.assertFalse(availability.record_leaving(11.0))
        self.assertFalse(availability.takes_requests(1e9))

    def test_an_address_that_names_no_life_is_tried_again(self):
        availability = Availability()
        availability.record_leaving(10.0)
        availability.record_leaving(20.0)
        self.assertFalse(availability.needs_leave_renewal(39.0))
        self.assertTrue(availability.needs_leave_renewal(41.0))
        self.assertFalse(availability.takes_requests(49.0))
        self.assertTrue(availability.takes_requests(50.0))


class BookTests(unittest.TestCase):
    def setUp(self):
        self.begun = []
        self.book = AvailabilityRegistry(self.begun.append)

    def note(self, seconds, now, born=0):
        self.book.record_backoff("arena", "i0", born, RequestedBackoff(seconds), now)

    def test_a_life_that_comes_back_is_still_at_rest(self):
        self.note(3.0, 10.0)
        self.assertFalse(self.book.get("i0", 0).takes_requests(12.0))

    def test_another_life_is_not(self):
        self.note(3.0, 10.0, born=1)
        self.assertTrue(self.book.get("i0", 2).takes_requests(10.0))

    def test_a_life_that_comes_back_is_still_leaving(self):
        self.book.names_lives = True
        self.book.record_leaving("arena", "i0", 1, 10.0)
        self.note(3.0, 500.0)
        self.assertFalse(self.book.get("i0", 1).takes_requests(600.0))
        self.assertTrue(self.book.get("i0", 2).takes_requests(600.0))

    def test_a_rest_is_told_once(self):
        self.book.record_backoff("arena", "i0", 0, NO_BACKOFF, 9.0)
        for now in (10.0, 11.0, 14.5):
            self.note(3.0, now)
        self.assertEqual([backoff.endpoint for backoff in self.begun], ["i0", "i0"])

    def test_what_is_over_is_forgotten(self):
        self.note(3.0, 10.0)
        self.book.record_backoff("arena", "i1", 0, RequestedBackoff(3.0), 30.0)
        self.assertEqual(list(self.book._remembered), [("i1", 0)])


class RestingEndpointTests(unittest.TestCase):
    """One of two endpoints asked for a rest of 3 s."""

    def setUp(self):
        self.dispatcher = Dispatcher(build_service(2), FLEET, random.Random(1))
        self.state = self.dispatcher.states["i0"]

    def backoff(self, now=0.0, backoff=RequestedBackoff(3.0)):
        self.dispatcher.service_availability.note("i0", 0, backoff, False, now)

    def settle(self, end):
        ticket = Ticket(ROUTE, 0.0, 2.0)
        send = self.dispatcher.start_send(ticket, self.state, 0.0)
        result = SendResult(end, backoff=RequestedBackoff(3.0))
        self.dispatcher.settle(send, result, 0.0)

    def test_it_is_asked_nothing(self):
        self.backoff()
        for _ in range(10):
            ask = self.dispatcher.submit(Ticket(ROUTE, 0.1, 2.0), 0.1)
            self.assertNotIn("i0", ask.endpoints)

    def test_its_reply_that_was_on_its_way_is_good_for_nobody(self):
        self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.backoff()
        self.assertIsNone(self.dispatcher.binding.take(reply("i0", 0), 0.1))

    def test_it_gets_no_request_unasked(self):
        self.backoff()
        ticket = Ticket(ROUTE, 0.0, 9.0)
        self.assertFalse(self.state.has_place(ticket, 2.9))
        self.assertTrue(self.state.has_place(ticket, 3.0))

    def test_it_is_used_again_after_its_rest(self):
        self.backoff()
        self.dispatcher.submit(Ticket(ROUTE, 3.0, 5.0), 3.0)
        self.assertIsNotNone(self.dispatcher.binding.take(reply("i0", 0), 3.01))

    def test_a_rest_whose_length_cannot_be_read_lasts_a_second(self):
        self.backoff(backoff=INVALID_BACKOFF)
        self.assertFalse(self.state.availability.takes_requests(0.9))
        self.assertTrue(self.state.availability.takes_requests(1.0))

    def test_a_configuration_in_between_changes_nothing(self):
        self.backoff()
        self.dispatcher.configure(build_service(0), FLEET)
        self.dispatcher.configure(build_service(2), FLEET)
        self.assertFalse(self.dispatcher.states["i0"].availability.takes_requests(1.0))

    def test_it_is_not_ejected(self):
        for _ in range(5):
            self.settle(SendStatus.FAULT)
        self.assertTrue(self.state.health.is_open())
        self.assertEqual(self.state.health.fault_share, 0.0)

    def test_a_send_that_it_refused_has_not_run(self):
        ticket = Ticket(ROUTE, 0.0, 2.0)
        send = self.dispatcher.start_send(ticket, self.state, 0.0)
        result = SendResult(SendStatus.REFUSED, backoff=RequestedBackoff(3.0))
        self.dispatcher.settle(send, result, 0.0)
        self.dispatcher.retries.tokens = 0.0
        refusal, _ = self.dispatcher.retry(ticket, SendStatus.REFUSED, 0.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_neither_the_store_nor_another_node_takes_back_that_it_is_leaving(self):
        self.dispatcher.service_availability.note("i0", 0, NO_BACKOFF, True, 0.0)
        self.dispatcher.mark_draining("i0", 0.0)
        self.dispatcher.configure(build_service(0), FLEET)
        self.dispatcher.configure(build_service(2), FLEET)
        state = self.dispatcher.states["i0"]
        self.assertTrue(state.is_draining(100.0))
        self.assertFalse(state.has_place(Ticket(ROUTE, 100.0, 109.0), 100.0))

    def test_an_answer_to_a_question_says_so_as_well(self):
        leaving = replace(reply("i0", 0), leaving=True, born=0)
        self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertIsNone(self.dispatcher.binding.take(leaving, 0.1))
        self.assertTrue(self.state.is_draining(100.0))

    def test_a_reply_without_a_life_is_of_the_one_that_is_there(self):
        self.dispatcher.binding.take(replace(reply("i0", 0), leaving=True), 0.1)
        self.assertTrue(self.state.is_draining(100.0))
