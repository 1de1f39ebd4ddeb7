"""Tests of the admission of requests while the node stops."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import Queued, Refusal, Send, Ticket
from hingesill_core.routing.plannedstop import MIN_ANSWERS
from hingesill_core.routing.tests import test_latebinding
from hingesill_core.routing.tests.test_dispatcher import DispatcherCase

END = 10.0
LONG = 60.0
SHORT = 1.0


class StopCase(DispatcherCase):
    def setUp(self):
        super().setUp()
        self.dispatcher.planned_stop.ends_at = END

    def record(self, route, seconds, count=MIN_ANSWERS):
        for _ in range(count):
            self.dispatcher.get_latency(route).record(seconds)


class AdmissionTests(StopCase):
    """Guards against requests that are passed on and cut at the end of a stop."""

    def check_refused(self, decision, outcome=Outcome.NOT_RUN):
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.reason, RefusalReason.NODE_STOPPING)
        self.assertIs(decision.outcome, outcome)
        self.assertGreater(decision.retry_after, 0.0)

    def test_a_request_whose_deadline_is_before_the_end_is_sent(self):
        _, decision = self.submit(self.move, limit=SHORT)
        self.assertIsInstance(decision, Send)

    def test_a_request_of_a_route_without_answers_is_refused(self):
        _, decision = self.submit(self.move, limit=LONG)
        self.check_refused(decision)

    def test_a_request_of_a_quick_route_is_sent(self):
        self.record(self.move, SHORT)
        _, decision = self.submit(self.move, limit=LONG)
        self.assertIsInstance(decision, Send)

    def test_a_request_near_the_end_is_refused(self):
        self.record(self.move, SHORT)
        _, decision = self.submit(self.move, now=END - SHORT, limit=LONG)
        self.check_refused(decision)

    def test_one_slow_answer_counts_more_than_many_quick_ones(self):
        self.record(self.move, END, 1)
        self.record(self.move, SHORT, 20)
        _, decision = self.submit(self.move, limit=LONG)
        self.check_refused(decision)

    def test_slow_answers_of_long_ago_do_not_count(self):
        self.record(self.move, END, 1)
        self.record(self.move, SHORT, 500)
        _, decision = self.submit(self.move, limit=LONG)
        self.assertIsInstance(decision, Send)

    def test_answers_of_other_routes_count_without_own_ones(self):
        for _ in range(MIN_ANSWERS):
            self.dispatcher.latency.record(SHORT)
        _, decision = self.submit(self.move, limit=LONG)
        self.assertIsInstance(decision, Send)

    def test_a_request_that_may_have_run_is_not_refused_as_not_run(self):
        ticket = Ticket(self.read, 0.0, LONG, exposed=True)
        refusal = self.dispatcher.planned_stop.find_refusal(ticket, 0.0)
        self.check_refused(refusal, Outcome.UNKNOWN)

    def test_without_a_stop_nothing_is_refused(self):
        self.dispatcher.planned_stop.ends_at = None
        _, decision = self.submit(self.move, limit=LONG)
        self.assertIsInstance(decision, Send)


class WaitingTests(StopCase):
    """Guards against requests that wait at the node until their send is too late."""

    def test_a_queued_request(self):
        self.dispatcher.planned_stop.ends_at = None
        self.fill(self.move)
        ticket, decision = self.submit(self.move, limit=LONG)
        self.assertIsInstance(decision, Queued)
        self.assertEqual(list(self.dispatcher.expire(0.0)), [])
        self.dispatcher.planned_stop.ends_at = END
        self.record(self.move, SHORT)
        self.assertEqual(list(self.dispatcher.expire(0.0)), [])
        refused = dict(self.dispatcher.expire(END - SHORT))
        self.assertIs(refused[ticket].reason, RefusalReason.NODE_STOPPING)
        self.assertIs(refused[ticket].outcome, Outcome.NOT_RUN)

    def test_a_request_that_waits_for_a_load_reply(self):
        service = test_latebinding.build_service()
        route = replace(test_latebinding.ROUTE, timeout=LONG)
        dispatcher = Dispatcher(service, test_latebinding.FLEET, random.Random(1))
        ticket = Ticket(route, 0.0, LONG)
        self.assertIsInstance(dispatcher.submit(ticket, 0.0), LoadQuery)
        dispatcher.binding.handle_reply(test_latebinding.reply("i1", 3), 0.01)
        self.assertEqual(list(dispatcher.binding.expire(0.02)), [])
        dispatcher.planned_stop.ends_at = END
        refused = dict(dispatcher.binding.expire(0.03))
        self.assertIs(refused[ticket].reason, RefusalReason.NODE_STOPPING)


if __name__ == "__main__":
    unittest.main()
