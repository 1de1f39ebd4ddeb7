"""Tests of sends to endpoints that are warming up."""

import random
import unittest

from msgspec.structs import replace

from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.endpoint_state import EndpointState
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import LoadReply
from hingesill_core.routing.messages import Send, SendResult, SendStatus, Ticket
from hingesill_core.routing.tests.test_latebinding import ROUTE, build_service
from hingesill_core.routing.warmup import REPORT_TTL_SECONDS, WarmUpLimit

RATE = 2.5
FLEET = FleetView("a", 4, 8)


def reply(endpoint, running, warm_in):
    report = LoadReport(running, 0.0, 0, 2)
    return LoadReply(endpoint, SendStatus.ANSWERED, report, warm_in)


class WarmUpTests(unittest.TestCase):
    """One node of four, and one cold endpoint."""

    def setUp(self):
        service = replace(build_service(), warm_up_rate=RATE)
        self.dispatcher = Dispatcher(service, FLEET, random.Random(1))
        self.binding = self.dispatcher.binding

    def submit(self, now=0.0):
        self.dispatcher.submit(Ticket(ROUTE, now, now + 2.0), now)

    def test_a_new_request_waits_for_a_warm_endpoint(self):
        self.submit()
        self.assertIsNone(self.binding.handle_reply(reply("i1", 0, 2.0), 0.01))
        self.assertIsInstance(
            self.binding.handle_reply(reply("i2", 0, 0.0), 0.01), Send
        )

    def test_a_waiting_request_uses_an_idle_cold_endpoint(self):
        self.submit()
        self.assertIsNone(self.binding.handle_reply(reply("i1", 1, 2.0), 0.05))
        self.assertIsInstance(
            self.binding.handle_reply(reply("i1", 0, 2.0), 0.05), Send
        )

    def test_a_single_node_stays_within_the_rate(self):
        sent = 0
        for turn in range(100):
            now = turn * 0.02
            self.submit(now)
            send = self.binding.handle_reply(reply("i1", 0, 5.0), now + 0.03)
            if send is not None:
                sent += 1
                self.dispatcher.complete_send(
                    send, SendResult(SendStatus.ANSWERED), now + 0.03
                )
        self.assertIn(sent, range(1, 7))

    def test_an_answer_does_not_report_the_endpoint_as_warm(self):
        self.binding.handle_reply(reply("i1", 0, 2.0), 0.0)
        self.submit()
        self.assertIsNone(self.binding.handle_reply(reply("i1", 1, None), 0.05))

    def test_an_expired_warm_up_report_is_ignored(self):
        self.binding.handle_reply(reply("i1", 0, 0.0), 0.0)
        late = REPORT_TTL_SECONDS + 0.1
        self.submit(late)
        self.assertIsNone(self.binding.handle_reply(reply("i1", 1, None), late + 0.05))
        self.assertIsInstance(
            self.binding.handle_reply(reply("i1", 1, 0.0), late + 0.05), Send
        )

    def test_without_a_declared_rate_there_is_no_limit(self):
        dispatcher = Dispatcher(build_service(), FLEET, random.Random(1))
        dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertIsInstance(
            dispatcher.binding.handle_reply(reply("i1", 0, 2.0), 0.01), Send
        )


class WithoutQueryTests(unittest.TestCase):
    """Endpoints that report no load; their entries state how long they are cold."""

    NODES = 5
    SECONDS = 60.0

    def test_nodes_use_their_shares_and_stay_within_them(self):
        rng = random.Random(1)
        limits = [WarmUpLimit(rate=RATE, nodes=self.NODES) for _ in range(self.NODES)]
        states = [EndpointState("i1") for _ in limits]
        for state in states:
            state.record_entry(self.SECONDS)
        times = []
        for turn in range(int(self.SECONDS * 100)):
            now = 1.0 + turn * 0.01
            for limit, state in zip(limits, states):
                if limit.allows_without_query(state, now, rng):
                    times.append(now)
        worst = max(sum(at <= t < at + 1.0 for t in times) for at in times)
        self.assertLessEqual(worst, RATE * 1.5 + 8.0)
        self.assertGreater(len(times), 0.5 * RATE * self.SECONDS)
        late = 1.0 + self.SECONDS + 0.1
        self.assertTrue(limits[0].allows_without_query(states[0], late, rng))


class IdleFleetTests(unittest.TestCase):
    """One request arrives at each node of a large fleet after a period without load."""

    NODES = 95
    ALLOWED = RATE * 1.5 + 8.0

    def test_unused_capacity_is_not_saved_up(self):
        sent = 0
        for number in range(self.NODES):
            service = replace(
                build_service(1), warm_up_rate=RATE, policy="expected_wait"
            )
            service = replace(
                service, endpoints=(replace(service.endpoints[0], warm_in=60.0),)
            )
            fleet = FleetView("a", self.NODES, 200)
            dispatcher = Dispatcher(service, fleet, random.Random(number))
            decision = dispatcher.submit(Ticket(ROUTE, 50.0, 52.0), 50.0)
            sent += isinstance(decision, Send)
        self.assertLessEqual(sent, self.ALLOWED)


class FleetTests(unittest.TestCase):
    """A cold endpoint that fails each request at once, so that it is always idle."""

    ALLOWED = RATE * 1.5 + 8.0
    ENDPOINTS = 19
    SECONDS = 20.0

    def send(self, nodes, queries, seed):
        """Return the times of sends, with the given queries a second per endpoint."""
        rng = random.Random(seed)
        rules = {"rate": RATE, "nodes": nodes, "endpoints": self.ENDPOINTS}
        limits = [WarmUpLimit(**rules) for _ in range(nodes)]
        states = [EndpointState("i1") for _ in range(nodes)]
        now = 0.0
        sent = []
        while now < self.SECONDS:
            now += rng.expovariate(queries * self.ENDPOINTS)
            number = rng.randrange(nodes)
            limits[number].record_queries(1, now)
            if rng.randrange(self.ENDPOINTS):
                continue
            states[number].record_warm_up(1.0, now)
            if limits[number].allows(states[number], 0, now, rng):
                states[number].last_send_at = now
                sent.append(now)
        return sent

    def count_max(self, *arguments):
        """Return the most sends in any second."""
        sent = self.send(*arguments)
        return max(sum(t <= other < t + 1.0 for other in sent) for t in sent)

    def test_the_fleet_stays_within_the_limit(self):
        for nodes in (1, 3, 17, 95, 312):
            for queries in (4.0, 38.0, 100.0):
                for seed in range(3):
                    with self.subTest(nodes=nodes, queries=queries, seed=seed):
                        maximum = self.count_max(nodes, queries, seed)
                        self.assertLessEqual(maximum, self.ALLOWED)

    def test_much_of_the_limit_is_used(self):
        for nodes in (1, 17, 95):
            for queries in (4.0, 38.0):
                with self.subTest(nodes=nodes, queries=queries):
                    rate = len(self.send(nodes, queries, 1)) / self.SECONDS
                    self.assertGreater(rate, 0.2 * RATE)
