"""Tests of which nodes watch the store for others."""

import random
import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.discovery.relays import (
    LONGEST_REST,
    NODES_A_RELAY,
    RelayChoice,
    list_relays,
)


def build_node(name, data_centre="a", strength=1.0):
    return NodeRecord(name, f"{name}:1", data_centre, strength)


class RelayListTests(unittest.TestCase):
    def test_the_strongest_of_each_data_centre(self):
        nodes = [
            build_node("n1"),
            build_node("n2", strength=2.0),
            build_node("n3", "b"),
            build_node("n4", "b"),
        ]
        names = [relay.name for relay in list_relays(nodes)]
        self.assertEqual(names, ["n2", "n3"])

    def test_large_data_centres_have_more(self):
        nodes = [build_node(f"n{number:04}") for number in range(2 * NODES_A_RELAY)]
        self.assertEqual(len(list_relays(nodes)), 3)

    def test_all_nodes_work_out_the_same(self):
        nodes = [build_node(f"n{number}", "ab"[number % 2]) for number in range(9)]
        shuffled = random.Random(1).sample(nodes, len(nodes))
        self.assertEqual(list_relays(nodes), sorted(list_relays(shuffled), key=str))


class RelayChoiceTests(unittest.TestCase):
    def setUp(self):
        nodes = [
            build_node("relay-a", strength=2.0),
            build_node("relay-b", "b", 2.0),
            build_node("own"),
        ]
        self.nodes = {node.name: node for node in nodes}
        self.choice = RelayChoice(self.nodes["own"], random.Random(1))

    def test_one_nearby_goes_first(self):
        chosen = {self.choice.choose(self.nodes, 0.0).name for _ in range(9)}
        self.assertEqual(chosen, {"relay-a"})

    def test_a_relay_follows_nobody(self):
        choice = RelayChoice(self.nodes["relay-a"], random.Random(1))
        self.assertIsNone(choice.choose(self.nodes, 0.0))
        self.assertTrue(choice.is_relay(self.nodes))

    def test_one_that_failed_is_passed_over_and_tried_again(self):
        self.choice.record_failure(self.nodes["relay-a"], 5.0)
        self.assertEqual(self.choice.choose(self.nodes, 5.1).name, "relay-b")
        later = 5.0 + LONGEST_REST
        self.assertEqual(self.choice.choose(self.nodes, later).name, "relay-a")

    def test_other_nodes_lead_to_other_relays(self):
        self.choice.choose(self.nodes, 0.0)
        nodes = {**self.nodes, "strong": build_node("strong", strength=3.0)}
        self.assertEqual(self.choice.choose(nodes, 0.0).name, "strong")

    def test_nobody_is_left_once_all_have_failed(self):
        for relay in (self.nodes["relay-a"], self.nodes["relay-b"]):
            self.choice.record_failure(relay, 5.0)
        self.assertIsNone(self.choice.choose(self.nodes, 5.1))

    def test_rests_grow_with_failures_in_a_row(self):
        for _ in range(9):
            self.choice.record_failure(self.nodes["relay-a"], 5.0)
        almost = 5.0 + LONGEST_REST - 0.01
        self.assertEqual(self.choice.choose(self.nodes, almost).name, "relay-b")
        self.choice.record_success(self.nodes["relay-a"])
        self.choice.record_failure(self.nodes["relay-a"], 6.0)
        self.assertEqual(self.choice.choose(self.nodes, 6.5).name, "relay-a")
