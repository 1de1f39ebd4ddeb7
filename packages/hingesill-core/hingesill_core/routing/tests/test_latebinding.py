"""Tests of late binding: load queries before a send."""

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


class LoadQueryTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(build_service(), FLEET, random.Random(1))
        self.binding = self.dispatcher.binding
        self.ticket = Ticket(ROUTE, 0.0, 2.0)

    def test_request_is_sent_after_load_queries(self):
        query = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(query, LoadQuery)
        self.assertEqual(len(set(query.endpoints)), QueryRules().first_fan_out)

    def test_request_goes_to_an_endpoint_with_two_free_slots(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 2), 0.01))
        send = self.binding.handle_reply(reply("i1", 1), 0.01)
        self.assertIsInstance(send, Send)
        self.assertIs(send.ticket, self.ticket)
        self.assertEqual((send.endpoint, send.occupied), ("i1", 2))

    def test_declared_slots_complete_a_report(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(
            self.binding.handle_reply(reply("i1", 1, slots=0), 0.01), Send
        )

    def test_reply_without_waiting_request_is_recorded(self):
        self.assertIsNone(self.binding.handle_reply(reply("i1", 0), 0.01))
        self.assertEqual(self.dispatcher.states["i1"].report.running, 0)

    def test_slow_endpoint_is_skipped(self):
        self.dispatcher.submit(self.ticket, 0.0)
        slow = reply("i0", 0, slowness=5.0)
        self.assertIsNone(self.binding.handle_reply(slow, 0.1))
        self.assertIsNone(self.binding.handle_reply(slow, 0.3))

    def test_slow_endpoint_is_used_where_all_are_slow(self):
        for _ in range(200):
            self.binding.handle_reply(reply("i1", 0, slowness=5.0), 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(
            self.binding.handle_reply(reply("i0", 0, slowness=5.0), 0.1), Send
        )

    def test_frequent_replies_of_slow_endpoints_are_not_the_baseline(self):
        for _ in range(100):
            for slowness in (5.0, 5.0, 1.0):
                self.binding.handle_reply(reply("i1", 0, slowness=slowness), 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 0, slowness=5.0), 0.1))

    def test_unhealthy_endpoint_is_skipped(self):
        self.dispatcher.submit(self.ticket, 0.0)
        unhealthy = replace(reply("i0", 0), is_unhealthy=True)
        self.assertIsNone(self.binding.handle_reply(unhealthy, 0.1))
        self.assertIsInstance(self.binding.handle_reply(reply("i1", 0), 0.1), Send)

    def test_unhealthy_reports_of_most_endpoints_are_ignored(self):
        unhealthy = replace(reply("i0", 0), is_unhealthy=True)
        for _ in range(30):
            self.binding.handle_reply(unhealthy, 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsInstance(self.binding.handle_reply(unhealthy, 0.1), Send)

    def refuse_first(self, now):
        """Let an endpoint refuse a request without a retry token."""
        send = self.binding.handle_reply(reply("i1", 0), now)
        self.dispatcher.retries.tokens = 0.0
        self.dispatcher.complete_send(send, SendResult(SendStatus.REFUSED), now)
        return self.dispatcher.retry(send.ticket, SendStatus.REFUSED, now)[0]

    def test_random_refusal_has_short_retry_after(self):
        self.dispatcher.submit(self.ticket, 0.0)
        refusal = self.refuse_first(0.01)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertLessEqual(refusal.retry_after, 0.02)

    def test_refusal_with_waiting_requests_has_longer_retry_after(self):
        for _ in range(3):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertGreater(self.refuse_first(0.01).retry_after, 0.04)

    def test_full_endpoint_is_skipped(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 3), 0.1))
        self.assertIsNone(self.binding.handle_reply(reply("i0", 3), 0.8))

    def test_late_request_uses_leftover_capacity(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 2), 0.3))
        self.assertIsInstance(self.binding.handle_reply(reply("i0", 1), 0.3), Send)

    def test_elapsed_time_makes_a_request_late(self):
        self.ticket.elapsed = 0.3
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 2), 0.03))

    def test_late_request_waits_for_replies_to_others(self):
        self.ticket.elapsed = 0.3
        self.assertEqual(self.dispatcher.submit(self.ticket, 0.0), LoadQuery(()))
        self.assertIsInstance(self.binding.handle_reply(reply("i0", 0), 0.01), Send)

    def test_late_requests_alone_query_rarely(self):
        for _ in range(8):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0, elapsed=0.3), 0.0)
        queries = [
            self.binding.next_query(0.015 * round_number)
            for round_number in range(1, 21)
        ]
        asked = sum(len(query.endpoints) for query in queries if query is not None)
        self.assertIn(asked, range(4, 8))

    def test_late_requests_use_no_query_budget_of_others(self):
        self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0, elapsed=0.3), 0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        query = self.binding.next_query(0.015)
        self.assertEqual(len(query.endpoints), QueryRules().first_fan_out)

    def test_endpoints_with_idle_connections_are_queried_first(self):
        self.binding.selection.is_connected = lambda identity: identity in ("i1", "i3")
        first = self.dispatcher.submit(self.ticket, 0.0)
        self.assertEqual(set(first.endpoints), {"i1", "i3"})
        second = self.binding.next_query(0.01)
        self.assertEqual(set(second.endpoints), {"i0", "i2"})

    def test_hedge_does_not_affect_the_wait_estimate(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.binding.handle_reply(reply("i0", 0), 0.1)
        self.binding.add_hedge(self.ticket, 60.0)
        self.binding.handle_reply(reply("i1", 0), 60.01)
        self.dispatcher.submit(Ticket(ROUTE, 60.1, 62.1), 60.1)
        self.assertLess(self.binding.estimate_wait(60.1), 0.1)

    def test_waiting_hedge_does_not_count_as_waiting(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.binding.handle_reply(reply("i0", 0), 0.1)
        self.binding.add_hedge(self.ticket, 60.0)
        self.assertEqual(self.binding.estimate_wait(60.05), 0.0)

    def test_later_rounds_ignore_connections(self):
        self.binding.selection.is_connected = lambda identity: identity in ("i1", "i3")
        self.dispatcher.submit(self.ticket, 0.0)
        queries = [
            self.binding.next_query(0.03 * round_number) for round_number in range(1, 5)
        ]
        names = {name for query in queries for name in query.endpoints}
        self.assertTrue({"i0", "i2"} & names)

    def test_slow_endpoint_is_not_preferred_for_its_connection(self):
        self.binding.selection.is_connected = lambda identity: identity in ("i1", "i3")
        for name in ("i1", "i3"):
            self.binding.record_reply(reply(name, 0, slowness=9.0), 0.0)
        times = [0.1 * round_number for round_number in range(1, 9)]
        queries = [self.dispatcher.submit(Ticket(ROUTE, t, t + 2.0), t) for t in times]
        self.assertTrue(
            {"i0", "i2"} & {name for query in queries for name in query.endpoints}
        )
        later = self.dispatcher.submit(Ticket(ROUTE, 2.0, 4.0), 2.0)
        self.assertEqual(set(later.endpoints), {"i1", "i3"})

    def test_single_idle_connection_is_not_the_only_query(self):
        self.binding.selection.is_connected = lambda identity: identity == "i1"
        tickets = [Ticket(ROUTE, t, t + 2.0) for t in range(9)]
        queries = [self.dispatcher.submit(item, item.arrived) for item in tickets]
        names = {name for query in queries for name in query.endpoints}
        self.assertTrue(all("i1" in query.endpoints for query in queries))
        self.assertGreater(len(names), 2)

    def test_retry_after_covers_the_waiting_requests(self):
        for _ in range(16):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        for round_number in range(1, 5):
            self.binding.handle_reply(
                reply(f"i{round_number % 4}", 0), 0.1 * round_number
            )
        for _ in range(4):
            self.dispatcher.submit(Ticket(ROUTE, 0.4, 2.4), 0.4)
        refusal = self.dispatcher.submit(Ticket(ROUTE, 0.4, 2.4), 0.4)
        self.assertIs(refusal.reason, RefusalReason.QUEUE_FULL)
        self.assertGreater(refusal.retry_after, 16 * 0.03)

    def test_later_rounds_query_other_endpoints(self):
        first = self.dispatcher.submit(self.ticket, 0.0)
        second = self.binding.next_query(0.01)
        self.assertFalse(set(first.endpoints) & set(second.endpoints))

    def test_more_urgent_rank_goes_first(self):
        urgent = Ticket(replace(ROUTE, rank=0), 0.01, 2.0)
        other = Ticket(replace(ROUTE, rank=2), 0.0, 2.0)
        self.dispatcher.submit(other, 0.0)
        self.dispatcher.submit(urgent, 0.01)
        self.assertIs(self.binding.handle_reply(reply("i0", 0), 0.02).ticket, urgent)

    def test_timely_request_goes_before_a_late_one(self):
        late = Ticket(ROUTE, 0.0, 2.0)
        early = Ticket(ROUTE, 0.5, 2.5)
        self.dispatcher.submit(late, 0.0)
        self.dispatcher.submit(early, 0.5)
        self.assertIs(self.binding.handle_reply(reply("i0", 0), 0.51).ticket, early)

    def test_request_is_refused_while_its_caller_can_retry(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertEqual(list(self.binding.expire(0.8)), [])
        ((ticket, refusal),) = self.binding.expire(0.95)
        self.assertIs(ticket, self.ticket)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertIsNotNone(refusal.retry_after)
        self.assertIsNone(self.binding.next_query(2.0))

    def test_full_queue_refuses(self):
        for _ in range(16):
            self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        refusal = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_without_endpoints_request_is_refused(self):
        self.dispatcher.configure(replace(build_service(), endpoints=()), FLEET)
        refusal = self.dispatcher.submit(self.ticket, 0.0)
        self.assertIs(refusal.reason, RefusalReason.NO_ENDPOINT)

    def test_removed_endpoint_gets_nothing(self):
        self.dispatcher.submit(self.ticket, 0.0)
        service = build_service()
        rest = service.endpoints[1:]
        self.dispatcher.configure(replace(service, endpoints=rest), FLEET)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 0), 0.01))

    def test_unresponsive_endpoints_are_queried_less(self):
        for _ in range(2):
            self.binding.record_reply(LoadReply("i0", SendStatus.LOST), 0.0)
        asked = set()
        for _ in range(10):
            query = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.1)
            asked.update(getattr(query, "endpoints", ()))
        self.assertNotIn("i0", asked)

    def test_failed_requests_eject_despite_good_replies(self):
        for _ in range(3):
            send = self.dispatcher.start_send(
                Ticket(ROUTE, 0.0, 2.0), self.dispatcher.states["i0"], 0.0
            )
            self.dispatcher.complete_send(send, SendResult(SendStatus.FAULT), 0.05)
            self.binding.record_reply(reply("i0", 0), 0.05)
        self.assertFalse(self.dispatcher.states["i0"].health.accepts_traffic())

    def test_ejected_endpoint_gets_no_request(self):
        self.dispatcher.states["i0"].health.eject(0.0)
        self.dispatcher.submit(self.ticket, 0.0)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 0), 0.01))

    def test_without_reports_no_endpoint_is_queried(self):
        self.dispatcher.submit(self.ticket, 0.0)
        self.binding.handle_reply(LoadReply("i0", SendStatus.ANSWERED), 0.01)
        decision = self.dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.02)
        self.assertNotIsInstance(decision, LoadQuery)
        ((_, waiting),) = self.binding.expire(0.03)
        self.assertIsInstance(waiting, Send)

    def test_retries_stay_within_the_routes_bound(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ROUTE, 0.0, 2.0, sends=2)
        decision, _ = self.dispatcher.retry(ticket, SendStatus.FAULT, 0.1)
        self.assertIsInstance(decision, Refusal)

    def test_unrepeatable_request_that_may_have_run_is_not_retried(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ONCE, 0.0, 2.0, sends=1, exposed=True)
        decision, _ = self.dispatcher.retry(ticket, SendStatus.LOST, 0.1)
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.outcome, Outcome.UNKNOWN)

    def test_retry_goes_to_another_endpoint(self):
        self.dispatcher.retries.tokens = 5.0
        ticket = Ticket(ROUTE, 0.0, 2.0, sends=1, tried=["i0"])
        self.dispatcher.retry(ticket, SendStatus.FAULT, 0.1)
        self.assertIsNone(self.binding.handle_reply(reply("i0", 0), 0.11))
        self.assertIsInstance(self.binding.handle_reply(reply("i1", 0), 0.11), Send)


class DataCentreTests(unittest.TestCase):
    def test_all_queries_but_one_stay_in_the_data_centre(self):
        endpoints = tuple(
            Endpoint(f"10.0.0.{n}:80", "ab"[n % 2], 3, 100, f"i{n}") for n in range(8)
        )
        service = replace(build_service(), endpoints=endpoints)
        dispatcher = Dispatcher(service, FLEET, random.Random(1))
        query = dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        local = [name for name in query.endpoints if int(name[1:]) % 2 == 0]
        self.assertGreaterEqual(len(local), QueryRules().first_fan_out - 1)

    def test_first_queries_stay_in_a_data_centre_with_many_endpoints(self):
        endpoints = tuple(
            Endpoint(f"10.0.0.{n}:80", "ab"[n % 2], 3, 100, f"i{n}")
            for n in range(2 * QueryRules().min_local)
        )
        service = replace(build_service(), endpoints=endpoints)
        for seed in range(20):
            dispatcher = Dispatcher(service, FLEET, random.Random(seed))
            query = dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
            self.assertFalse([name for name in query.endpoints if int(name[1:]) % 2])

    def test_without_local_endpoints_others_are_queried(self):
        dispatcher = Dispatcher(build_service(), FleetView("z", 4, 8), random.Random(1))
        query = dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertEqual(len(set(query.endpoints)), QueryRules().first_fan_out)
