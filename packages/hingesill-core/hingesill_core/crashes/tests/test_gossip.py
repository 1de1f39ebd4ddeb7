"""Tests of gossip rounds."""

import random
import unittest

from hingesill_core.crashes.gossip import MAX_GOSSIP_ITEMS, MAX_PENDING_ITEMS, Gossip


def simulate_gossip(nodes, loss, seed):
    """Send an item to all nodes; return nodes that missed it, rounds and datagrams."""
    rng = random.Random(seed)
    fleet = [Gossip(rng) for _ in range(nodes)]
    fleet[0].add("item", nodes)
    known = {0}
    rounds = datagrams = last = 0
    while any(fleet):
        rounds += 1
        received = []
        for gossip in fleet:
            if gossip:
                peers, _ = gossip.start_round(range(nodes))
                datagrams += len(peers)
                received.extend(peer for peer in peers if rng.random() >= loss)
        for peer in set(received) - known:
            known.add(peer)
            fleet[peer].add("item", nodes)
            last = rounds
    return nodes - len(known), last, datagrams / nodes


class DisseminationTests(unittest.TestCase):
    def test_item_reaches_all_nodes_in_time(self):
        """Takes at most 20 rounds, which are 2 s, and 28 datagrams per node."""
        for nodes, loss, seeds in ((2, 0.0, 20), (13, 0.3, 20), (1100, 0.3, 2)):
            for seed in range(seeds):
                with self.subTest(nodes=nodes, loss=loss, seed=seed):
                    missed, rounds, datagrams = simulate_gossip(nodes, loss, seed)
                    self.assertEqual(missed, 0)
                    self.assertLessEqual(rounds, 20)
                    self.assertLessEqual(datagrams, 28)


class LimitTests(unittest.TestCase):
    def test_highest_priority_is_sent_first(self):
        gossip = Gossip(random.Random(1))
        for number in range(2 * MAX_PENDING_ITEMS):
            gossip.add(f"single {number}", 13, priority=1)
        gossip.add("third", 13, priority=3)
        _, items = gossip.start_round(["a", "b", "c"])
        self.assertEqual(items[0], "third")
        self.assertEqual(len(items), MAX_GOSSIP_ITEMS)
        self.assertLessEqual(len(gossip), MAX_PENDING_ITEMS)

    def test_single_node_has_no_peers(self):
        gossip = Gossip(random.Random(1))
        gossip.add("item", 1)
        self.assertEqual(gossip.start_round([])[0], [])
