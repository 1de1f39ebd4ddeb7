"""Tests of how a request of an organisation below its fair share gets a slot."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.configuration.services import Route
from hingesill_core.organisations.organisation import Organisation
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import Send, Ticket
from hingesill_core.routing.tests.test_latebinding import FLEET, build_service, reply

ROUTE = Route("arena", "", "/a/", True, True, 4.0, target=0.5)
WAITED = 0.03


class GuaranteedSlotTests(unittest.TestCase):
    """The slots that a small organisation needed were taken at other nodes while its
    requests waited: 62 of its 400 requests met no free slot in all their queries.
    """

    def setUp(self):
        service = replace(build_service(), routes=(ROUTE,), early_refusal=True)
        self.dispatcher = Dispatcher(service, FLEET, random.Random(1))
        self.binding = self.dispatcher.binding
        shares = self.binding.early_refusal.shares
        shares.demand = {"large": 60.0, "small": 1.0}
        shares.served = 20.0
        self.admission = self.binding.early_refusal.admission
        self.admission.share = 0.5

    def submit(self, name):
        ticket = Ticket(ROUTE, 0.0, 4.0)
        ticket.organisation = Organisation(name)
        self.dispatcher.submit(ticket, 0.0)
        return ticket

    def test_it_waits_at_an_endpoint_whose_slots_are_in_use(self):
        ticket = self.submit("small")
        self.assertIsNone(self.binding.handle_reply(reply("i0", 3), 0.005))
        send = self.binding.handle_reply(reply("i0", 3), WAITED)
        self.assertIsInstance(send, Send)
        self.assertIs(send.ticket, ticket)

    def test_one_request_waits_at_an_endpoint(self):
        self.submit("small")
        self.assertIsNone(self.binding.handle_reply(reply("i0", 4), WAITED))

    def test_others_do_not_wait_at_an_endpoint(self):
        self.submit("large")
        self.assertIsNone(self.binding.handle_reply(reply("i0", 3), WAITED))

    def test_it_does_not_wait_there_while_capacity_suffices(self):
        self.submit("small")
        self.admission.share = 1.0
        self.assertIsNone(self.binding.handle_reply(reply("i0", 3), WAITED))

    def test_it_does_not_wait_there_if_the_slot_comes_too_late(self):
        ticket = self.submit("small")
        late_at = self.binding.waiting[ticket].late_at
        self.assertIsNone(self.binding.handle_reply(reply("i0", 3), late_at - 0.001))

    def test_slow_endpoints_are_skipped(self):
        self.submit("small")
        slow = reply("i0", 3, slowness=5.0)
        self.assertIsNone(self.binding.handle_reply(slow, WAITED))

    def test_it_gets_a_free_slot_before_requests_with_less_work(self):
        large, small = self.submit("large"), self.submit("small")
        for ticket, work in ((large, 0.01), (small, 0.2)):
            waiting = self.binding.waiting[ticket]
            waiting.late_at, waiting.until = 0.3, 0.3
            waiting.precedence = (False, ticket.rank, work, 0)
        send = self.binding.handle_reply(reply("i0", 0), WAITED)
        self.assertIs(send.ticket, small)

    def test_queries_are_kept_for_it_while_capacity_is_short(self):
        budget = self.binding.budget
        budget.acquire(10_000, 0.0)
        budget.tokens, budget.rate = 8.0, 0.001
        self.assertEqual(self.dispatcher.submit(self.build("large"), 0.0).endpoints, ())
        self.binding.waiting.clear()
        query = self.dispatcher.submit(self.build("small"), 0.0)
        self.assertEqual(len(query.endpoints), 2)

    def build(self, name):
        ticket = Ticket(ROUTE, 0.0, 4.0)
        ticket.organisation = Organisation(name)
        return ticket


if __name__ == "__main__":
    unittest.main()
