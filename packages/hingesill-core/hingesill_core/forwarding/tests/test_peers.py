"""Choice of the node to which a request is forwarded."""

import random
import unittest
from collections import Counter

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.forwarding.peers import FAILED_SECONDS, PeerTable


def build_nodes(**counts):
    """Return NodeRecords by name: so many in each data centre."""
    names = [f"{place}{n}" for place, count in counts.items() for n in range(count)]
    return {
        name: NodeRecord(name, f"10.0.0.{i}:7000", name[0], forward_port=7001)
        for i, name in enumerate(names)
    }


class ChoiceTests(unittest.TestCase):
    def setUp(self):
        self.nodes = build_nodes(a=4, b=4)
        self.peers = PeerTable("a0", "a", lambda: self.nodes, random.Random(1))

    def choose_many(self, service="s", tried=(), now=0.0, count=200):
        """Return how often each node was chosen."""
        chosen = (self.peers.choose(service, tried, now) for _ in range(count))
        return Counter(node.name for node in chosen if node is not None)

    def test_nodes_of_the_own_data_centre_come_first(self):
        self.assertEqual(set(self.choose_many()), {"a1", "a2", "a3"})

    def test_all_are_used_if_most_of_the_own_data_centre_cannot_serve(self):
        for name in ("a1", "a2"):
            self.peers.record_unreachable(self.nodes[name], "s", 0.0)
        chosen = self.choose_many()
        self.assertEqual(set(chosen), {"a3", "b0", "b1", "b2", "b3"})
        self.assertLess(chosen["a3"], 80)

    def test_a_node_that_reaches_another_service_gets_its_requests(self):
        self.peers.record_unreachable(self.nodes["a1"], "s", 0.0)
        self.assertNotIn("a1", self.choose_many("s"))
        self.assertIn("a1", self.choose_many("other"))

    def test_a_node_that_failed_is_avoided_for_a_time(self):
        self.peers.record_failure(self.nodes["a1"], 0.0)
        self.assertNotIn("a1", self.choose_many(now=0.7 * FAILED_SECONDS))
        self.assertIn("a1", self.choose_many(now=1.3 * FAILED_SECONDS))

    def test_a_node_with_many_requests_in_flight_gets_fewer(self):
        for _ in range(5):
            self.peers.begin(self.nodes["a1"], 0.0)
        self.assertNotIn("a1", self.choose_many())
        for _ in range(5):
            self.peers.end(self.nodes["a1"])
        self.assertIn("a1", self.choose_many())

    def test_a_node_of_an_older_build_gets_none(self):
        old = NodeRecord("a1", "10.0.0.1:7000", "a")
        self.nodes = {"a0": self.nodes["a0"], "a1": old}
        self.assertIsNone(self.peers.choose("s", (), 0.0))

    def test_a_request_is_not_sent_to_a_node_twice(self):
        chosen = self.choose_many(tried=("a1", "a2", "a3"))
        self.assertEqual(set(chosen), {"b0", "b1", "b2", "b3"})

    def test_nodes_that_served_are_preferred(self):
        for name in ("a1", "a2"):
            self.peers.record_served(self.nodes[name], "s", 0.0)
        chosen = self.choose_many()
        self.assertLess(chosen["a3"], 40)
        self.assertGreater(chosen["a3"], 0)

    def load_the_only_node_that_served(self):
        """Let five nodes refuse, and give one that served five requests."""
        for name in ("a2", "a3", "b0", "b1", "b2"):
            self.peers.record_unreachable(self.nodes[name], "s", 0.0)
        self.peers.record_served(self.nodes["a1"], "s", 0.0)
        for _ in range(5):
            self.peers.begin(self.nodes["a1"], 0.0)

    def test_the_only_node_that_served_gets_most_whatever_it_has_in_flight(self):
        self.load_the_only_node_that_served()
        self.assertGreater(self.choose_many()["a1"], 120)

    def test_a_node_that_served_and_no_longer_responds_is_not_preferred(self):
        self.load_the_only_node_that_served()
        self.assertNotIn("a1", self.choose_many(now=0.6))
        self.peers.record_heard(self.nodes["a1"], 0.6)
        self.assertGreater(self.choose_many(now=0.7)["a1"], 120)

    def test_a_node_that_knows_none_uses_those_that_others_name(self):
        self.peers.record_unreachable(self.nodes["a1"], "s", 0.0)
        self.peers.record_named(["b1", "b2", "a0"], "s", 0.0)
        chosen = self.choose_many()
        self.assertGreater(chosen["b1"] + chosen["b2"], 120)

    def test_few_are_asked_for_a_request_after_many_refusals_in_a_row(self):
        for _ in range(12):
            self.peers.record_unreachable(self.nodes["a1"], "s", 0.0)
        self.assertIsNone(self.peers.choose("s", ("a1", "a2"), 0.0))
        self.peers.record_served(self.nodes["b1"], "s", 0.0)
        self.assertIsNotNone(self.peers.choose("s", ("a1", "a2"), 0.0))


class MembershipTests(unittest.TestCase):
    def test_only_a_registered_name_at_its_address_is_a_member(self):
        peers = PeerTable("a0", "a", lambda: build_nodes(a=2), random.Random(1))
        self.assertTrue(peers.is_member("a1", "10.0.0.1"))
        self.assertFalse(peers.is_member("a1", "10.0.0.9"))
        self.assertFalse(peers.is_member("x", "10.0.0.1"))
