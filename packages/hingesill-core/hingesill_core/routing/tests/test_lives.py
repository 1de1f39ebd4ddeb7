"""Tests of endpoints that restart under the same identity."""

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


def start_incarnation(service, identity, born):
    """Return a service with another incarnation of an endpoint."""
    endpoints = tuple(
        replace(endpoint, born=born) if endpoint.identity == identity else endpoint
        for endpoint in service.endpoints
    )
    return replace(service, endpoints=endpoints)


class IncarnationTests(unittest.TestCase):
    def setUp(self):
        self.service = start_incarnation(build_service(1), "i0", 100)
        self.dispatcher = Dispatcher(self.service, FLEET, random.Random(1))
        self.ticket = Ticket(ROUTE, 0.0, 2.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.send = self.dispatcher.binding.handle_reply(reply("i0", 0), 0.01)
        self.previous = self.dispatcher.states["i0"]

    def restart(self, born=200):
        self.dispatcher.configure(start_incarnation(self.service, "i0", born), FLEET)
        return self.dispatcher.states["i0"]

    def test_state_of_previous_incarnation_is_dropped(self):
        self.previous.draining_until = 30.0
        self.previous.health.eject(0.0)
        state = self.restart()
        self.assertEqual(state.in_flight, 0)
        self.assertIsNone(state.report)
        self.assertFalse(state.is_draining(1.0))
        self.assertFalse(state.health.is_ejected(0.1))

    def test_same_incarnation_keeps_its_state(self):
        self.dispatcher.configure(self.service, FLEET)
        self.assertIs(self.dispatcher.states["i0"], self.previous)

    def test_endpoint_without_start_time_keeps_its_state(self):
        dispatcher = Dispatcher(build_service(1), FLEET, random.Random(1))
        state = dispatcher.states["i0"]
        dispatcher.configure(build_service(1), FLEET)
        self.assertIs(dispatcher.states["i0"], state)

    def test_results_of_previous_incarnation_are_ignored(self):
        state = self.restart()
        for _ in range(3):
            lost = SendResult(SendStatus.LOST)
            self.dispatcher.complete_send(self.send, lost, 0.5)
        self.assertEqual(state.health.consecutive, 0)
        self.assertTrue(self.ticket.exposed)

    def test_late_reply_of_previous_incarnation_is_ignored(self):
        state = self.restart()
        late = replace(reply("i0", 0), born=100)
        self.assertIsNone(self.dispatcher.binding.record_reply(late, 0.5))
        self.assertIsNone(state.report)
        now = replace(late, born=200)
        self.assertIs(self.dispatcher.binding.record_reply(now, 0.5), state)

    def test_unrepeatable_request_is_not_sent_to_next_incarnation(self):
        ticket = Ticket(ONCE, 0.0, 2.0)
        send = self.dispatcher.start_send(ticket, self.previous, 0.0)
        self.restart()
        self.dispatcher.complete_send(send, SendResult(SendStatus.LOST), 0.1)
        refusal, _ = self.dispatcher.retry(ticket, SendStatus.LOST, 0.1)
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
