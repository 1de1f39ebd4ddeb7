"""Tests of spreading news."""

import random
import unittest

from hingesill_core.crashes.gossip import MAX_GOSSIP_ITEMS, MOST_WAITING, Gossip


def spread(nodes, loss, seed):
    """Spread a piece of news; return nodes that missed it, rounds and datagrams."""
    rng = random.Random(seed)
    fleet = [Gossip(rng) for _ in range(nodes)]
    fleet[0].add("news", nodes)
    known = {0}
    rounds = datagrams = last = 0
    while any(fleet):
        rounds += 1
        told = []
        for gossip in fleet:
            if gossip:
                peers, _ = gossip.start_round(range(nodes))
                datagrams += len(peers)
                told.extend(peer for peer in peers if rng.random() >= loss)
        for peer in set(told) - known:
            known.add(peer)
            fleet[peer].add("news", nodes)
            last = rounds
    return nodes - len(known), last, datagrams / nodes


class SpreadTests(unittest.TestCase):
    def test_all_nodes_hear_in_time(self):
        """Within 20 rounds, which are 2 s; a node sends 28 datagrams at most."""
        for nodes, loss, seeds in ((2, 0.0, 20), (13, 0.3, 20), (1100, 0.3, 2)):
            for seed in range(seeds):
                with self.subTest(nodes=nodes, loss=loss, seed=seed):
                    missed, rounds, datagrams = spread(nodes, loss, seed)
                    self.assertEqual(missed, 0)
                    self.assertLessEqual(rounds, 20)
                    self.assertLessEqual(datagrams, 28)


class BoundTests(unittest.TestCase):
    def test_what_matters_most_goes_first(self):
        gossip = Gossip(random.Random(1))
        for number in range(2 * MOST_WAITING):
            gossip.add(f"single {number}", 13, rank=1)
        gossip.add("third", 13, rank=3)
        _, news = gossip.start_round(["a", "b", "c"])
        self.assertEqual(news[0], "third")
        self.assertEqual(len(news), MAX_GOSSIP_ITEMS)
        self.assertLessEqual(len(gossip), MOST_WAITING)

    def test_a_node_alone_tells_nobody(self):
        gossip = Gossip(random.Random(1))
        gossip.add("news", 1)
        self.assertEqual(gossip.start_round([])[0], [])
