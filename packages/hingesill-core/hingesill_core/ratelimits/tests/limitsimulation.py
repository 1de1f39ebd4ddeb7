"""Plays nodes that keep endpoints' limits in virtual time, without a network."""

import heapq
import random
from bisect import bisect_left
from itertools import count

from msgspec import Struct

from hingesill_core.ratelimits.fleet import FleetLimits
from hingesill_core.ratelimits.reportedlimits import ParsedLimit

__all__ = ["LimitSimulation", "Scenario"]

SERVICE = "arena"
WINDOW_SECONDS = 4.0
WAY_SECONDS = 0.002
ROUND_SECONDS = 0.015
NEWS_SECONDS = 0.5
# Before the play the nodes have run for so long: what a start costs is over.
START_SECONDS = 2.0
# So long a request waits for a grant.
PATIENCE_SECONDS = 0.2


class Scenario(Struct, frozen=True):
    """What is played.

    Parameters
    ----------
    nodes, endpoints : int
        How many; all endpoints are in need.
    limit : float
        That each endpoint names.
    rate : float
        Requests a second to all nodes together.
    busy_share : float
        Of the requests, those that come to the first node; the rest is even.
    loss : float
        Of the datagrams.
    seconds : float
        How long it is played.
    shares_only : bool
        Nodes say nothing to each other; each takes its part by chance.
    rest : tuple of float
        Between these times no request comes; then one to each node at once.
    """

    nodes: int
    limit: float
    rate: float
    endpoints: int = 10
    busy_share: float = 0.0
    loss: float = 0.0
    seconds: float = 20.0
    shares_only: bool = False
    rest: tuple = (0.0, 0.0)


class PlayedLimits:
    """A node: its limits, and the requests that wait there."""

    def __init__(self, play, address):
        self.play = play
        self.address = address
        self.fleet = FleetLimits(random.Random(play.rng.random()))
        self.limits = self.fleet.get(SERVICE)
        self.limits.is_in_health = True
        self.limits.grant_client.nodes = play.scenario.nodes
        self.waiting = []
        self.is_alive = True
        self.is_ticking = False
        self.refused_after = []

    def hear(self, endpoint, limit, now):
        """Take an endpoint's own answer."""
        self.limits.note(endpoint, 0, ParsedLimit(limit), now, now)

    def submit(self):
        """Take a request."""
        now = self.play.now
        self.limits.grant_client.record_request(now)
        self.waiting.append(now)
        self.look()

    def look(self):
        """Serve, ask for and refuse what waits."""
        now = self.play.now
        patience = max((PATIENCE_SECONDS + at - now for at in self.waiting), default=0)
        self.limits.grant_client.want(len(self.waiting), patience, now)
        for endpoint in list(self.limits.limited):
            while self.waiting and self.limits.grant_client.held.find(endpoint, now):
                self.limits.use(endpoint, now)
                self.waiting.pop(0)
                self.play.note_send(endpoint)
        untils = [at + PATIENCE_SECONDS for at in self.waiting]
        surplus = set(self.limits.grant_client.list_surplus(untils, now))
        surplus |= {i for i, until in enumerate(untils) if until < now}
        self.refused_after += [now - self.waiting[i] for i in surplus]
        self.waiting = [at for i, at in enumerate(self.waiting) if i not in surplus]
        if self.waiting and not self.is_ticking:
            self.is_ticking = True
            self.play.after(ROUND_SECONDS, self._tick)

    def _tick(self):
        self.is_ticking = False
        if self.is_alive:
            self.look()

    def run_gossip_round(self):
        """Pass news on, again and again."""
        if self.is_alive:
            self.fleet.run_gossip_round(self.play.now)
            self.play.after(
                NEWS_SECONDS * self.play.rng.uniform(0.8, 1.2), self.run_gossip_round
            )


class LimitSimulation:
    """A scenario, played.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    seed : int
        Of all luck.

    Attributes
    ----------
    arrivals : dict
        Times of the requests at each endpoint.
    datagrams : int
        That nodes sent.
    """

    def __init__(self, scenario, seed=1):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = -START_SECONDS
        self.arrivals = {f"i{n}": [] for n in range(scenario.endpoints)}
        self.datagrams = 0
        self._events = []
        self._order = count()
        addresses = [(f"10.0.{n // 250}.{n % 250}", 80) for n in range(scenario.nodes)]
        self.nodes = {}
        for address in addresses:
            self.start_node(address)
        if not scenario.shares_only:
            self.list_nodes(addresses)
        self.pass_time(0.0)
        self.datagrams = 0

    def start_node(self, address):
        """Let a node start at an address, in place of one that was there."""
        if address in self.nodes:
            self.nodes[address].is_alive = False
        node = self.nodes[address] = PlayedLimits(self, address)
        node.fleet.send = lambda to, message: self._send(node, to, message)
        self.after(NEWS_SECONDS * self.rng.random(), node.run_gossip_round)
        return node

    def list_nodes(self, addresses, among=None):
        """Let nodes, or some of them, believe that these are all."""
        for address in among or self.nodes:
            self.nodes[address].fleet.set_nodes(address, addresses)

    def after(self, seconds, call, *arguments):
        """Do something later."""
        item = (self.now + seconds, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def _send(self, own, to, message):
        self.datagrams += 1
        if self.rng.random() < self.scenario.loss or not own.is_alive:
            return
        self.after(
            WAY_SECONDS * self.rng.uniform(0.5, 1.5), self._take, own, to, message
        )

    def _take(self, own, to, message):
        node = self.nodes[to]
        if node.is_alive:
            node.fleet.take(message, own.address, self.now)

    def note_send(self, endpoint):
        """Count a request that reaches an endpoint."""
        self.arrivals[endpoint].append(self.now)

    def name(self, limit, among=None):
        """Let all endpoints name a limit to all nodes, or to some of them."""
        for address in among or self.nodes:
            for endpoint in self.arrivals:
                self.nodes[address].hear(endpoint, limit, self.now)

    def run(self, begin=0.0, seconds=None):
        """Play requests for a while."""
        scenario = self.scenario
        until = self.now + (seconds or scenario.seconds)
        self.after(0.0, self._submit, until)
        if scenario.rest[1]:
            for node in self.nodes.values():
                self.after(scenario.rest[1] - self.now, node.submit)
        self.pass_time(until)

    def pass_time(self, until):
        """Play until a time."""
        while self._events and self._events[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def _submit(self, until):
        """Send a request, and the next ones."""
        scenario = self.scenario
        self.after(self.rng.expovariate(scenario.rate), self._submit, until)
        if scenario.rest[0] <= self.now < scenario.rest[1] or self.now >= until:
            return
        nodes = [node for node in self.nodes.values() if node.is_alive]
        is_busy = self.rng.random() < scenario.busy_share
        node = nodes[0] if is_busy else self.rng.choice(nodes)
        node.submit()

    def count_worst(self, since=0.0):
        """Return the most requests at one endpoint in any window."""
        return max(count_most(times, since) for times in self.arrivals.values())

    def measure_use(self, since=0.0):
        """Return the part of what the limits allow that was used."""
        sent = sum(at >= since for times in self.arrivals.values() for at in times)
        allowed = self.scenario.limit * self.scenario.endpoints * (self.now - since)
        return sent / allowed


def count_most(times, since):
    """Return the most of some times in a window that begins later than a time."""
    times = sorted(at for at in times if at >= since)
    return max(
        (bisect_left(times, at + WINDOW_SECONDS) - i for i, at in enumerate(times)),
        default=0,
    )
