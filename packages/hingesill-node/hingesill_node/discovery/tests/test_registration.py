"""Tests of the node's own entry."""

import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.store import Held, LeaseLost, StoreFailure
from hingesill_node.discovery.registration import LISTED_SECONDS, Registration


class EntrySource:
    """Answers what a test sets, and counts."""

    def __init__(self, held=False):
        self.held = held
        self.calls = []
        self.answer = Held("7", 120.0)

    def resume(self, node):
        self.calls.append("resume")
        return Held("7", 120.0) if self.held else LeaseLost()

    def enter(self, node, seconds):
        self.calls.append("enter")
        return self.answer

    def renew(self, lease):
        self.calls.append("renew")
        return self.answer


class RegistrationTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.listed = True
        self.source = EntrySource()
        self.registration = Registration(
            self.source,
            NodeRecord("n1", "10.0.0.1:1", "a"),
            lambda node: self.listed,
            lambda: self.now,
        )

    def turn(self):
        if self.registration._is_due():
            self.registration._step()

    def test_a_new_node_enters_once(self):
        self.registration._resume()
        for _ in range(3):
            self.turn()
        self.assertEqual(self.source.calls, ["resume", "enter"])

    def test_a_process_that_starts_anew_writes_nothing(self):
        self.source.held = True
        self.registration._resume()
        self.turn()
        self.assertEqual(self.source.calls, ["resume"])

    def test_an_entry_that_lapsed_is_made_again(self):
        self.turn()
        self.now = LISTED_SECONDS + 1.0
        self.listed = False
        self.turn()
        self.turn()
        self.assertEqual(self.source.calls, ["enter", "enter"])

    def test_an_outage_does_not_end_a_lease(self):
        self.turn()
        self.now = 60.0
        self.source.answer = StoreFailure("status 503")
        self.turn()
        self.assertEqual(self.registration.lease, "7")
        self.now = 70.0
        self.source.answer = Held("7", 120.0)
        self.turn()
        self.assertEqual(self.source.calls, ["enter", "renew", "renew"])

    def test_a_lease_that_is_over_is_taken_anew(self):
        self.turn()
        self.now = 60.0
        self.source.answer = LeaseLost()
        self.turn()
        self.now = 70.0
        self.source.answer = Held("8", 120.0)
        self.turn()
        self.assertEqual(self.registration.lease, "8")
