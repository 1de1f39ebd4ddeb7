"""Tests of the choice of the endpoint to probe."""

import random
import unittest

from hingesill_core.probing.probetarget import choose_probe_target
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import Ticket
from hingesill_core.routing.tests.test_dispatcher import ADDRESSES, FLEET, build


class ProbeTargetTests(unittest.TestCase):
    """Endpoints without a known incarnation that were silent for a long time."""

    def setUp(self):
        self.dispatcher = Dispatcher(build(), FLEET, random.Random(1))

    def choose(self, now):
        """Choose a probe target while the service is in use."""
        route = self.dispatcher.service.routes[0]
        send = self.dispatcher.submit(Ticket(route, now, now + 1.0), now)
        self.dispatcher.find_state(send).finish(send)
        return choose_probe_target(self.dispatcher, now)

    def record(self, backoff, leaving, now):
        for address in ADDRESSES[1:]:
            self.dispatcher.service_availability.record(
                address, 0, backoff, leaving, now
            )

    def test_an_endpoint_in_backoff_is_not_probed(self):
        self.record(RequestedBackoff(30.0), False, 10.0)
        for now in (10.0, 20.0, 30.0):
            self.assertIn(self.choose(now), (None, ADDRESSES[0]))

    def test_a_leaving_endpoint_is_probed_before_its_notice_expires(self):
        self.record(NO_BACKOFF, True, 10.0)
        self.assertIn(self.choose(20.0), (None, ADDRESSES[0]))
        self.assertIn(self.choose(31.0), ADDRESSES[1:])
