"""Tests of the node's own entry."""

import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.store import Held, LeaseLost, StoreFailure
from hingesill_node.discovery.registration import LISTED_SECONDS, Registration


class EntrySource:
    """Answers what a test sets, and counts."""

    def __init__(self, held=False):
        self.resume_answer = Held("7", 120.0) if held else LeaseLost()
        self.calls = []
        self.answer = Held("7", 120.0)

    def resume(self, node):
        self.calls.append("resume")
        return self.resume_answer

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
        self.is_up = True
        self.source = EntrySource()
        self.registration = Registration(
            self.source,
            NodeRecord("n1", "10.0.0.1:1", "a"),
            lambda node: self.listed,
            lambda: self.is_up,
            lambda: self.now,
        )

    def turn(self):
        if self.registration._is_due():
            self.registration._step()

    def test_a_new_node_enters_once(self):
        for _ in range(3):
            self.turn()
        self.assertEqual(self.source.calls, ["resume", "enter"])

    def test_a_process_that_starts_anew_writes_nothing(self):
        self.source.resume_answer = Held("7", 120.0)
        self.turn()
        self.turn()
        self.assertEqual(self.source.calls, ["resume"])

    def test_a_process_that_starts_in_an_outage_finds_its_entry_later(self):
        self.source.resume_answer = StoreFailure("status 503")
        self.turn()
        self.is_up = False
        for self.now in range(1, 9):
            self.turn()
        self.assertEqual(self.source.calls, ["resume"])
        self.source.resume_answer = Held("7", 120.0)
        self.is_up = True
        self.turn()
        self.turn()
        self.assertEqual(self.source.calls, ["resume", "resume"])
        self.assertEqual(self.registration.lease, "7")

    def test_an_entry_that_lapsed_is_made_again(self):
        self.turn()
        self.now = LISTED_SECONDS + 1.0
        self.listed = False
        self.turn()
        self.turn()
        self.assertEqual(self.source.calls, ["resume", "enter", "enter"])

    def test_an_outage_does_not_end_a_lease(self):
        self.turn()
        self.now = 60.0
        self.source.answer = StoreFailure("status 503")
        self.turn()
        self.assertEqual(self.registration.lease, "7")
        self.now = 70.0
        self.source.answer = Held("7", 120.0)
        self.turn()
        self.assertEqual(self.source.calls, ["resume", "enter", "renew", "renew"])

    def test_a_lease_that_is_over_is_taken_anew(self):
        self.turn()
        self.now = 60.0
        self.source.answer = LeaseLost()
        self.turn()
        self.now = 70.0
        self.source.answer = Held("8", 120.0)
        self.turn()
        self.assertEqual(self.registration.lease, "8")
