"""Simulation of nodes that enforce endpoints' limits, in virtual time."""

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
TRANSIT_SECONDS = 0.002
ROUND_SECONDS = 0.015
GOSSIP_INTERVAL_SECONDS = 0.5
# Time that nodes run before the simulation, which completes the queries of their start.
WARM_UP_SECONDS = 2.0
# Time for which a request waits for a grant.
REQUEST_TIMEOUT_SECONDS = 0.2


class Scenario(Struct, frozen=True):
    """Parameters of a simulation.

    Parameters
    ----------
    nodes, endpoints : int
        Number of nodes and of endpoints; all endpoints are limited.
    limit : float
        Limit of each endpoint in requests a second.
    rate : float
        Requests a second to all nodes together.
    first_node_share : float
        Share of the requests that always come to the first node; the rest is spread
        evenly.
    loss : float
        Share of the datagrams that are lost.
    seconds : float
        Duration of the simulation.
    random_admission_only : bool
        Nodes exchange no messages; each admits its share at random.
    pause : tuple of float
        Interval without requests, after which each node gets one at the same time.
    """

    nodes: int
    limit: float
    rate: float
    endpoints: int = 10
    first_node_share: float = 0.0
    loss: float = 0.0
    seconds: float = 20.0
    random_admission_only: bool = False
    pause: tuple = (0.0, 0.0)


class SimulatedNode:
    """A node with its limits and its waiting requests."""

    def __init__(self, simulation, address):
        self.simulation = simulation
        self.address = address
        self.fleet = FleetLimits(random.Random(simulation.rng.random()))
        self.limits = self.fleet.get(SERVICE)
        self.limits.is_in_health = True
        self.limits.grant_client.nodes = simulation.scenario.nodes
        self.waiting = []
        self.is_alive = True
        self.is_round_scheduled = False
        self.refusal_delays = []

    def receive_report(self, endpoint, limit, now):
        """Receive an endpoint's own response."""
        self.limits.record(endpoint, 0, ParsedLimit(limit), now, now)

    def submit(self):
        """Submit a request to the node."""
        now = self.simulation.now
        self.limits.grant_client.record_request(now)
        self.waiting.append(now)
        self.run_round()

    def run_round(self):
        """Send, request grants for, and refuse waiting requests."""
        now = self.simulation.now
        patience = max(
            (REQUEST_TIMEOUT_SECONDS + at - now for at in self.waiting), default=0
        )
        self.limits.grant_client.request_grants(len(self.waiting), patience, now)
        for endpoint in list(self.limits.limited):
            while self.waiting and self.limits.grant_client.grants.find(endpoint, now):
                self.limits.consume_grant(endpoint, now)
                self.waiting.pop(0)
                self.simulation.record_send(endpoint)
        deadlines = [at + REQUEST_TIMEOUT_SECONDS for at in self.waiting]
        surplus = set(self.limits.grant_client.list_surplus(deadlines, now))
        surplus |= {i for i, until in enumerate(deadlines) if until < now}
        self.refusal_delays += [now - self.waiting[i] for i in surplus]
        self.waiting = [at for i, at in enumerate(self.waiting) if i not in surplus]
        if self.waiting and not self.is_round_scheduled:
            self.is_round_scheduled = True
            self.simulation.after(ROUND_SECONDS, self._run_scheduled_round)

    def _run_scheduled_round(self):
        self.is_round_scheduled = False
        if self.is_alive:
            self.run_round()

    def run_gossip_round(self):
        """Run gossip rounds at regular intervals."""
        if self.is_alive:
            self.fleet.run_gossip_round(self.simulation.now)
            self.simulation.after(
                GOSSIP_INTERVAL_SECONDS * self.simulation.rng.uniform(0.8, 1.2),
                self.run_gossip_round,
            )


class LimitSimulation:
    """A simulation of a scenario.

    Parameters
    ----------
    scenario : Scenario
        The parameters.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    arrivals : dict
        Times of the requests at each endpoint.
    datagrams : int
        Number of datagrams that nodes sent.
    """

    def __init__(self, scenario, seed=1):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = -WARM_UP_SECONDS
        self.arrivals = {f"i{n}": [] for n in range(scenario.endpoints)}
        self.datagrams = 0
        self._events = []
        self._order = count()
        addresses = [(f"10.0.{n // 250}.{n % 250}", 80) for n in range(scenario.nodes)]
        self.nodes = {}
        for address in addresses:
            self.start_node(address)
        if not scenario.random_admission_only:
            self.set_nodes(addresses)
        self.run_until(0.0)
        self.datagrams = 0

    def start_node(self, address):
        """Start a node at an address, in place of an earlier one."""
        if address in self.nodes:
            self.nodes[address].is_alive = False
        node = self.nodes[address] = SimulatedNode(self, address)
        node.fleet.send = lambda to, message: self._send(node, to, message)
        self.after(GOSSIP_INTERVAL_SECONDS * self.rng.random(), node.run_gossip_round)
        return node

    def set_nodes(self, addresses, among=None):
        """Set the list of nodes that all nodes, or some of them, know."""
        for address in among or self.nodes:
            self.nodes[address].fleet.set_nodes(address, addresses)

    def after(self, seconds, call, *arguments):
        """Schedule a call after a delay."""
        item = (self.now + seconds, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def _send(self, own, to, message):
        self.datagrams += 1
        if self.rng.random() < self.scenario.loss or not own.is_alive:
            return
        self.after(
            TRANSIT_SECONDS * self.rng.uniform(0.5, 1.5),
            self._deliver,
            own,
            to,
            message,
        )

    def _deliver(self, own, to, message):
        node = self.nodes[to]
        if node.is_alive:
            node.fleet.handle_message(message, own.address, self.now)

    def record_send(self, endpoint):
        """Record a request that reaches an endpoint."""
        self.arrivals[endpoint].append(self.now)

    def report_limit(self, limit, among=None):
        """Report a limit of all endpoints to all nodes, or to some of them."""
        for address in among or self.nodes:
            for endpoint in self.arrivals:
                self.nodes[address].receive_report(endpoint, limit, self.now)

    def run(self, begin=0.0, seconds=None):
        """Simulate requests for a period."""
        scenario = self.scenario
        until = self.now + (seconds or scenario.seconds)
        self.after(0.0, self._submit, until)
        if scenario.pause[1]:
            for node in self.nodes.values():
                self.after(scenario.pause[1] - self.now, node.submit)
        self.run_until(until)

    def run_until(self, until):
        """Run all events before a time."""
        while self._events and self._events[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def _submit(self, until):
        """Submit a request and schedule the next one."""
        scenario = self.scenario
        self.after(self.rng.expovariate(scenario.rate), self._submit, until)
        if scenario.pause[0] <= self.now < scenario.pause[1] or self.now >= until:
            return
        nodes = [node for node in self.nodes.values() if node.is_alive]
        is_at_first = self.rng.random() < scenario.first_node_share
        node = nodes[0] if is_at_first else self.rng.choice(nodes)
        node.submit()

    def find_max_window_count(self, since=0.0):
        """Return the largest number of requests at one endpoint in any window."""
        return max(find_max_count(times, since) for times in self.arrivals.values())

    def measure_utilization(self, since=0.0):
        """Return the used share of the requests that the limits allow."""
        sent = sum(at >= since for times in self.arrivals.values() for at in times)
        allowed = self.scenario.limit * self.scenario.endpoints * (self.now - since)
        return sent / allowed


def find_max_count(times, since):
    """Return the largest number of times in any window after a start."""
    times = sorted(at for at in times if at >= since)
    return max(
        (bisect_left(times, at + WINDOW_SECONDS) - i for i, at in enumerate(times)),
        default=0,
    )
