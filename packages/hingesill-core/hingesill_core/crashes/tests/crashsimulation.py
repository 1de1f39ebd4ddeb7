"""Simulates guards, endpoints and callers of a fleet in virtual time, without network.

Some requests of the simulation crash the endpoint that runs them; they are called
harmful.
"""

import random
from heapq import heappop, heappush
from itertools import count

from hingesill_core.crashes.gossip import GOSSIP_INTERVAL_SECONDS
from hingesill_core.crashes.guard import CrashGuard, QuarantineStarted

__all__ = ["CrashSimulation"]

SLOTS = 3
NETWORK_SECONDS = 0.002
# Time between the start of a harmful request and the crash of its endpoint.
CRASH_SECONDS = 0.04
WORK_SECONDS = (0.03, 0.12)
MAX_SENDS = 2
# Time after a failure until the caller repeats its request.
CALLER_PAUSE_SECONDS = 0.05
CALLER_ATTEMPTS = 3


class Attempt:
    """One attempt of a request at one node."""

    def __init__(self, fingerprint, node, is_harmful, number=1):
        self.fingerprint = fingerprint
        self.node = node
        self.is_harmful = is_harmful
        self.number = number
        self.sends = 0


class CrashSimulation:
    """Discrete-event simulation of a fleet.

    Parameters
    ----------
    nodes, endpoints : int
        Number of nodes and of endpoints.
    seed : int
        Seed of all random choices.
    loss : float
        Share of the datagrams that are lost.
    restart_seconds : float
        Seconds from the crash of an endpoint until it runs again.

    Attributes
    ----------
    crashes : list of tuple
        Time and fingerprint of each crash under a harmful request.
    sent : list of tuple
        Time and fingerprint of each send of a harmful request.
    refused : dict
        Number of refused attempts by fingerprint.
    quarantined, confirmed : set
        Fingerprints that any node has quarantined, and with a confirmed quarantine.
    attempts : int
        Number of attempts of harmless requests.
    """

    def __init__(self, nodes, endpoints, seed, loss=0.0, restart_seconds=4.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.restart_seconds = restart_seconds
        self.now = 0.0
        self.guards = []
        for number in range(nodes):
            self.guards.append(self._build_guard(number))
        self.running = {f"i{number}": [] for number in range(endpoints)}
        self.crashes = []
        self.sent = []
        self.refused = {}
        self.quarantined = set()
        self.confirmed = set()
        self.datagrams = 0
        self.attempts = 0
        self.partitions = {}
        self._in_round = set()
        self._numbers = count()
        self._events = []

    def _build_guard(self, number):
        guard = CrashGuard(random.Random(self.rng.random()), self._observe)
        guard.nodes = len(self.guards) or 1
        return guard

    def _observe(self, change):
        if isinstance(change, QuarantineStarted):
            self.quarantined.add(change.fingerprint)
            if change.request.times:
                self.confirmed.add(change.fingerprint)

    def schedule(self, when, action, *arguments):
        """Schedule a call."""
        heappush(self._events, (when, next(self._numbers), action, arguments))

    def run(self, until):
        """Run all events until a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)

    def restart(self, number):
        """Restart a node; it requests all gossip items from another one."""
        guard = self.guards[number] = self._build_guard(number)
        other = self.rng.choice([g for g in self.guards if g is not guard])
        for item in other.list_items(self.now):
            guard.apply_item(item, self.now)

    def partition(self, half):
        """Separate the nodes below a number from all others; 0 ends the partition."""
        self.partitions = {number: number < half for number in range(len(self.guards))}

    def repeat_harmful(self, fingerprint, begin, pause, until):
        """Schedule a harmful request repeatedly, at random nodes."""
        when = begin
        while when < until:
            self.schedule(when, self.begin, fingerprint, True)
            when += pause * self.rng.uniform(0.7, 1.3)

    def add_load(self, per_second, until, names=None):
        """Schedule harmless requests; those with one of the names are repeated."""
        when = 0.0
        while when < until:
            when += self.rng.expovariate(per_second)
            name = f"a-{next(self._numbers)}"
            if names and self.rng.random() < 0.3:
                name = self.rng.choice(names)
            self.schedule(when, self.begin, name, False)

    def crash_endpoints(self, when, amount, gap):
        """Schedule crashes of endpoints, one after the other, whatever they run."""
        for number, name in enumerate(self.rng.sample(sorted(self.running), amount)):
            self.schedule(when + number * gap, self.crash_endpoint, name)

    def begin(self, fingerprint, is_harmful, number=1):
        """Start an attempt at a random node."""
        self.attempts += not is_harmful
        node = self.rng.randrange(len(self.guards))
        self.send(Attempt(fingerprint, node, is_harmful, number))

    def send(self, attempt):
        """Send an attempt to an endpoint with a free slot, unless it is quarantined."""
        guard = self.guards[attempt.node]
        if guard.find_quarantine((attempt.fingerprint,), self.now) is not None:
            refused = self.refused.get(attempt.fingerprint, 0)
            self.refused[attempt.fingerprint] = refused + 1
            return
        free = [n for n, r in self.running.items() if r is not None and len(r) < SLOTS]
        if not free:
            return
        name = self.rng.choice(sorted(free))
        attempt.sends += 1
        self.running[name].append(attempt)
        if attempt.is_harmful:
            self.sent.append((self.now, attempt.fingerprint))
            self.schedule(self.now + CRASH_SECONDS, self.crash, name, attempt)
        else:
            seconds = self.rng.uniform(*WORK_SECONDS)
            self.schedule(self.now + seconds, self.answer, name, attempt)

    def answer(self, name, attempt):
        """Answer an attempt, if the endpoint still runs it."""
        running = self.running[name]
        if running is not None and attempt in running:
            running.remove(attempt)
            self.guards[attempt.node].record_answer((attempt.fingerprint,), self.now)
            self._schedule_round(attempt.node)

    def crash(self, name, attempt):
        """Crash an endpoint under an attempt, if it still runs it."""
        running = self.running[name]
        if running is not None and attempt in running:
            self.crashes.append((self.now, attempt.fingerprint))
            self.crash_endpoint(name)

    def crash_endpoint(self, name):
        """Crash an endpoint with all its requests and schedule its restart."""
        running = self.running[name]
        if running is None:
            return
        self.running[name] = None
        self.schedule(
            self.now + self.restart_seconds, self.running.__setitem__, name, []
        )
        for attempt in running:
            self.handle_lost(name, attempt)

    def handle_lost(self, name, attempt):
        """Record the crash at the attempt's node, and send it again or give up."""
        guard = self.guards[attempt.node]
        may_send = guard.may_send_again((attempt.fingerprint,), self.now, 1)
        guard.record_crash((attempt.fingerprint,), name, self.now)
        self._schedule_round(attempt.node)
        if may_send and attempt.sends < MAX_SENDS:
            self.schedule(self.now + NETWORK_SECONDS, self.send, attempt)
        elif attempt.number < CALLER_ATTEMPTS and not attempt.is_harmful:
            again = (attempt.fingerprint, False, attempt.number + 1)
            self.schedule(self.now + CALLER_PAUSE_SECONDS, self.begin, *again)

    def _schedule_round(self, number):
        guard = self.guards[number]
        guard.nodes = len(self.guards)
        if guard.gossip and number not in self._in_round:
            self._in_round.add(number)
            pause = GOSSIP_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2)
            self.schedule(self.now + pause, self._run_round, number)

    def _run_round(self, number):
        self._in_round.discard(number)
        others = [n for n in range(len(self.guards)) if n != number]
        chosen, items = self.guards[number].start_round(others, self.now)
        for other in chosen if items else ():
            self.datagrams += 1
            is_cut = self.partitions.get(other) != self.partitions.get(number)
            if not is_cut and self.rng.random() >= self.loss:
                self.schedule(self.now + NETWORK_SECONDS, self._receive, other, items)
        self._schedule_round(number)

    def _receive(self, number, items):
        for item in items:
            self.guards[number].apply_item(item, self.now)
        self._schedule_round(number)

    def count_sends_after_crashes(self, fingerprint, grace=3.0):
        """Return the number of sends after the third crash and a grace period."""
        crashes = [at for at, name in self.crashes if name == fingerprint]
        if len(crashes) < 3:
            return 0
        return sum(a > crashes[2] + grace for a, n in self.sent if n == fingerprint)
