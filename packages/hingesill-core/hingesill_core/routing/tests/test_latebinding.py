"""Tests of choices by asking endpoints before a send."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.configuration.services import (
    Endpoint,
    ProbeBudget,
    Route,
    SendBudget,
    Service,
)
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import LoadQuery, LoadReply, QueryRules
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)

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
    return LoadReply(endpoint, SendStatus.ANSWERED, report)


class AskingTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(build_service(), FLEET, random.Random(1))
        self.binding = self.dispatcher.binding
        self.ticket = Ticket(ROUTE, 0.0, 2.0)

    def test_a_request_asks_before_it_goes(self):
        ask = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(ask, LoadQuery)
        self.assertEqual(len(set(ask.endpoints)), QueryRules().at_once)

    def test_it_goes_to_the_one_with_two_free_slots(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("i0", 2), 0.01))
        send = self.binding.take(reply("i1", 1), 0.01)
        self.assertIsInstance(send, Send)
        self.assertIs(send.ticket, self.ticket)
        self.assertEqual((send.endpoint, send.occupied), ("i1", 2))

    def test_a_report_without_slots_is_read_with_the_declared_ones(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(self.binding.take(reply("i1", 1, slots=0), 0.01), Send)

    def test_a_reply_nobody_waits_for_is_only_noted(self):
        self.assertIsNone(self.binding.take(reply("i1", 0), 0.01))
        self.assertEqual(self.dispatcher.states["i1"].report.running, 0)

    def test_a_slow_endpoint_is_passed_by(self):
        self.dispatcher.submit(self.ticket, 0.0)
        slow = reply("i0", 0, slowness=5.0)
        self.assertIsNone(self.binding.take(slow, 0.1))
        self.assertIsNone(self.binding.take(slow, 0.3))

    def test_where_all_are_slow_a_slow_one_will_do(self):
        for _ in range(200):
            self.binding.take(reply("i1", 0, slowness=5.0), 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(
            self.binding.take(reply("i0", 0, slowness=5.0), 0.1), Send
        )

    def test_slow_endpoints_that_are_asked_most_do_not_count_as_usual(self):
        for _ in range(100):
            for slowness in (5.0, 5.0, 1.0):
                self.binding.take(reply("i1", 0, slowness=slowness), 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("i0", 0, slowness=5.0), 0.1))

    def test_one_that_says_it_is_not_well_is_passed_by(self):
        self.dispatcher.submit(self.ticket, 0.0)
        ill = replace(reply("i0", 0), is_unhealthy=True)
        self.assertIsNone(self.binding.take(ill, 0.1))
        self.assertIsInstance(self.binding.take(reply("i1", 0), 0.1), Send)

    def test_where_most_say_so_the_word_is_not_believed(self):
        ill = replace(reply("i0", 0), is_unhealthy=True)
        for _ in range(30):
            self.binding.take(ill, 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(self.binding.take(ill, 0.1), Send)

    def refuse_first(self, now):
        """Have the endpoint refuse; return the Refusal, as there is no token."""
        send = self.binding.take(reply("i1", 0), now)
        self.dispatcher.retries.tokens = 0.0
        self.dispatcher.settle(send, SendResult(SendStatus.REFUSED), now)
        return self.dispatcher.retry(send.ticket, SendStatus.REFUSED, now)[0]

    def test_who_is_refused_by_chance_comes_back_soon(self):
        self.dispatcher.submit(self.ticket, 0.0)
        refusal = self.refuse_first(0.01)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertLessEqual(refusal.retry_after, 0.02)

    def test_who_is_refused_while_others_wait_comes_back_later(self):
        for _ in range(3):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertGreater(self.refuse_first(0.01).retry_after, 0.04)

    def test_a_full_endpoint_is_passed_by(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("i0", 3), 0.1))
        self.assertIsNone(self.binding.take(reply("i0", 3), 0.8))

    def test_a_late_request_takes_only_what_others_leave(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("i0", 2), 0.3))
        self.assertIsInstance(self.binding.take(reply("i0", 1), 0.3), Send)

    def test_a_later_try_counts_as_late(self):
        self.ticket.elapsed = 0.3
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("i0", 2), 0.03))

    def test_a_late_request_waits_for_what_others_learn(self):
        self.ticket.elapsed = 0.3
        self.assertEqual(self.dispatcher.submit(self.ticket, 0.0), LoadQuery(()))
        self.assertIsInstance(self.binding.take(reply("i0", 0), 0.01), Send)

    def test_late_requests_alone_ask_seldom(self):
        for _ in range(8):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0, elapsed=0.3), 0.0)
        asks = [self.binding.next_query(0.015 * turn) for turn in range(1, 21)]
        asked = sum(len(ask.endpoints) for ask in asks if ask is not None)
        self.assertIn(asked, range(4, 8))

    def test_late_requests_take_no_questions_from_those_in_time(self):
        self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0, elapsed=0.3), 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        ask = self.binding.next_query(0.015)
        self.assertEqual(len(ask.endpoints), QueryRules().at_once)

    def test_endpoints_with_an_idle_connection_are_asked_first(self):
        self.binding.selection.is_connected = lambda identity: identity in ("i1", "i3")
        first = self.dispatcher.submit(self.ticket, 0.0)
        self.assertEqual(set(first.endpoints), {"i1", "i3"})
        second = self.binding.next_query(0.01)
        self.assertEqual(set(second.endpoints), {"i0", "i2"})

    def test_a_hedge_says_nothing_of_when_others_find_room(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.binding.take(reply("i0", 0), 0.1)
        self.binding.enter_hedge(self.ticket, 60.0)
        self.binding.take(reply("i1", 0), 60.01)
        self.dispatcher.submit(Ticket(ROUTE, 60.1, 62.1), 60.1)
        self.assertLess(self.binding.estimate_wait(60.1), 0.1)

    def test_a_waiting_hedge_is_nobody_who_waits(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.binding.take(reply("i0", 0), 0.1)
        self.binding.enter_hedge(self.ticket, 60.0)
        self.assertEqual(self.binding.estimate_wait(60.05), 0.0)

    def test_later_rounds_ask_all_alike(self):
        self.binding.selection.is_connected = lambda identity: identity in ("i1", "i3")
        self.dispatcher.submit(self.ticket, 0.0)
        asks = [self.binding.next_query(0.03 * turn) for turn in range(1, 5)]
        names = {name for ask in asks for name in ask.endpoints}
        self.assertTrue({"i0", "i2"} & names)

    def test_a_slow_endpoint_is_not_asked_first_for_its_connection(self):
        self.binding.selection.is_connected = lambda identity: identity in ("i1", "i3")
        for name in ("i1", "i3"):
            self.binding.record_reply(reply(name, 0, slowness=9.0), 0.0)
        times = [0.1 * turn for turn in range(1, 9)]
        asks = [self.dispatcher.submit(Ticket(ROUTE, t, t + 2.0), t) for t in times]
        self.assertTrue({"i0", "i2"} & {name for ask in asks for name in ask.endpoints})
        later = self.dispatcher.submit(Ticket(ROUTE, 2.0, 4.0), 2.0)
        self.assertEqual(set(later.endpoints), {"i1", "i3"})

    def test_one_idle_connection_is_not_all_that_is_asked(self):
        self.binding.selection.is_connected = lambda identity: identity == "i1"
        tickets = [Ticket(ROUTE, t, t + 2.0) for t in range(9)]
        asked = [self.dispatcher.submit(item, item.arrived) for item in tickets]
        names = {name for ask in asked for name in ask.endpoints}
        self.assertTrue(all("i1" in ask.endpoints for ask in asked))
        self.assertGreater(len(names), 2)

    def test_who_is_refused_is_told_to_come_back_when_others_were_sent(self):
        for _ in range(16):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        for turn in range(1, 5):
            self.binding.take(reply(f"i{turn % 4}", 0), 0.1 * turn)
        for _ in range(4):
            self.dispatcher.submit(Ticket(ROUTE, 0.4, 2.4), 0.4)
        refusal = self.dispatcher.submit(Ticket(ROUTE, 0.4, 2.4), 0.4)
        self.assertIs(refusal.reason, RefusalReason.QUEUE_FULL)
        self.assertGreater(refusal.retry_after, 16 * 0.03)

    def test_later_rounds_ask_others(self):
        first = self.dispatcher.submit(self.ticket, 0.0)
        second = self.binding.next_query(0.01)
        self.assertFalse(set(first.endpoints) & set(second.endpoints))

    def test_the_more_urgent_rank_goes_first(self):
        urgent = Ticket(replace(ROUTE, rank=0), 0.01, 2.0)
        other = Ticket(replace(ROUTE, rank=2), 0.0, 2.0)
        self.dispatcher.submit(other, 0.0)
        self.dispatcher.submit(urgent, 0.01)
        self.assertIs(self.binding.take(reply("i0", 0), 0.02).ticket, urgent)

    def test_one_that_can_be_in_time_goes_before_a_late_one(self):
        late = Ticket(ROUTE, 0.0, 2.0)
        early = Ticket(ROUTE, 0.5, 2.5)
        self.dispatcher.submit(late, 0.0)
        self.dispatcher.submit(early, 0.5)
        self.assertIs(self.binding.take(reply("i0", 0), 0.51).ticket, early)

    def test_it_is_refused_while_its_caller_can_try_again(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertEqual(list(self.binding.expire(0.8)), [])
        ((ticket, refusal),) = self.binding.expire(0.95)
        self.assertIs(ticket, self.ticket)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertIsNotNone(refusal.retry_after)
        self.assertIsNone(self.binding.next_query(2.0))

    def test_a_full_line_refuses_at_once(self):
        for _ in range(16):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        refusal = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_without_endpoints_it_is_refused_at_once(self):
        self.dispatcher.configure(replace(build_service(), endpoints=()), FLEET)
        refusal = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)

    def test_one_that_left_meanwhile_gets_nothing(self):
        self.dispatcher.submit(self.ticket, 0.0)
        service = build_service()
        rest = service.endpoints[1:]
        self.dispatcher.configure(replace(service, endpoints=rest), FLEET)
        self.assertIsNone(self.binding.take(reply("i0", 0), 0.01))

    def test_silent_endpoints_are_asked_less(self):
        for _ in range(2):
            self.binding.record_reply(LoadReply("i0", SendStatus.LOST), 0.0)
        asked = set()
        for _ in range(10):
            ask = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.1)
            asked.update(getattr(ask, "endpoints", ()))
        self.assertNotIn("i0", asked)

    def test_failed_requests_eject_though_replies_are_good(self):
        for _ in range(3):
            send = self.dispatcher.start_send(
                Ticket(ROUTE, 0.0, 2.0), self.dispatcher.states["i0"], 0.0
            )
            self.dispatcher.settle(send, SendResult(SendStatus.FAULT), 0.05)
            self.binding.record_reply(reply("i0", 0), 0.05)
        self.assertFalse(self.dispatcher.states["i0"].health.is_open())

    def test_an_ejected_endpoint_gets_no_request(self):
        self.dispatcher.states["i0"].health.eject(0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.take(reply("i0", 0), 0.01))

    def test_without_reports_nobody_is_asked(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.binding.take(LoadReply("i0", SendStatus.ANSWERED), 0.01)
        decision = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.02)
        self.assertNotIsInstance(decision, LoadQuery)
        ((_, waiting),) = self.binding.expire(0.03)
        self.assertIsInstance(waiting, Send)

    def test_a_send_is_never_repeated_beyond_the_routes_bound(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ROUTE, 0.0, 2.0, sends=2)
        decision, _ = self.dispatcher.retry(ticket, SendStatus.FAULT, 0.1)
        self.assertIsInstance(decision, Refusal)

    def test_what_may_have_run_once_is_not_sent_again(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ONCE, 0.0, 2.0, sends=1, exposed=True)
        decision, _ = self.dispatcher.retry(ticket, SendStatus.LOST, 0.1)
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.outcome, Outcome.UNKNOWN)

    def test_a_retry_goes_elsewhere(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ROUTE, 0.0, 2.0, sends=1, tried=["i0"])
        self.dispatcher.retry(ticket, SendStatus.FAULT, 0.1)
        self.assertIsNone(self.binding.take(reply("i0", 0), 0.11))
        self.assertIsInstance(self.binding.take(reply("i1", 0), 0.11), Send)


class NearTests(unittest.TestCase):
    def test_all_but_one_of_those_asked_are_near(self):
        endpoints = tuple(
            Endpoint(f"10.0.0.{n}:80", "ab"[n % 2], 3, 100, f"i{n}") for n in range(8)
        )
        service = replace(build_service(), endpoints=endpoints)
        dispatcher = Dispatcher(service, FLEET, random.Random(1))
        ask = dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        near = [name for name in ask.endpoints if int(name[1:]) % 2 == 0]
        self.assertGreaterEqual(len(near), QueryRules().at_once - 1)

    def test_where_many_are_near_a_new_request_asks_only_them(self):
        endpoints = tuple(
            Endpoint(f"10.0.0.{n}:80", "ab"[n % 2], 3, 100, f"i{n}")
            for n in range(2 * QueryRules().many_near)
        )
        service = replace(build_service(), endpoints=endpoints)
        for seed in range(20):
            dispatcher = Dispatcher(service, FLEET, random.Random(seed))
            ask = dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
            self.assertFalse([name for name in ask.endpoints if int(name[1:]) % 2])

    def test_without_near_ones_others_are_asked(self):
        dispatcher = Dispatcher(build_service(), FleetView("z", 4, 8), random.Random(1))
        ask = dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertEqual(len(set(ask.endpoints)), QueryRules().at_once)
