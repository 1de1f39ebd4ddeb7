"""Simulation of nodes that keep quotas, in virtual time."""

import heapq
import random
from bisect import bisect_left
from itertools import count

from hingesill_core.organisations.organisation import Organisation
from hingesill_core.quotas.decision import QuotaStatus, QuotaTolerance
from hingesill_core.quotas.fleet import FleetQuotas
from hingesill_core.quotas.tokenbucket import TokenBucket

__all__ = ["NAME", "QuotaSimulation", "compute_bound"]

NAME = "acme"
WINDOW_SECONDS = 5.0
TRANSIT_SECONDS = 0.001
ROUND_SECONDS = 0.1
RESUME_SECONDS = 0.005
# Interval at which nodes that get datagrams refresh their lists of nodes.
REFRESH_SECONDS = 0.5


class SimulatedNode:
    """A node: its quotas, and the requests that wait at it."""

    def __init__(self, simulation, address):
        self.simulation = simulation
        self.address = address
        self.is_alive = True
        self.refreshed_at = simulation.now
        self.waiting = []
        self.quotas = FleetQuotas(random.Random(simulation.rng.random()))
        self.quotas.send = lambda to, message: simulation.transmit(self, to, message)
        simulation.after(ROUND_SECONDS * simulation.rng.random(), self.run_round)

    def submit(self):
        """Submit a request; record what the organisation's bucket would do."""
        simulation = self.simulation
        if not self.is_alive:
            return
        # One request needs a whole token, also without a burst.
        capacity = max(1.0, simulation.burst)
        simulation.reference.fill(simulation.rate, capacity, simulation.now)
        is_inside = simulation.reference.take(1)
        simulation.inside.append((simulation.now, is_inside))
        decision = self.quotas.acquire(NAME, simulation.now)
        if decision.status == QuotaStatus.WAITING:
            self.waiting.append(simulation.now)
            simulation.after(RESUME_SECONDS, self.resume)
        else:
            simulation.record(decision, simulation.now)

    def refresh_nodes(self):
        """Refresh an old list of nodes, as a node does that gets a datagram."""
        simulation = self.simulation
        if simulation.now - self.refreshed_at > REFRESH_SECONDS:
            self.refreshed_at = simulation.now
            registered = simulation.registered
            self.quotas.set_nodes(self.address, registered, simulation.now)

    def resume(self):
        """Decide on waiting requests."""
        if not self.is_alive:
            return
        for decision in self.quotas.resume(NAME, self.simulation.now):
            self.simulation.record(decision, self.waiting.pop(0))
        if self.waiting:
            self.simulation.after(RESUME_SECONDS, self.resume)

    def run_round(self):
        """Run rounds as a node does."""
        simulation = self.simulation
        if simulation.nodes.get(self.address) is not self:
            return
        if self.is_alive:
            self.quotas.run_round(simulation.now)
        is_idle = self.quotas.is_idle(simulation.now)
        simulation.after(1.0 if is_idle else ROUND_SECONDS, self.run_round)


class QuotaSimulation:
    """A fleet that keeps the quota of one organisation.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    rate, burst : float
        Quota.
    loss : float
        Share of the datagrams that are lost.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    arrivals, refusals : list
        Times of admitted requests, and the seconds that refused requests waited.
    waits : list
        Seconds that admitted requests waited.
    inside : list
        (time, whether a token bucket of the whole fleet admits it) of all requests.
    transit_seconds : float
        Mean time of a datagram on its way.
    registered : list of tuple or None
        What a refreshed list of nodes contains; None if lists are set by `set_nodes`.
    can_reach : callable
        Returns whether a datagram from one address reaches another one.
    """

    def __init__(self, nodes, rate, burst, loss=0.0, seed=1):
        self.rng = random.Random(seed)
        self.rate, self.burst, self.loss = rate, burst, loss
        self.now = 0.0
        self.arrivals, self.refusals, self.waits = [], [], []
        self.inside = []
        self.reference = TokenBucket(burst, 0.0)
        self.datagrams = 0
        self.transit_seconds = TRANSIT_SECONDS
        self.registered = None
        self.can_reach = lambda sender, receiver: True
        self._events = []
        self._order = count()
        self.nodes = {}
        self.addresses = [(f"10.0.{n // 250}.{n % 250}", 80) for n in range(nodes)]
        for address in self.addresses:
            self.start_node(address)

    def start_node(self, address, nodes=None):
        """Start a node at an address, in place of an earlier one.

        Parameters
        ----------
        address : tuple
            IP number and port.
        nodes : list of tuple, optional
            The node's list of nodes; all nodes by default.
        """
        if address in self.nodes:
            self.nodes[address].is_alive = False
        node = self.nodes[address] = SimulatedNode(self, address)
        node.quotas.set_nodes(address, nodes or self.addresses, self.now)
        self.configure([node])
        return node

    def configure(self, nodes=None):
        """Apply the present rate and burst at nodes."""
        organisation = Organisation(NAME, rate=self.rate, burst=self.burst)
        for node in nodes or self.nodes.values():
            node.quotas.configure({NAME: organisation}, self.now)

    def set_nodes(self, addresses, among=None):
        """Set the node list of all nodes, or of some of them."""
        for address in among or list(self.nodes):
            self.nodes[address].quotas.set_nodes(address, addresses, self.now)

    def find_coordinator(self):
        """Return the coordinator according to the first living node."""
        node = next(node for node in self.nodes.values() if node.is_alive)
        return self.nodes[node.quotas._get_placement(NAME).coordinator]

    def after(self, seconds, call, *arguments):
        """Schedule a call."""
        item = (self.now + seconds, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def transmit(self, sender, to, message):
        """Send a datagram, which may be lost."""
        self.datagrams += 1
        is_lost = self.rng.random() < self.loss
        if is_lost or not self.can_reach(sender.address, to):
            return
        delay = self.transit_seconds * self.rng.uniform(0.5, 1.5)
        self.after(delay, self._deliver, sender.address, to, message)

    def _deliver(self, sender, to, message):
        node = self.nodes.get(to)
        if node is not None and node.is_alive:
            if self.registered is not None:
                node.refresh_nodes()
            if node.quotas.handle_message(message, sender, self.now):
                node.resume()

    def record(self, decision, since):
        """Record the decision on a request that arrived at a time."""
        if decision.status == QuotaStatus.ADMITTED:
            self.arrivals.append(self.now)
            self.waits.append(self.now - since)
        else:
            self.refusals.append(self.now - since)

    def load(self, rate, seconds, choose=None):
        """Submit requests at random times, to random or chosen nodes, and run."""
        until = self.now + seconds
        if rate:
            self.after(self.rng.expovariate(rate), self._submit, rate, until, choose)
        self.run_until(until)

    def _submit(self, rate, until, choose):
        if self.now >= until:
            return
        self.after(self.rng.expovariate(rate), self._submit, rate, until, choose)
        address = choose() if choose else self.rng.choice(self.addresses)
        self.nodes[address].submit()

    def submit_burst(self, requests, choose=None):
        """Submit requests in one moment."""
        for _ in range(requests):
            address = choose() if choose else self.rng.choice(self.addresses)
            self.nodes[address].submit()

    def run_until(self, until):
        """Run all events before a time."""
        while self._events and self._events[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def find_max_window_count(self, since=0.0):
        """Return the largest number of arrivals in any window."""
        times = [at for at in self.arrivals if at >= since]
        ends = (bisect_left(times, at + WINDOW_SECONDS) for at in times)
        return max((end - i for i, end in enumerate(ends)), default=0)

    def measure_admitted(self, since=0.0, until=float("inf")):
        """Return the arrivals per request that a bucket of the fleet admits."""
        admitted = sum(since <= at < until for at in self.arrivals)
        inside = sum(yes for at, yes in self.inside if since <= at < until)
        return admitted / max(1, inside)


def compute_bound(rate, burst, tolerance=QuotaTolerance()):
    """Return the arrivals that are allowed in a window."""
    quota = tolerance.window_seconds * rate + burst
    return (1 + tolerance.overshoot) * quota + tolerance.slack
