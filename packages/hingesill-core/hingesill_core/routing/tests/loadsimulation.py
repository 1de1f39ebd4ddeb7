"""Discrete-event simulation of a workload, in virtual time and without a network.

Callers send to random nodes, each node decides with a real dispatcher and its share of
the fleet's budgets, and endpoints serve requests in slots. The callers' outcomes are
evaluated.
"""

import heapq
import random
from bisect import bisect_left, bisect_right
from itertools import count

from hingesill_core.configuration.services import Endpoint, ProbeBudget, Service
from hingesill_core.reasons import Outcome
from hingesill_core.routing.tests.simulatedendpoint import (
    DATA_CENTRES,
    SLOTS,
    SimulatedEndpoint,
)
from hingesill_core.routing.tests.simulatednode import SimulatedNode
from hingesill_core.routing.tests.workloads import Request

__all__ = ["Simulation"]

NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.0014
NO_CONNECTION_SECONDS = 1.0
MAX_ATTEMPTS = 3
# Intervals of a node's reports to its relay, until the model is stable and after.
FIRST_REPORT_SECONDS = 1.5
REPORT_SECONDS = 8.0
# Interval of a relay's reviews, and the delay of publishing by way of the store.
REVIEW_SECONDS = 1.5
PUBLISH_SECONDS = 0.05
# Interval of a node's gossip rounds of rate limits.
GOSSIP_INTERVAL_SECONDS = 0.5


class Simulation:
    """A simulation of one workload.

    Parameters
    ----------
    workload : Workload
        Callers, faults and sizes.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, workload, seed):
        self.workload = workload
        self.rng = random.Random(seed)
        self.now = 0.0
        self.kinds = {kind.route: kind for kind in workload.kinds}
        self.endpoints = {}
        for number in range(workload.endpoints):
            endpoint = SimulatedEndpoint(self, number)
            self.endpoints[endpoint.identity] = endpoint
        self.service = self._build_service()
        self.requests = []
        self.extra_sends = []
        self.attempted_at = []
        self.profile = None
        self.publications = 0
        # Without rate limits none are simulated, so that other workloads keep their
        # random numbers.
        self.has_rate_limits = any(fault.limit is not None for fault in workload.spells)
        self._events = []
        self._order = count()
        self._start_nodes()

    def _build_service(self):
        endpoints = tuple(
            Endpoint(identity, endpoint.data_centre, SLOTS, 2400, identity)
            for identity, endpoint in self.endpoints.items()
        )
        probes = ProbeBudget(
            self.workload.query_rate * len(endpoints), 30.0, 1.0, 0.001, "/", True
        )
        routes = tuple(kind.route for kind in self.workload.kinds)
        return Service(
            "arena",
            "fresh_report",
            endpoints,
            routes,
            probes,
            self.workload.sends,
            1000,
            0,
            self.workload.warm_up_rate,
            self.workload.early_refusal,
        )

    def _start_nodes(self):
        self.nodes = [
            SimulatedNode(self, number) for number in range(self.workload.nodes)
        ]
        if self.has_rate_limits:
            self._connect_limits()
        if self.profile is not None:
            self._distribute_profile(self.nodes, self.profile)
        for relay in self.nodes[:DATA_CENTRES]:
            self.schedule(
                REVIEW_SECONDS * self.rng.random(), self._review_profile, relay
            )
        for number, node in enumerate(self.nodes[DATA_CENTRES:]):
            relay = self.nodes[number % DATA_CENTRES]
            interval = FIRST_REPORT_SECONDS * self.rng.random()
            self.schedule(interval, self._report, node, relay)

    def _connect_limits(self):
        """Connect the nodes for gossip of rate limits and for grants."""
        nodes = {("10.0.0.1", number): node for number, node in enumerate(self.nodes)}
        for own, node in nodes.items():
            node.fleet_limits.send = lambda to, message, own=own: self.schedule(
                FAR_SECONDS, self._receive_limits, nodes[to], message, own
            )
            node.fleet_limits.set_nodes(own, nodes)
            self.schedule(
                GOSSIP_INTERVAL_SECONDS * self.rng.random(),
                self._run_gossip_round,
                node,
            )

    def _receive_limits(self, node, message, sender):
        if node.is_alive:
            node.fleet_limits.handle_message(message, sender, self.now)

    def _run_gossip_round(self, node):
        if node.is_alive and self.now <= self.workload.seconds:
            node.fleet_limits.run_gossip_round(self.now)
            self.schedule(GOSSIP_INTERVAL_SECONDS, self._run_gossip_round, node)

    def _report(self, node, relay):
        """Report a node's observations to its relay."""
        if not node.is_alive or self.now > self.workload.seconds:
            return
        unreported = node.slots.take_unreported(self.now)
        if unreported is not None:
            relay.slots.merge_report(unreported, self.now)
        is_stable = node.slots.is_stable(self.now)
        interval = REPORT_SECONDS if is_stable else FIRST_REPORT_SECONDS
        self.schedule(interval, self._report, node, relay)

    def _review_profile(self, relay):
        """Publish a relay's observations if they are worth it."""
        if not relay.is_alive or self.now > self.workload.seconds:
            return
        if relay.slots.should_publish(self.now):
            self.profile = relay.slots.build_profile(self.now)
            relay.slots.mark_published(self.profile, self.now)
            self.publications += 1
            self.schedule(
                PUBLISH_SECONDS, self._distribute_profile, self.nodes, self.profile
            )
        self.schedule(REVIEW_SECONDS, self._review_profile, relay)

    def _distribute_profile(self, nodes, profile):
        """Apply the published profile at nodes."""
        for node in nodes:
            node.slots.adopt(profile, self.now)

    def get_network_delay(self, node, endpoint):
        """Return the network delay between a node and an endpoint, in seconds."""
        is_near = node.data_centre == endpoint.data_centre
        return NEAR_SECONDS if is_near else FAR_SECONDS

    def schedule(self, seconds, callback, *arguments):
        """Schedule a call."""
        event = (self.now + seconds, next(self._order), callback, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        """Run the simulation; return the requests."""
        self._schedule_next()
        for begin, end in self.workload.outages:
            self.schedule(begin, self._stop_nodes)
            self.schedule(end, self._start_nodes)
        while self._events:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self.requests

    def _stop_nodes(self):
        for node in self.nodes:
            node.stop()

    def _schedule_next(self):
        rate = self.workload.rate * self.workload.get_factor(self.now)
        if self.workload.surges:
            rate *= sum(self._get_weights()) * sum(self._get_organisation_weights())
        interval = self.rng.expovariate(rate)
        if self.now + interval < self.workload.seconds:
            self.schedule(interval, self._arrive)

    def _arrive(self):
        kind = self.rng.choices(self.workload.kinds, self._get_weights())[0]
        is_impatient = self.rng.random() < self.workload.impatient_share
        time = kind.limit * self.rng.uniform(self.workload.min_time_share, 1.0)
        request = Request(kind, self.now, is_impatient, time)
        if self.workload.organisations:
            organisations = list(self.workload.organisations)
            weights = self._get_organisation_weights()
            request.organisation = self.rng.choices(organisations, weights)[0]
        self.requests.append(request)
        self._attempt(request)
        self._schedule_next()

    def _get_weights(self):
        shares = {kind: kind.share for kind in self.workload.kinds}
        return self.workload.get_weights(shares, self.now)

    def _get_organisation_weights(self):
        shares = self.workload.organisations or {None: 1.0}
        return self.workload.get_weights(shares, self.now)

    def _attempt(self, request):
        if self.now >= request.deadline or request.answered_at is not None:
            return
        request.attempts += 1
        self.attempted_at.append(self.now)
        if self.workload.is_out(self.now):
            self._retry_later(request, NO_CONNECTION_SECONDS)
            return
        self.rng.choice(self.nodes).submit(request)

    def _retry_later(self, request, seconds):
        if request.attempts < MAX_ATTEMPTS:
            left = request.deadline - self.now
            self.schedule(min(seconds, left / 3), self._attempt, request)

    def record_send(self, is_extra):
        """Record a send to an endpoint if it is not the first of an attempt."""
        if is_extra:
            self.extra_sends.append(self.now)

    def answer(self, request):
        """Deliver an answer to its caller."""
        if request.answered_at is None and self.now <= request.deadline:
            request.answered_at = self.now

    def refuse(self, attempt, refusal):
        """Deliver a refusal to its caller, which may retry."""
        request = attempt.request
        request.refusals.append(self.now - attempt.ticket.arrived)
        not_run = refusal is not None and refusal.outcome is Outcome.NOT_RUN
        if not_run or request.kind.route.repeatable:
            retry_after = refusal.retry_after if refusal is not None else None
            self._retry_later(
                request, 0.0 if request.is_impatient else retry_after or 0.0
            )

    def handle_node_loss(self, request):
        """Let a caller detect that its node is lost."""
        if request.kind.route.repeatable:
            self._retry_later(request, 0.01)

    def compute_share(self, condition, requests=None):
        """Return the share of requests for which a condition holds."""
        requests = self.requests if requests is None else requests
        return sum(map(bool, map(condition, requests))) / max(1, len(requests))

    def count_max_at_cold(self):
        """Return the most requests that a cold endpoint received within a second."""
        fault_periods = [fault for fault in self.workload.spells if fault.cold]
        maximum = 0
        for endpoint in self.endpoints.values():
            for fault in fault_periods:
                if fault.first <= endpoint.position < fault.last:
                    arrivals = [
                        t for t in endpoint.arrivals if fault.begin <= t < fault.end
                    ]
                    maximum = max(maximum, count_max_within(arrivals, 1.0))
        return maximum

    def list_windows(self, window):
        """Yield the extra sends of each window, and the requests that allow them.

        Notes
        -----
        These are the attempts of the window, of the one before it or of the one half a
        window earlier, whichever are most.
        """
        sent = self.attempted_at
        extra = self.extra_sends
        for end in extra:
            begin = end - window
            allowing = max(
                bisect_right(sent, end - back) - bisect_left(sent, begin - back)
                for back in (0.0, window / 2, window)
            )
            yield bisect_right(extra, end) - bisect_left(extra, begin), allowing


def count_max_within(times, seconds):
    """Return the most of some ordered times that lie within so many seconds."""
    return max(
        (
            bisect_left(times, begin + seconds) - position
            for position, begin in enumerate(times)
        ),
        default=0,
    )
