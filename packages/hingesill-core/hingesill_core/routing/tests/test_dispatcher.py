"""Tests of the dispatcher: admission, retries, choices and its invariants."""

import random
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hingesill_core.configuration.declaration import ServiceDeclaration, build_service
from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import (
    Queued,
    Refusal,
    RetryDenied,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)

FLEET = FleetView("lsn-a", 2, 4)
ADDRESSES = [f"10.0.0.{number}:80" for number in range(1, 5)]


def build(endpoints=4, **fields):
    """Return a service with a repeatable, an unrepeatable and a deferrable route."""
    content = {
        "service": "arena",
        "endpoints": [
            {"address": address, "data_centre": "lsn-a"}
            for address in ADDRESSES[:endpoints]
        ],
        "routes": [
            {"method": "GET", "path": "/boards", "repeat": "repeatable"},
            {"method": "POST", "path": "/moves"},
            {
                "method": "GET",
                "path": "/exports",
                "repeat": "repeatable",
                "priority": "deferrable",
            },
        ],
        "sends": {"hedge_share": 0.5, "retry_share": 0.5},
        **fields,
    }
    return build_service(ServiceDeclaration.model_validate(content))


class DispatcherCase(unittest.TestCase):
    def setUp(self):
        self.make()

    def make(self, **fields):
        self.service = build(**fields)
        self.read, self.move, self.export = self.service.routes
        self.dispatcher = Dispatcher(self.service, FLEET, random.Random(1))

    def submit(self, route, now=0.0, limit=1.0, **fields):
        ticket = Ticket(route, now, now + limit, **fields)
        return ticket, self.dispatcher.submit(ticket, now)

    def fill(self, route, now=0.0):
        """Submit requests until one is queued; return the sends."""
        sends = []
        while True:
            _, decision = self.submit(route, now)
            if not isinstance(decision, Send):
                return sends
            sends.append(decision)

    def earn(self, count=20):
        """Fill the budgets of retries and hedges."""
        for _ in range(count):
            _, send = self.submit(self.read)
            self.dispatcher.complete_send(send, SendResult(SendStatus.ANSWERED), 0.005)


class AdmissionTests(DispatcherCase):
    def test_queued_request_is_sent_when_a_slot_is_free(self):
        sends = self.fill(self.read)
        self.dispatcher.complete_send(sends[0], SendResult(SendStatus.ANSWERED), 0.01)
        self.assertEqual(len(list(self.dispatcher.dispatch_queued(0.01))), 1)

    def test_unreachable_deadline_is_refused_immediately(self):
        self.fill(self.read)
        _, decision = self.submit(self.read, limit=0.001)
        self.assertIs(decision.reason, RefusalReason.DEADLINE_UNREACHABLE)
        self.assertIs(decision.outcome, Outcome.NOT_RUN)
        self.assertGreater(decision.retry_after, 0)

    def test_full_queue_is_refused_immediately(self):
        self.make(queue_limit=2)
        self.fill(self.move)
        decisions = [self.submit(self.move)[1] for _ in range(3)]
        self.assertIs(decisions[-1].reason, RefusalReason.QUEUE_FULL)

    def test_live_evicts_deferrable(self):
        self.make(queue_limit=2)
        self.fill(self.read)
        queued, decision = self.submit(self.export)
        self.assertIsInstance(decision, Queued)
        self.assertIsInstance(self.submit(self.read)[1], Queued)
        [(ticket, refusal)] = self.dispatcher.expire(0.0)
        self.assertIs(ticket, queued)
        self.assertIs(refusal.reason, RefusalReason.DISPLACED)

    def test_live_goes_first(self):
        sends = self.fill(self.read)
        self.submit(self.export)
        live, _ = self.submit(self.read)
        for send in sends:
            self.dispatcher.complete_send(send, SendResult(SendStatus.ANSWERED), 0.01)
        first = next(iter(self.dispatcher.dispatch_queued(0.01)))
        self.assertTrue(first.ticket.route.live)

    def test_deferrable_leaves_the_last_slot(self):
        self.make(endpoints=1, places=3)
        sends = self.fill(self.export)
        self.assertEqual(len(sends), 2)
        self.assertIsInstance(self.submit(self.read)[1], Send)

    def test_no_endpoint(self):
        for address in ADDRESSES:
            self.dispatcher.mark_draining(address, 100.0)
        _, decision = self.submit(self.move)
        self.assertIs(decision.reason, RefusalReason.NO_ENDPOINT)


class RetryTests(DispatcherCase):
    def end(self, route, end, **fields):
        self.earn()
        ticket, send = self.submit(route, **fields)
        self.dispatcher.complete_send(send, SendResult(end), 0.01)
        return ticket, *self.dispatcher.retry(ticket, end, 0.01)

    def test_lost_move_is_unknown_and_not_retried(self):
        for end in (SendStatus.LOST, SendStatus.LATE):
            with self.subTest(end=end):
                _, decision, reason = self.end(self.move, end)
                self.assertIs(decision.outcome, Outcome.UNKNOWN)
                self.assertIs(reason, RetryReason.DENIED_NOT_REPEATABLE)

    def test_move_that_did_not_run_goes_to_another_endpoint(self):
        for end in (SendStatus.REFUSED, SendStatus.CONNECT_FAILED):
            with self.subTest(end=end):
                ticket, decision, _ = self.end(self.move, end)
                self.assertIsInstance(decision, Send)
                self.assertNotEqual(ticket.tried[0], ticket.tried[1])

    def test_lost_read_is_retried(self):
        _, decision, reason = self.end(self.read, SendStatus.LOST)
        self.assertIsInstance(decision, Send)
        self.assertIs(reason, RetryReason.ANSWER_LOST)

    def test_only_one_layer_retries(self):
        _, decision, reason = self.end(self.read, SendStatus.LOST, may_retry=False)
        self.assertIsInstance(decision, Refusal)
        self.assertIs(reason, RetryReason.DENIED_LAYER)

    def test_sent_body_is_not_retried(self):
        _, decision, _ = self.end(self.read, SendStatus.REFUSED, replayable=False)
        self.assertIsInstance(decision, Refusal)

    def test_empty_budget(self):
        ticket, send = self.submit(self.read)
        self.dispatcher.complete_send(send, SendResult(SendStatus.LOST), 0.01)
        _, reason = self.dispatcher.retry(ticket, SendStatus.LOST, 0.01)
        self.assertIs(reason, RetryReason.DENIED_BUDGET)

    def test_hedge_goes_to_another_endpoint(self):
        self.earn()
        ticket, first = self.submit(self.read)
        hedge = self.dispatcher.hedging.start(ticket, 0.05)
        self.assertNotEqual(first.endpoint, hedge.endpoint)

    def test_move_is_never_hedged(self):
        self.earn()
        ticket, _ = self.submit(self.move)
        denied = self.dispatcher.hedging.start(ticket, 0.05)
        self.assertEqual(denied, RetryDenied(RetryReason.DENIED_NOT_REPEATABLE))


class PreferenceTests(DispatcherCase):
    def count(self, now=1.0, requests=40):
        """Return the number of requests that each endpoint gets."""
        counts = dict.fromkeys(ADDRESSES, 0)
        for _ in range(requests):
            _, send = self.submit(self.read, now)
            counts[send.endpoint] += 1
            self.dispatcher.complete_send(
                send, SendResult(SendStatus.ANSWERED), now + 0.005
            )
        return counts

    def test_overdue_endpoint_is_skipped(self):
        _, stuck = self.submit(self.move, now=0.0)
        self.assertEqual(self.count(now=0.2)[stuck.endpoint], 0)

    def test_suspicion_applies_and_decays(self):
        self.dispatcher.record_suspicion(ADDRESSES[0], 8.0, 1.0)
        self.assertEqual(self.count(now=1.0)[ADDRESSES[0]], 0)
        self.assertGreater(self.count(now=2.0)[ADDRESSES[0]], 0)

    def test_failing_endpoint_without_load_gets_few_requests(self):
        idle = LoadReport(0, 0.0, 0)
        failures = 0
        for number in range(200):
            now = number * 0.01
            _, send = self.submit(self.read, now)
            bad = send.endpoint == ADDRESSES[0]
            failures += bad
            end = SendStatus.FAULT if bad else SendStatus.ANSWERED
            report = idle if bad else LoadReport(2, now, 0)
            self.dispatcher.complete_send(send, SendResult(end, report), now + 0.004)
        self.assertLess(failures, 20)

    def test_never_more_than_half_are_ejected(self):
        for number in range(100):
            _, send = self.submit(self.move, number * 0.001)
            if isinstance(send, Send):
                result = SendResult(SendStatus.CONNECT_FAILED)
                self.dispatcher.complete_send(send, result, number * 0.001)
        out = [
            state
            for state in self.dispatcher.states.values()
            if state.health.is_ejected(0.1)
        ]
        self.assertLessEqual(len(out), 2)

    def test_new_endpoint_does_not_get_all_requests(self):
        self.make(endpoints=3, policy="round_robin")
        self.count(requests=30)
        self.dispatcher.configure(build(policy="round_robin"), FLEET)
        self.assertLessEqual(self.count(requests=8)[ADDRESSES[3]], 2)

    def test_draining_endpoint_gets_nothing(self):
        self.dispatcher.mark_draining(ADDRESSES[1], 5.0)
        self.assertEqual(self.count(now=1.0)[ADDRESSES[1]], 0)
        self.assertGreater(self.count(now=6.0)[ADDRESSES[1]], 0)


class DispatcherMachine(RuleBasedStateMachine):
    """Requests, results, retries, hedges and drains in any order."""

    def __init__(self):
        super().__init__()
        self.service = build(queue_limit=3)
        self.dispatcher = Dispatcher(self.service, FLEET, random.Random(2))
        self.now = 0.0
        self.live = []
        self.queued = []
        self.may_have_run = {}
        self.submitted = 0
        self.extra_sends = 0

    def record_decision(self, ticket, decision):
        if isinstance(decision, Send):
            state = self.dispatcher.states[decision.endpoint]
            assert not state.is_draining(self.now)
            assert state.in_flight <= state.send_limit
            assert ticket.route.repeatable or not self.may_have_run.get(ticket)
            self.live.append(decision)
        elif isinstance(decision, Queued):
            self.queued.append(ticket)
        elif decision.outcome is Outcome.NOT_RUN:
            assert not self.may_have_run.get(ticket)

    @rule(route=st.integers(0, 2), limit=st.floats(0.001, 1.0))
    def submit(self, route, limit):
        ticket = Ticket(self.service.routes[route], self.now, self.now + limit)
        self.submitted += 1
        self.record_decision(ticket, self.dispatcher.submit(ticket, self.now))

    @precondition(lambda self: self.live)
    @rule(index=st.integers(0, 100), end=st.sampled_from(list(SendStatus)))
    def complete_send(self, index, end):
        send = self.live.pop(index % len(self.live))
        ticket = send.ticket
        certain = (SendStatus.REFUSED, SendStatus.CONNECT_FAILED, SendStatus.NOT_SENT)
        self.may_have_run[ticket] = self.may_have_run.get(ticket) or end not in certain
        self.dispatcher.complete_send(send, SendResult(end), self.now)
        others = any(other.ticket is ticket for other in self.live)
        if end in (SendStatus.ANSWERED, SendStatus.CANCELLED) or others:
            return
        decision, reason = self.dispatcher.retry(ticket, end, self.now)
        # A send after NOT_SENT replaces one that was never written.
        is_extra = end is not SendStatus.NOT_SENT
        self.extra_sends += is_extra and isinstance(decision, (Send, Queued))
        self.record_decision(ticket, decision)

    @precondition(lambda self: self.live)
    @rule(index=st.integers(0, 100))
    def hedge(self, index):
        ticket = self.live[index % len(self.live)].ticket
        decision = self.dispatcher.hedging.start(ticket, self.now)
        if isinstance(decision, Send):
            assert ticket.route.repeatable
            self.extra_sends += 1
            self.live.append(decision)

    @rule(address=st.sampled_from(ADDRESSES), seconds=st.floats(0.0, 0.5))
    def drain(self, address, seconds):
        self.dispatcher.mark_draining(address, self.now + seconds)

    @rule(seconds=st.floats(0.0, 0.2))
    def pass_time(self, seconds):
        self.now += seconds
        for ticket, refusal in self.dispatcher.expire(self.now):
            self.queued.remove(ticket)
            self.record_decision(ticket, refusal)
        for send in self.dispatcher.dispatch_queued(self.now):
            self.queued.remove(send.ticket)
            self.record_decision(send.ticket, send)

    @invariant()
    def queue_is_bounded(self):
        assert len(self.dispatcher.queue) <= self.dispatcher.queue.limit

    @invariant()
    def budget_is_kept(self):
        assert self.extra_sends <= self.submitted


DispatcherMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
DispatcherStateTests = DispatcherMachine.TestCase
