"""Plays a written load against dispatchers in virtual time, without a network.

Callers send to nodes at random, each node decides with a real dispatcher and its part
of the fleet's budgets, and endpoints work in slots. What callers got is what counts.
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
MOST_TRIES = 3
# A node reports what it has learnt to the relay of its data centre.
FIRST_REPORT_SECONDS = 1.5
REPORT_SECONDS = 8.0
# A relay tells the fleet what is worth telling, by way of the store.
REVIEW_SECONDS = 1.5
TELLING_SECONDS = 0.05
# Between two rounds in which a node passes news of limits on.
NEWS_SECONDS = 0.5


class Simulation:
    """A load, played.

    Parameters
    ----------
    load : Load
        What happens.
    seed : int
        Of all luck.
    """

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.kinds = {kind.route: kind for kind in load.kinds}
        self.endpoints = {}
        for number in range(load.endpoints):
            endpoint = SimulatedEndpoint(self, number)
            self.endpoints[endpoint.identity] = endpoint
        self.service = self._build_service()
        self.requests = []
        self.extra_sends = []
        self.tried_at = []
        self.profile = None
        self.tellings = 0
        # Without any nothing of limits is played: other loads keep their luck.
        self.names_limits = any(spell.limit is not None for spell in load.spells)
        self._events = []
        self._order = count()
        self._start_nodes()

    def _build_service(self):
        endpoints = tuple(
            Endpoint(identity, played.data_centre, SLOTS, 2400, identity)
            for identity, played in self.endpoints.items()
        )
        probes = ProbeBudget(54.0 * len(endpoints), 30.0, 1.0, 0.001, "/", True)
        routes = tuple(kind.route for kind in self.load.kinds)
        return Service(
            "arena",
            "fresh_report",
            endpoints,
            routes,
            probes,
            self.load.sends,
            1000,
            0,
            self.load.warm_up_rate,
        )

    def _start_nodes(self):
        self.nodes = [SimulatedNode(self, number) for number in range(self.load.nodes)]
        if self.names_limits:
            self._connect_limits()
        if self.profile is not None:
            self._tell_all(self.nodes, self.profile)
        for relay in self.nodes[:DATA_CENTRES]:
            self.after(REVIEW_SECONDS * self.rng.random(), self._review, relay)
        for number, node in enumerate(self.nodes[DATA_CENTRES:]):
            relay = self.nodes[number % DATA_CENTRES]
            pause = FIRST_REPORT_SECONDS * self.rng.random()
            self.after(pause, self._report, node, relay)

    def _connect_limits(self):
        """Let nodes tell each other of limits, and ask for grants."""
        nodes = {("10.0.0.1", number): node for number, node in enumerate(self.nodes)}
        for own, node in nodes.items():
            node.fleet_limits.send = lambda to, message, own=own: self.after(
                FAR_SECONDS, self._hear_limits, nodes[to], message, own
            )
            node.fleet_limits.set_nodes(own, nodes)
            self.after(NEWS_SECONDS * self.rng.random(), self._tell_limits, node)

    def _hear_limits(self, node, message, sender):
        if node.is_alive:
            node.fleet_limits.take(message, sender, self.now)

    def _tell_limits(self, node):
        if node.is_alive and self.now <= self.load.seconds:
            node.fleet_limits.run_gossip_round(self.now)
            self.after(NEWS_SECONDS, self._tell_limits, node)

    def _report(self, node, relay):
        """Let a node tell its relay what it has learnt."""
        if not node.is_alive or self.now > self.load.seconds:
            return
        news = node.slots.take_unreported(self.now)
        if news is not None:
            relay.slots.merge_report(news, self.now)
        is_stable = node.slots.is_stable(self.now)
        pause = REPORT_SECONDS if is_stable else FIRST_REPORT_SECONDS
        self.after(pause, self._report, node, relay)

    def _review(self, relay):
        """Let a relay keep what is worth telling."""
        if not relay.is_alive or self.now > self.load.seconds:
            return
        if relay.slots.should_publish(self.now):
            self.profile = relay.slots.build_profile(self.now)
            relay.slots.mark_published(self.profile, self.now)
            self.tellings += 1
            self.after(TELLING_SECONDS, self._tell_all, self.nodes, self.profile)
        self.after(REVIEW_SECONDS, self._review, relay)

    def _tell_all(self, nodes, profile):
        """Let nodes know what a relay has kept."""
        for node in nodes:
            node.slots.adopt(profile, self.now)

    def get_way(self, node, endpoint):
        """Return the seconds from a node to an endpoint."""
        is_near = node.data_centre == endpoint.data_centre
        return NEAR_SECONDS if is_near else FAR_SECONDS

    def after(self, seconds, act, *arguments):
        """Do something later."""
        event = (self.now + seconds, next(self._order), act, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        """Play all; return the requests."""
        self._schedule_next()
        for begin, end in self.load.outages:
            self.after(begin, self._stop_nodes)
            self.after(end, self._start_nodes)
        while self._events:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self.requests

    def _stop_nodes(self):
        for node in self.nodes:
            node.stop()

    def _schedule_next(self):
        rate = self.load.rate * self.load.get_factor(self.now)
        pause = self.rng.expovariate(rate)
        if self.now + pause < self.load.seconds:
            self.after(pause, self._arrive)

    def _arrive(self):
        weights = [kind.share for kind in self.load.kinds]
        kind = self.rng.choices(self.load.kinds, weights)[0]
        is_impatient = self.rng.random() < self.load.impatient
        time = kind.limit * self.rng.uniform(self.load.least_time, 1.0)
        request = Request(kind, self.now, is_impatient, time)
        self.requests.append(request)
        self._try(request)
        self._schedule_next()

    def _try(self, request):
        if self.now >= request.deadline or request.answered_at is not None:
            return
        request.tries += 1
        self.tried_at.append(self.now)
        if self.load.is_out(self.now):
            self._come_back(request, NO_CONNECTION_SECONDS)
            return
        self.rng.choice(self.nodes).submit(request)

    def _come_back(self, request, seconds):
        if request.tries < MOST_TRIES:
            left = request.deadline - self.now
            self.after(min(seconds, left / 3), self._try, request)

    def note_send(self, is_extra):
        """Count an arrival at an endpoint if it is beyond the first of a try."""
        if is_extra:
            self.extra_sends.append(self.now)

    def answer(self, request):
        """Give a caller its answer."""
        if request.answered_at is None and self.now <= request.deadline:
            request.answered_at = self.now

    def refuse(self, attempt, refusal):
        """Tell a caller that it gets no answer; it may come back."""
        request = attempt.request
        request.refusals.append(self.now - attempt.ticket.arrived)
        not_run = refusal is not None and refusal.outcome is Outcome.NOT_RUN
        if not_run or request.kind.route.repeatable:
            told = refusal.retry_after if refusal is not None else None
            self._come_back(request, 0.0 if request.is_impatient else told or 0.0)

    def lose(self, request):
        """Let a caller find out that its node is gone."""
        if request.kind.route.repeatable:
            self._come_back(request, 0.01)

    def find_share(self, of, requests=None):
        """Return the share of requests for which a condition holds."""
        requests = self.requests if requests is None else requests
        return sum(map(bool, map(of, requests))) / max(1, len(requests))

    def count_most_at_cold(self):
        """Return the most requests that came to a cold endpoint within a second."""
        spells = [spell for spell in self.load.spells if spell.cold]
        most = 0
        for endpoint in self.endpoints.values():
            for spell in spells:
                if spell.first <= endpoint.place < spell.last:
                    came = [
                        t for t in endpoint.arrivals if spell.begin <= t < spell.end
                    ]
                    most = max(most, count_most_within(came, 1.0))
        return most

    def list_windows(self, window):
        """Yield the extra sends of each window, and the requests that allow them.

        Notes
        -----
        These are the tries of the window, of the one before it or of the one half a
        window earlier, whichever are most.
        """
        sent = self.tried_at
        extra = self.extra_sends
        for end in extra:
            begin = end - window
            allowing = max(
                bisect_right(sent, end - back) - bisect_left(sent, begin - back)
                for back in (0.0, window / 2, window)
            )
            yield bisect_right(extra, end) - bisect_left(extra, begin), allowing


def count_most_within(times, seconds):
    """Return the most of some ordered times that lie within so many seconds."""
    return max(
        (
            bisect_left(times, begin + seconds) - place
            for place, begin in enumerate(times)
        ),
        default=0,
    )
