"""Compare ways to serve callers of nodes that reach no endpoint, in virtual time.

``python -m hingesill_core.forwarding.tests.alternatives`` prints the shares of first
tries that are served, and served in time, at cut nodes from 0.5 s on and at the others.
"""

import heapq
import random
from collections import Counter, deque
from itertools import count, product

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.forwarding.peers import PeerTable

__all__ = ["CUTS", "Play", "WAYS"]

# Ways to serve them: whether nodes call themselves not ready and close connections
# after an answer, and whether they forward requests.
WAYS = {"none": (False, False), "leave": (True, False)}
WAYS |= {"forward": (False, True), "both": (True, True)}
DATA_CENTRES = 4
RATE_PER_NODE, WORK_SECONDS = 10.0, 0.1
TARGET_SECONDS, PATIENCE_SECONDS = 0.3, 0.4
BELIEF_SECONDS, HOP_SECONDS = 0.08, 0.003
# The balancer takes a node out after two polls without success.
POLL_SECONDS = 1.0
CUT_AT, MEASURED_AT, END_AT = 2.0, 2.5, 8.0
# Share of callers that keep their connection.
KEPT_SHARE = 0.5
CUTS = {
    "one": lambda index, nodes: index == 0,
    "half": lambda index, nodes: index % 2,
    "most of a data centre": lambda index, nodes: not index % DATA_CENTRES
    and index >= DATA_CENTRES,
    "a data centre": lambda index, nodes: not index % DATA_CENTRES,
    "all but one": lambda index, nodes: index != 1,
}


class Play:
    """One fleet under load, of which some nodes are cut.

    Parameters
    ----------
    nodes : int
        Number of nodes. Endpoints have one slot for each.
    cut : callable
        Returns whether a node is cut, given its index and the number of nodes.
    way : str
        One of `WAYS`.
    load : float
        Requests per second relative to the capacity of the endpoints.
    """

    def __init__(self, nodes, cut, way, load, seed=1):
        self.rng = random.Random(seed)
        self.leaves, self.forwards = WAYS[way]
        self.nodes = nodes
        self.is_cut = [bool(cut(index, nodes)) for index in range(nodes)]
        self.rate = load * nodes * RATE_PER_NODE
        names = {str(i): i % DATA_CENTRES for i in range(nodes)}
        records = {
            name: NodeRecord(name, "10.0.0.1:1", str(data_centre), forward_port=2)
            for name, data_centre in names.items()
        }
        self.tables = [
            PeerTable(name, str(data_centre), lambda: records, self.rng)
            for name, data_centre in names.items()
        ]
        self.out_at = [float("inf")] * nodes
        self.kept = [self.rng.randrange(nodes) for _ in range(8 * nodes)]
        self.free, self.queue = nodes, deque()
        self.results = {True: Counter(), False: Counter()}
        self._events, self._order = [], count()

    def run(self):
        """Return (served, in time) of cut and of other nodes; None without tries."""
        now = 0.0
        while now < END_AT:
            now += self.rng.expovariate(self.rate)
            self._run_until(now)
            self._arrive(now)
        self._run_until(float("inf"))
        return [self._measure(self.results[is_cut]) for is_cut in (True, False)]

    def _run_until(self, until):
        while self._events and self._events[0][0] <= until:
            at, _, call = heapq.heappop(self._events)
            call(at)

    def _measure(self, result):
        tries = result["tries"]
        if not tries:
            return None
        return result["served"] / tries, result["in time"] / tries

    def _arrive(self, now):
        """Let a caller send its first try on a kept or a new connection."""
        caller = None
        node = self._balance(now)
        if self.rng.random() < KEPT_SHARE:
            caller = self.rng.randrange(len(self.kept))
            node = self.kept[caller]
        is_cut = self.is_cut[node] and now >= CUT_AT
        is_counted = now >= MEASURED_AT
        result = self.results[self.is_cut[node]] if is_counted else Counter()
        result["tries"] += 1
        if not is_cut:
            self._serve(now, now, result, lambda at: None)
            return
        is_believed = now >= CUT_AT + BELIEF_SECONDS
        if self.leaves and is_believed:
            if self.out_at[node] == float("inf"):
                self.out_at[node] = now + POLL_SECONDS * (1 + self.rng.random())
            if caller is not None:
                self.kept[caller] = self._balance(now)
        if self.forwards:
            self._forward(max(now, CUT_AT + BELIEF_SECONDS), now, node, result)

    def _balance(self, now):
        """Return the node that gets a new connection, as the balancer chooses it."""
        data_centre = self.rng.randrange(min(DATA_CENTRES, self.nodes))
        nodes = range(data_centre, self.nodes, DATA_CENTRES)
        ready = [node for node in nodes if self.out_at[node] > now]
        return self.rng.choice(ready if 2 * len(ready) >= len(nodes) else nodes)

    def _forward(self, now, began, node, result):
        table, tried = self.tables[node], set()
        while (other := table.choose("s", tried, now)) is not None:
            tried.add(other.name)
            now += HOP_SECONDS
            if self.is_cut[int(other.name)]:
                known = self.tables[int(other.name)].list_known("s", now)
                table.record_unreachable(other, "s", now)
                table.record_named(known, "s", now)
                continue
            table.begin(other, now)

            def end(at, other=other):
                table.record_heard(other, at)
                table.end(other)

            table.record_served(other, "s", now)
            self._serve(now, began, result, end)
            return

    def _serve(self, now, began, result, end):
        """Serve a request by the next free slot, unless that is too late."""
        self.queue.append((began, result, end))
        self._start(now)

    def _start(self, now):
        while self.free and self.queue:
            began, result, end = self.queue.popleft()
            if now - began > PATIENCE_SECONDS:
                end(now)
                continue
            self.free -= 1

            def finish(at, began=began, result=result, end=end):
                result["served"] += 1
                result["in time"] += at - began <= TARGET_SECONDS
                self.free += 1
                end(at)
                self._start(at)

            item = (now + WORK_SECONDS, next(self._order), finish)
            heapq.heappush(self._events, item)


def main():
    """Print a row for each size, cut, load and way."""
    print("nodes; cut; load; way; served, in time at cut nodes; at the others")
    for nodes, cut, load, way in product((18, 96), CUTS, (0.3, 0.8, 1.0, 1.3), WAYS):
        shares = Play(nodes, CUTS[cut], way, load).run()
        texts = ["-" if pair is None else "%.3f %.3f" % pair for pair in shares]
        print(nodes, cut, load, way, *texts, sep="; ", flush=True)


if __name__ == "__main__":
    main()
