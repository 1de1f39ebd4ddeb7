"""Tests of the selection of relays."""

import random
import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.discovery.relays import (
    MAX_BACKOFF_SECONDS,
    NODES_PER_RELAY,
    RelayChoice,
    list_relays,
)


def build_node(name, data_centre="a", strength=1.0):
    return NodeRecord(name, f"{name}:1", data_centre, strength)


class RelayListTests(unittest.TestCase):
    def test_the_strongest_node_of_each_data_centre(self):
        nodes = [
            build_node("n1"),
            build_node("n2", strength=2.0),
            build_node("n3", "b"),
            build_node("n4", "b"),
        ]
        names = [relay.name for relay in list_relays(nodes)]
        self.assertEqual(names, ["n2", "n3"])

    def test_large_data_centres_have_more_relays(self):
        nodes = [build_node(f"n{number:04}") for number in range(2 * NODES_PER_RELAY)]
        self.assertEqual(len(list_relays(nodes)), 3)

    def test_all_nodes_compute_the_same_relays(self):
        nodes = [build_node(f"n{number}", "ab"[number % 2]) for number in range(9)]
        shuffled = random.Random(1).sample(nodes, len(nodes))
        self.assertEqual(list_relays(nodes), list_relays(shuffled))
        self.assertEqual(list_relays(nodes), list_relays(nodes[1:] + nodes[:1]))


class RelayChoiceTests(unittest.TestCase):
    def setUp(self):
        nodes = [
            build_node("relay-a", strength=2.0),
            build_node("relay-b", "b", 2.0),
            build_node("own"),
        ]
        self.nodes = {node.name: node for node in nodes}
        self.choice = RelayChoice(self.nodes["own"], random.Random(1))

    def test_relays_in_the_own_data_centre_are_preferred(self):
        chosen = {self.choice.choose(self.nodes, 0.0).name for _ in range(9)}
        self.assertEqual(chosen, {"relay-a"})

    def test_a_relay_follows_no_relay(self):
        choice = RelayChoice(self.nodes["relay-a"], random.Random(1))
        self.assertIsNone(choice.choose(self.nodes, 0.0))
        self.assertTrue(choice.is_relay(self.nodes))

    def test_a_failed_relay_is_skipped_until_its_back_off_ends(self):
        self.choice.record_failure(self.nodes["relay-a"], 5.0)
        self.assertEqual(self.choice.choose(self.nodes, 5.1).name, "relay-b")
        later = 5.0 + MAX_BACKOFF_SECONDS
        self.assertEqual(self.choice.choose(self.nodes, later).name, "relay-a")

    def test_changed_nodes_change_the_relays(self):
        self.choice.choose(self.nodes, 0.0)
        nodes = {**self.nodes, "strong": build_node("strong", strength=3.0)}
        self.assertEqual(self.choice.choose(nodes, 0.0).name, "strong")

    def test_no_relay_is_chosen_while_all_back_off(self):
        for relay in (self.nodes["relay-a"], self.nodes["relay-b"]):
            self.choice.record_failure(relay, 5.0)
        self.assertIsNone(self.choice.choose(self.nodes, 5.1))

    def test_back_off_grows_with_consecutive_failures(self):
        for _ in range(9):
            self.choice.record_failure(self.nodes["relay-a"], 5.0)
        almost = 5.0 + MAX_BACKOFF_SECONDS - 0.01
        self.assertEqual(self.choice.choose(self.nodes, almost).name, "relay-b")
        self.choice.record_success(self.nodes["relay-a"])
        self.choice.record_failure(self.nodes["relay-a"], 6.0)
        self.assertEqual(self.choice.choose(self.nodes, 6.5).name, "relay-a")
