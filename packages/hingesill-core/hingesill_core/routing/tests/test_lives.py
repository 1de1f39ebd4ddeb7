"""Tests of endpoints that start again under their identity: another life."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.reasons import Outcome
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import SendResult, SendStatus, Ticket
from hingesill_core.routing.tests.test_latebinding import (
    FLEET,
    ONCE,
    ROUTE,
    build_service,
    reply,
)


def begin_life(service, identity, born):
    """Return a service whose endpoint has started at a time."""
    endpoints = tuple(
        replace(endpoint, born=born) if endpoint.identity == identity else endpoint
        for endpoint in service.endpoints
    )
    return replace(service, endpoints=endpoints)


class LifeTests(unittest.TestCase):
    def setUp(self):
        self.service = begin_life(build_service(1), "i0", 100)
        self.dispatcher = Dispatcher(self.service, FLEET, random.Random(1))
        self.ticket = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.send = self.dispatcher.binding.take(reply("i0", 0), 0.01)
        self.old = self.dispatcher.states["i0"]

    def start_again(self, born=200):
        self.dispatcher.configure(begin_life(self.service, "i0", born), FLEET)
        return self.dispatcher.states["i0"]

    def test_it_holds_and_knows_nothing_of_before(self):
        self.old.draining_until = 30.0
        self.old.health.eject(0.0)
        state = self.start_again()
        self.assertEqual(state.in_flight, 0)
        self.assertIsNone(state.report)
        self.assertFalse(state.is_draining(1.0))
        self.assertFalse(state.health.is_ejected(0.1))

    def test_the_same_life_keeps_what_was_learnt(self):
        self.dispatcher.configure(self.service, FLEET)
        self.assertIs(self.dispatcher.states["i0"], self.old)

    def test_so_does_one_that_never_says_when_it_started(self):
        dispatcher = Dispatcher(build_service(1), FLEET, random.Random(1))
        state = dispatcher.states["i0"]
        dispatcher.configure(build_service(1), FLEET)
        self.assertIs(dispatcher.states["i0"], state)

    def test_what_was_sent_to_the_life_before_says_nothing_of_this_one(self):
        state = self.start_again()
        for _ in range(3):
            lost = SendResult(SendStatus.LOST)
            self.dispatcher.settle(self.send, lost, 0.5)
        self.assertEqual(state.health.consecutive, 0)
        self.assertTrue(self.ticket.exposed)

    def test_nor_does_a_late_reply_of_it(self):
        state = self.start_again()
        late = replace(reply("i0", 0), born=100)
        self.assertIsNone(self.dispatcher.binding.record_reply(late, 0.5))
        self.assertIsNone(state.report)
        now = replace(late, born=200)
        self.assertIs(self.dispatcher.binding.record_reply(now, 0.5), state)

    def test_what_must_not_be_repeated_is_not_sent_to_the_next_life(self):
        ticket = Ticket(ONCE, 0.0, 2.0)
        send = self.dispatcher.start_send(ticket, self.old, 0.0)
        self.start_again()
        self.dispatcher.settle(send, SendResult(SendStatus.LOST), 0.1)
        refusal, _ = self.dispatcher.retry(ticket, SendStatus.LOST, 0.1)
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
