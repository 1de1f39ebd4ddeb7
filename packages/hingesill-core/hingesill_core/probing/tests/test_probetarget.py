"""Tests of the choice of the endpoint that is probed."""

import random
import unittest

from hingesill_core.probing.probetarget import choose_probe_target
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import Ticket
from hingesill_core.routing.tests.test_dispatcher import ADDRESSES, FLEET, build


class PlannerTests(unittest.TestCase):
    """Endpoints whose addresses identify no life; none was heard of for long."""

    def setUp(self):
        self.dispatcher = Dispatcher(build(), FLEET, random.Random(1))

    def choose(self, now):
        """Choose while the service is in use."""
        route = self.dispatcher.service.routes[0]
        send = self.dispatcher.submit(Ticket(route, now, now + 1.0), now)
        self.dispatcher.find_state(send).finish(send)
        return choose_probe_target(self.dispatcher, now)

    def note(self, rest, leaving, now):
        for address in ADDRESSES[1:]:
            self.dispatcher.service_availability.note(address, 0, rest, leaving, now)

    def test_an_endpoint_at_rest_is_not_probed(self):
        self.note(RequestedBackoff(30.0), False, 10.0)
        for now in (10.0, 20.0, 30.0):
            self.assertIn(self.choose(now), (None, ADDRESSES[0]))

    def test_an_endpoint_that_leaves_is_probed_before_its_sign_ends(self):
        self.note(NO_BACKOFF, True, 10.0)
        self.assertIn(self.choose(20.0), (None, ADDRESSES[0]))
        self.assertIn(self.choose(31.0), ADDRESSES[1:])
