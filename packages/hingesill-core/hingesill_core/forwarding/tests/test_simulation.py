"""Fleets without a network, in which some nodes reach no endpoint."""

import random
import unittest
from collections import Counter

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.forwarding.peers import PeerTable

DATA_CENTRES = 4
RATE_PER_NODE = 10.0
SECONDS = 5.0
# Seconds for which a carried request is in flight.
WORK_SECONDS = 0.1


class Fleet:
    """Nodes that forward all their requests, and nodes that carry them.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    cut : callable
        Returns by a node's index and data centre whether it reaches no endpoint.
    """

    def __init__(self, nodes, cut):
        self.rng = random.Random(54)
        names = {f"n{i}": i % DATA_CENTRES for i in range(nodes)}
        self.records = {
            name: NodeRecord(name, f"10.0.0.{i}:1", f"a{data_centre}", forward_port=2)
            for i, (name, data_centre) in enumerate(names.items())
        }
        self.cut = [
            n for i, (n, data_centre) in enumerate(names.items()) if cut(i, data_centre)
        ]
        self.tables = {
            name: PeerTable(
                name, self.records[name].data_centre, lambda: self.records, self.rng
            )
            for name in self.cut
        }
        self.carried = Counter()
        self.tries = []
        self.refused = 0
        self.ends = []

    def run(self):
        """Play some seconds of requests at the cut nodes."""
        rate = RATE_PER_NODE * len(self.cut)
        now = 0.0
        while now < SECONDS:
            now += self.rng.expovariate(rate)
            while self.ends and self.ends[0][0] <= now:
                ended_at, table, node = self.ends.pop(0)
                table.record_heard(node, ended_at)
                table.end(node)
            self._forward(self.rng.choice(self.cut), now)

    def _forward(self, name, now):
        table, tried = self.tables[name], set()
        while True:
            node = table.choose("s", tried, now)
            if node is None:
                break
            tried.add(node.name)
            if node.name in self.tables:
                named = self.tables[node.name].list_known("s", now)
                table.record_unreachable(node, "s", now)
                table.record_named(named, "s", now)
                continue
            table.begin(node, now)
            table.record_served(node, "s", now)
            self.ends.append((now + WORK_SECONDS, table, node))
            self.carried[node.name] += 1
            self.tries.append((now, len(tried)))
            return
        self.refused += 1

    def measure(self):
        """Return served share, mean tries after a second, and the most loaded node.

        The latter is the ratio of its load to the mean of all that can carry requests.
        """
        served = len(self.tries)
        late = [tries for at, tries in self.tries if at > 1.0]
        carriers = len(self.records) - len(self.cut)
        mean = sum(self.carried.values()) / max(1, carriers)
        peak = max(self.carried.values(), default=0) / max(1.0, mean)
        tries = sum(late) / max(1, len(late))
        return served / (served + self.refused), tries, peak


def play(nodes, cut):
    """Return what `Fleet.measure` does after a play."""
    fleet = Fleet(nodes, cut)
    fleet.run()
    return fleet.measure()


class SpreadTests(unittest.TestCase):
    def assert_carried(self, cut, max_tries=1.5, max_peak=8.0):
        """Check fleets of several sizes: all is served, by all that can serve."""
        for nodes in (18, 96, 312):
            served, tries, peak = play(nodes, cut)
            self.assertGreater(served, 0.99, nodes)
            self.assertLess(tries, max_tries, nodes)
            self.assertLess(peak, max_peak, nodes)

    def test_one_node(self):
        self.assert_carried(
            lambda i, data_centre: i == 0, max_tries=1.01, max_peak=30.0
        )

    def test_most_of_a_data_centre_does_not_load_the_rest_of_it(self):
        self.assert_carried(
            lambda i, data_centre: data_centre == 0 and i >= DATA_CENTRES
        )

    def test_half_of_the_nodes(self):
        self.assert_carried(lambda i, data_centre: i % 2)

    def test_all_but_one_node(self):
        for nodes, share in ((18, 0.98), (96, 0.95), (312, 0.9)):
            served, _, _ = play(nodes, lambda i, data_centre: i != 5)
            self.assertGreater(served, share, nodes)

    def test_a_fleet_of_one_refuses(self):
        self.assertEqual(play(1, lambda i, data_centre: True)[0], 0.0)

    def test_all_nodes_refuse_without_rings(self):
        for nodes in (18, 96):
            self.assertEqual(play(nodes, lambda i, data_centre: True)[0], 0.0, nodes)
