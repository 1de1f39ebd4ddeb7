"""Tests of replicas and differences, with hypothesis for any order of messages."""

import unittest

from hypothesis import given, settings, strategies as st

from hingesill_core.configuration.log import Entry, ServiceChange
from hingesill_core.configuration.state import (
    Applied,
    Replica,
    decode_difference,
    encode_difference,
)


def build_states(count):
    """Return the differences after 0, 1, ... changes, and the final replica."""
    replica = Replica()
    states = [replica.build_difference()]
    for number in range(1, count + 1):
        service = f"s{number % 3}"
        document = None if number % 5 == 0 else f"d{number}"
        change = ServiceChange(service, document)
        entry = Entry(number, replica.chain, f"op{number}", "ann", (change,))
        assert replica.apply(entry) is Applied.APPLIED
        states.append(replica.build_difference())
    return states, replica


class ReplicaTests(unittest.TestCase):
    def test_gaps_and_forks_are_rejected(self):
        _, replica = build_states(3)
        gap = Entry(9, replica.chain, "op", "ann", ())
        fork = Entry(4, "f" * 16, "op", "ann", ())
        self.assertIs(replica.apply(gap), Applied.GAP)
        self.assertIs(replica.apply(fork), Applied.FORKED)
        self.assertEqual(replica.revision, 3)

    def test_an_older_difference_is_rejected(self):
        states, replica = build_states(4)
        self.assertIs(replica.adopt(states[2]), Applied.OLDER)
        self.assertEqual(replica.revision, 4)

    def test_a_difference_of_another_log_is_rejected(self):
        states, replica = build_states(4)
        forged = decode_difference(encode_difference(states[4]))
        forged = type(forged)(0, 4, "f" * 16, {})
        self.assertIs(replica.adopt(forged), Applied.FORKED)

    def test_a_difference_contains_only_changed_services(self):
        _, replica = build_states(6)
        difference = replica.build_difference(5)
        self.assertEqual(list(difference.services), ["s0"])
        self.assertEqual(replica.build_difference(6).services, {})

    def test_a_difference_is_limited_to_the_given_services(self):
        _, replica = build_states(6)
        difference = replica.build_difference(0, {"s1"})
        self.assertEqual(list(difference.services), ["s1"])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=30))
    def test_the_revision_never_decreases_in_any_order_of_messages(self, messages):
        _, newest = build_states(12)
        replicas = [build_states(count)[1] for count in range(13)]
        replica = Replica()
        for since, revision in messages:
            before = replica.revision
            sender = replicas[revision]
            replica.adopt(sender.build_difference(min(since, revision)))
            self.assertGreaterEqual(replica.revision, before)
            self.assertEqual(replica.chain, newest.find_chain(replica.revision))
            self.assertEqual(
                dict(replica.services), dict(replicas[replica.revision].services)
            )
