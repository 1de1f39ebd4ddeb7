"""Tests of choices by asking endpoints before a send."""

import random
import unittest

from hingesill_core.configuration.declaration import (
    Endpoint,
    ProbeBudget,
    Route,
    SendBudget,
    Service,
)
from hingesill_core.limits.asking import AskBudget
from hingesill_core.reasons import Outcome
from hingesill_core.routing.asking import Ask, AskRules, Reply, judge_reply
from hingesill_core.routing.dispatcher import Dispatcher, FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import Refusal, Send, SendEnd, SendResult, Ticket

ROUTE = Route("arena", "", "/a/", True, True, 2.0, target=0.25, most_sends=2)
ONCE = Route("arena", "", "/b/", False, True, 2.0, target=0.25, most_sends=2)
FLEET = FleetView("a", 4, 8)


def build_service(count=4, per_second=240.0):
    endpoints = tuple(
        Endpoint(f"10.0.0.{n}:80", "a", 3, 100, f"i{n}") for n in range(count)
    )
    probes = ProbeBudget(per_second, 10.0, 1.0, 0.001, "/health")
    sends = SendBudget(0.0, 0.1, 40.0)
    return Service("arena", "fresh_report", endpoints, (ROUTE,), probes, sends, 16, 0)


def reply(endpoint, running, slots=3, slowness=1.0):
    report = LoadReport(running, 0.0, 0, slots, slowness)
    return Reply(endpoint, SendEnd.ANSWERED, report)


class AskingTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(build_service(), FLEET, random.Random(1))
        self.fresh = self.dispatcher.fresh
        self.ticket = Ticket(ROUTE, 0.0, 2.0)

    def test_a_request_asks_before_it_goes(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(ask, Ask)
        self.assertEqual(len(set(ask.endpoints)), 2)

    def test_it_goes_to_the_one_with_two_free_slots(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        busy, free = ask.endpoints
        self.assertIsNone(self.fresh.take(self.ticket, reply(busy, 2), 0.01))
        send = self.fresh.take(self.ticket, reply(free, 1), 0.01)
        self.assertIsInstance(send, Send)
        self.assertEqual(send.endpoint, free)

    def test_a_slow_endpoint_is_passed_by(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        slow = reply(ask.endpoints[0], 0, slowness=5.0)
        self.assertIsNone(self.fresh.take(self.ticket, slow, 0.01))

    def test_others_are_asked_in_the_next_round(self):
        first = self.dispatcher.submit(self.ticket, 0.0)
        for endpoint in first.endpoints:
            self.fresh.take(self.ticket, reply(endpoint, 3), 0.01)
        second = self.fresh.proceed(self.ticket, 0.01)
        self.assertIsInstance(second, Ask)
        self.assertFalse(set(first.endpoints) & set(second.endpoints))
        self.assertGreater(second.pause, 0)

    def test_after_its_patience_it_goes_to_the_best(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        worse, better = ask.endpoints
        self.fresh.take(self.ticket, reply(worse, 5), 0.01)
        self.fresh.take(self.ticket, reply(better, 4), 0.01)
        send = self.fresh.proceed(self.ticket, 0.2)
        self.assertIsInstance(send, Send)
        self.assertEqual(send.endpoint, better)

    def test_a_full_endpoint_gets_nothing(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        for endpoint in ask.endpoints:
            self.fresh.take(self.ticket, reply(endpoint, 9), 0.01)
        refusal = self.fresh.proceed(self.ticket, 0.2)
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertIsNotNone(refusal.retry_after)

    def test_one_that_left_meanwhile_gets_nothing(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        gone = ask.endpoints[0]
        service = build_service()
        rest = tuple(e for e in service.endpoints if e.identity != gone)
        fields = (service.routes, service.probes, service.sends, 16, 0)
        self.dispatcher.configure(
            Service("arena", "fresh_report", rest, *fields), FLEET
        )
        self.assertIsNone(self.fresh.take(self.ticket, reply(gone, 0), 0.01))

    def test_silent_endpoints_are_asked_less(self):
        for _ in range(2):
            failed = Reply("i0", SendEnd.LOST)
            self.fresh.note_reply(failed, 0.0)
        asked = set()
        for _ in range(30):
            ask = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.1)
            asked.update(getattr(ask, "endpoints", ()))
        self.assertNotIn("i0", asked)

    def test_failed_requests_eject_though_replies_are_good(self):
        for _ in range(3):
            send = self.dispatcher.start_send(
                Ticket(ROUTE, 0.0, 2.0), self.dispatcher.states["i0"], 0.0
            )
            self.dispatcher.settle(send, SendResult(SendEnd.FAULT), 0.05)
            self.fresh.note_reply(reply("i0", 0), 0.05)
        self.assertFalse(self.dispatcher.states["i0"].health.is_open())

    def test_without_reports_nobody_is_asked(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        self.fresh.take(self.ticket, Reply(ask.endpoints[0], SendEnd.ANSWERED), 0.01)
        decision = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.02)
        self.assertNotIsInstance(decision, Ask)

    def test_a_send_is_never_repeated_beyond_the_routes_bound(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ROUTE, 0.0, 2.0, sends=2)
        decision, _ = self.dispatcher.retry(ticket, SendEnd.FAULT, 0.1)
        self.assertIsInstance(decision, Refusal)

    def test_what_may_have_run_once_is_not_sent_again(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ONCE, 0.0, 2.0, sends=1, exposed=True)
        decision, _ = self.dispatcher.retry(ticket, SendEnd.LOST, 0.1)
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.outcome, Outcome.UNKNOWN)


class ReplyTests(unittest.TestCase):
    def test_later_rounds_take_the_last_free_slot(self):
        rules = AskRules()
        self.assertFalse(judge_reply(reply("i", 2), 1, rules))
        self.assertTrue(judge_reply(reply("i", 2), 2, rules))
        self.assertFalse(judge_reply(reply("i", 3), 2, rules))


class AskBudgetTests(unittest.TestCase):
    def test_no_window_sees_more_than_its_part(self):
        budget = AskBudget()
        budget.set_part("a", ProbeBudget(40.0, 10.0, 1.0, 0.001, "/h"), 4)
        times = [
            step / 100
            for step in range(4000)
            if budget.take(1, step / 100)
            for _ in "x"
        ]
        for start in times:
            inside = sum(start <= at < start + 10.0 for at in times)
            self.assertLessEqual(inside, 100)

    def test_a_new_process_can_ask_at_once(self):
        budget = AskBudget()
        budget.set_part("a", ProbeBudget(40.0, 10.0, 1.0, 0.001, "/h"), 4)
        self.assertEqual(budget.take(3, 0.0), 3)
