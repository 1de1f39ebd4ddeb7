"""A fleet of guards, endpoints and callers in simulated time, without a network."""

import random
from heapq import heappop, heappush
from itertools import count

from hingesill_core.crashes.gossip import GOSSIP_INTERVAL_SECONDS
from hingesill_core.crashes.guard import CrashGuard, QuarantineStarted

__all__ = ["CrashSimulation"]

SLOTS = 3
WAY_SECONDS = 0.002
# Until an endpoint ends that has begun to run a request which ends it.
CRASH_SECONDS = 0.04
WORK_SECONDS = (0.03, 0.12)
MOST_SENDS = 2
# Of a caller after a failure, as its own retry.
CALLER_PAUSE = 0.05
CALLER_TRIES = 3


class Try:
    """One try of a request at one node."""

    def __init__(self, fingerprint, node, ends, tries=1):
        self.fingerprint = fingerprint
        self.node = node
        self.ends = ends
        self.tries = tries
        self.sends = 0


class CrashSimulation:
    """Plays what happens until a time.

    Parameters
    ----------
    nodes, endpoints : int
        How many.
    seed : int
        Of all that is random.
    loss : float
        Share of the datagrams that are lost.
    back_after : float
        Seconds for which an endpoint stays away.

    Attributes
    ----------
    ended : list of tuple
        Time and fingerprint of each endpoint that ended under a request which ends it.
    sent : list of tuple
        Time and fingerprint of each send of such a request.
    refused : dict
        Tries that were refused by fingerprint.
    holds, long_holds : set
        Fingerprints that any node held back, and for long.
    tries : int
        Of requests that end nothing.
    """

    def __init__(self, nodes, endpoints, seed, loss=0.0, back_after=4.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.back_after = back_after
        self.now = 0.0
        self.guards = []
        for number in range(nodes):
            self.guards.append(self._build_guard(number))
        self.running = {f"i{number}": [] for number in range(endpoints)}
        self.ended = []
        self.sent = []
        self.refused = {}
        self.holds = set()
        self.long_holds = set()
        self.datagrams = 0
        self.tries = 0
        self.sides = {}
        self._in_round = set()
        self._numbers = count()
        self._events = []

    def _build_guard(self, number):
        guard = CrashGuard(random.Random(self.rng.random()), self._observe)
        guard.nodes = len(self.guards) or 1
        return guard

    def _observe(self, change):
        if isinstance(change, QuarantineStarted):
            self.holds.add(change.fingerprint)
            if change.request.times:
                self.long_holds.add(change.fingerprint)

    def at(self, when, action, *arguments):
        """Have something happen."""
        heappush(self._events, (when, next(self._numbers), action, arguments))

    def run(self, until):
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)

    def restart(self, number):
        """Start a node anew; it asks another one what is known."""
        guard = self.guards[number] = self._build_guard(number)
        other = self.rng.choice([g for g in self.guards if g is not guard])
        for told in other.list_items(self.now):
            guard.apply_item(told, self.now)

    def cut(self, half):
        """Cut the nodes before a number from all others; 0 ends it."""
        self.sides = {number: number < half for number in range(len(self.guards))}

    def repeat(self, fingerprint, begin, pause, until):
        """Have a request that ends its endpoints come again and again, anywhere."""
        when = begin
        while when < until:
            self.at(when, self.begin, fingerprint, True)
            when += pause * self.rng.uniform(0.7, 1.3)

    def load(self, per_second, until, names=None):
        """Have requests come that end nothing; some come again and again."""
        when = 0.0
        while when < until:
            when += self.rng.expovariate(per_second)
            name = f"a-{next(self._numbers)}"
            if names and self.rng.random() < 0.3:
                name = self.rng.choice(names)
            self.at(when, self.begin, name, False)

    def end_endpoints(self, when, amount, gap):
        """Have endpoints end one after the other, whatever they run."""
        for number, name in enumerate(self.rng.sample(sorted(self.running), amount)):
            self.at(when + number * gap, self.end_endpoint, name)

    def begin(self, fingerprint, ends, tries=1):
        """Have a try come to any node."""
        self.tries += not ends
        number = self.rng.randrange(len(self.guards))
        self.send(Try(fingerprint, number, ends, tries))

    def send(self, attempt):
        """Send a try to an endpoint with a free slot, unless it is held back."""
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
        if attempt.ends:
            self.sent.append((self.now, attempt.fingerprint))
            self.at(self.now + CRASH_SECONDS, self.crash, name, attempt)
        else:
            seconds = self.rng.uniform(*WORK_SECONDS)
            self.at(self.now + seconds, self.answer, name, attempt)

    def answer(self, name, attempt):
        """Answer a try, if the endpoint still runs it."""
        running = self.running[name]
        if running is not None and attempt in running:
            running.remove(attempt)
            self.guards[attempt.node].record_answer((attempt.fingerprint,), self.now)
            self._begin_rounds(attempt.node)

    def crash(self, name, attempt):
        """End an endpoint under a try, if it still runs it."""
        running = self.running[name]
        if running is not None and attempt in running:
            self.ended.append((self.now, attempt.fingerprint))
            self.end_endpoint(name)

    def end_endpoint(self, name):
        """End an endpoint with all that it runs; it is back later."""
        running = self.running[name]
        if running is None:
            return
        self.running[name] = None
        self.at(self.now + self.back_after, self.running.__setitem__, name, [])
        for attempt in running:
            self.lose(name, attempt)

    def lose(self, name, attempt):
        """Take the loss of a try at its node: find out, and send again or give up."""
        guard = self.guards[attempt.node]
        may_send = guard.may_send_again((attempt.fingerprint,), self.now, 1)
        guard.record_crash((attempt.fingerprint,), name, self.now)
        self._begin_rounds(attempt.node)
        if may_send and attempt.sends < MOST_SENDS:
            self.at(self.now + WAY_SECONDS, self.send, attempt)
        elif attempt.tries < CALLER_TRIES and not attempt.ends:
            again = (attempt.fingerprint, False, attempt.tries + 1)
            self.at(self.now + CALLER_PAUSE, self.begin, *again)

    def _begin_rounds(self, number):
        guard = self.guards[number]
        guard.nodes = len(self.guards)
        if guard.gossip and number not in self._in_round:
            self._in_round.add(number)
            pause = GOSSIP_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2)
            self.at(self.now + pause, self._play_round, number)

    def _play_round(self, number):
        self._in_round.discard(number)
        others = [n for n in range(len(self.guards)) if n != number]
        chosen, told = self.guards[number].start_round(others, self.now)
        for other in chosen if told else ():
            self.datagrams += 1
            is_cut = self.sides.get(other) != self.sides.get(number)
            if not is_cut and self.rng.random() >= self.loss:
                self.at(self.now + WAY_SECONDS, self._hear, other, told)
        self._begin_rounds(number)

    def _hear(self, number, told):
        for piece in told:
            self.guards[number].apply_item(piece, self.now)
        self._begin_rounds(number)

    def count_later(self, fingerprint, grace=3.0):
        """Return the sends later than a time after the third end."""
        ends = [at for at, name in self.ended if name == fingerprint]
        if len(ends) < 3:
            return 0
        return sum(a > ends[2] + grace for a, n in self.sent if n == fingerprint)
