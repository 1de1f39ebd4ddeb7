"""Tests of the detection of registered nodes that do not answer."""

import random
import unittest

from hingesill_core.organisations.organisation import Organisation
from hingesill_core.quotas.decision import QuotaStatus
from hingesill_core.quotas.fleet import FleetQuotas
from hingesill_core.quotas.liveness import MAX_PINGS, PING_NUMBER, NodeLiveness
from hingesill_core.quotas.messages import QuotaProbe, QuotaProbeReply
from hingesill_core.ratelimits.coordinators import rank_coordinators

ROUND_SECONDS = 0.1


class LivenessTests(unittest.TestCase):
    """Guards against coordinators that are dead, or of which there are two."""

    def setUp(self):
        self.now = 5.0
        self.liveness = NodeLiveness(random.Random(1))
        self.liveness.send = self.send
        self.nodes = [("10.0.0.1", port) for port in range(6)]
        self.alive = set(self.nodes)
        self.sent = []
        self.answers = []
        self.responsive = set(self.liveness.set_nodes(self.nodes))

    def send(self, node, message):
        self.assertIsInstance(message, QuotaProbe)
        self.sent.append((node, message.number))
        if node in self.alive:
            self.answers.append((node, message.number))

    def run_rounds(self, count):
        for _ in range(count):
            self.now += ROUND_SECONDS
            if self.liveness.run_round(self.now):
                self.responsive = set(self.liveness.set_nodes(self.nodes))
            answers, self.answers = self.answers, []
            for node, number in answers:
                if self.liveness.record_datagram(node, self.now):
                    self.responsive = set(self.liveness.set_nodes(self.nodes))
                reply = QuotaProbeReply(number, True)
                self.liveness.quorum.record_answer(reply, node, 0.005)

    def kill_and_suspect(self, *dead):
        self.alive -= set(dead)
        for node in dead:
            self.liveness.suspect(node, self.now)

    def test_a_dead_node_is_excluded_within_a_second_until_it_answers(self):
        dead = self.nodes[0]
        self.kill_and_suspect(dead)
        self.run_rounds(MAX_PINGS)
        self.assertIn(dead, self.responsive)
        self.run_rounds(2)
        self.assertEqual(self.responsive, set(self.nodes[1:]))
        self.run_rounds(40)
        self.assertNotIn(dead, self.responsive)
        self.alive.add(dead)
        self.run_rounds(11)
        self.assertIn(dead, self.responsive)
        self.assertTrue(self.liveness.is_idle)

    def test_nothing_is_sent_without_a_suspicion(self):
        self.run_rounds(20)
        self.assertEqual(self.sent, [])

    def test_a_node_that_answers_is_pinged_once(self):
        self.liveness.suspect(self.nodes[0], self.now)
        self.run_rounds(3)
        self.liveness.suspect(self.nodes[0], self.now)
        self.run_rounds(1)
        self.assertEqual(self.sent.count((self.nodes[0], PING_NUMBER)), 1)

    def test_a_node_without_a_majority_excludes_none(self):
        self.kill_and_suspect(*self.nodes[:4])
        self.run_rounds(50)
        self.assertEqual(self.responsive, set(self.nodes))

    def test_a_node_that_loses_the_majority_takes_its_exclusions_back(self):
        """Two lists of different length could each have a majority of their own."""
        self.kill_and_suspect(self.nodes[0])
        self.run_rounds(10)
        self.assertNotIn(self.nodes[0], self.responsive)
        self.alive = {self.nodes[4]}
        self.run_rounds(30)
        self.assertEqual(self.responsive, set(self.nodes))

    def test_nodes_that_are_no_longer_registered_are_forgotten(self):
        self.kill_and_suspect(self.nodes[0])
        self.run_rounds(10)
        self.nodes = self.nodes[1:]
        self.liveness.set_nodes(self.nodes)
        self.assertTrue(self.liveness.is_idle)


class SubstituteTests(unittest.TestCase):
    """Guards against a loss of the coordinator whose end isn't logged."""

    def test_a_node_becomes_the_coordinator_itself(self):
        own, other = ("10.0.0.1", 7200), ("10.0.0.2", 7200)
        names = [f"o{number}" for number in range(20)]
        name = next(n for n in names if rank_coordinators(n, (own, other))[0] == own)
        changes, sent = [], []
        quotas = FleetQuotas(random.Random(1), observe=changes.append)
        quotas.send = lambda node, message: sent.append(message)
        quotas.set_nodes(own, (other,), 5.0)
        quotas.configure({name: Organisation(name, rate=1.0)}, 5.0)
        decision = quotas.acquire(name, 5.0)
        while decision.status is not QuotaStatus.WAITING:
            decision = quotas.acquire(name, 5.0)
        quotas._clients[name].is_lost = True
        quotas.handle_message(QuotaProbeReply(sent[0].number, True), other, 5.01)
        self.assertEqual([c.kind for c in changes], ["coordinator-found"])


if __name__ == "__main__":
    unittest.main()
