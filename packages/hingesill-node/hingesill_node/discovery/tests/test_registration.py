"""Tests of the node's own entry."""

import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.store import LeaseGranted, LeaseLost, StoreFailure
from hingesill_node.discovery.registration import LISTED_SECONDS, Registration


class EntrySource:
    """Answers what a test sets, and counts."""

    def __init__(self, held=False):
        self.resume_answer = LeaseGranted("7", 120.0) if held else LeaseLost()
        self.calls = []
        self.answer = LeaseGranted("7", 120.0)

    def resume(self, node):
        self.calls.append("resume")
        return self.resume_answer

    def enter(self, node, seconds):
        self.calls.append("enter")
        return self.answer

    def renew(self, lease):
        self.calls.append("renew")
        return self.answer


class RegistrationCase(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.listed = True
        self.is_up = True
        self.era = 1
        self.entering_seconds = 10.0
        self.source = EntrySource()
        self.registration = Registration(
            self.source,
            NodeRecord("n1", "10.0.0.1:1", "a"),
            lambda node: self.listed,
            lambda: self.is_up,
            lambda: self.era,
            lambda: self.entering_seconds,
            lambda: self.now,
        )

    def turn(self):
        if self.registration._is_due():
            self.registration._step()


class RegistrationTests(RegistrationCase):
    def test_a_new_node_enters_once(self):
        for _ in range(3):
            self.turn()
        self.assertEqual(self.source.calls, ["resume", "enter"])

    def test_a_process_that_starts_anew_writes_nothing(self):
        self.source.resume_answer = LeaseGranted("7", 120.0)
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
        self.source.resume_answer = LeaseGranted("7", 120.0)
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
        self.source.answer = LeaseGranted("7", 120.0)
        self.turn()
        self.assertEqual(self.source.calls, ["resume", "enter", "renew", "renew"])

    def test_a_lease_that_is_over_is_taken_anew(self):
        self.turn()
        self.now = 60.0
        self.source.answer = LeaseLost()
        self.turn()
        self.now = 70.0
        self.source.answer = LeaseGranted("8", 120.0)
        self.turn()
        self.assertEqual(self.registration.lease, "8")


class RestoredStoreTests(RegistrationCase):
    """The store came back from an older copy; leases may be given out again."""

    def setUp(self):
        super().setUp()
        self.turn()
        self.turn()
        self.source.calls.clear()

    def test_an_entry_that_the_copy_has_is_gone_on_with_when_it_is_time(self):
        self.era = 2
        self.turn()
        self.assertEqual(self.source.calls, [])
        self.source.resume_answer = LeaseGranted("2/9", 120.0)
        self.now = self.registration.call_at
        self.turn()
        self.assertEqual(self.source.calls, ["resume"])
        self.assertEqual(self.registration.lease, "2/9")

    def test_one_that_it_lacks_is_made_again_within_its_time(self):
        self.era, self.listed = 2, False
        self.turn()
        self.assertLessEqual(self.registration.call_at, self.entering_seconds)
        self.now = self.entering_seconds
        self.turn()
        self.assertEqual(self.source.calls, ["enter"])

    def test_twice_in_a_row(self):
        for self.era in (2, 3):
            self.listed = False
            self.turn()
            self.now += self.entering_seconds
            self.turn()
            self.listed = True
        self.assertEqual(self.source.calls, ["enter", "enter"])

    def test_nor_does_the_first_one_that_is_known(self):
        self.registration._era = 0
        for self.now in range(10):
            self.turn()
        self.assertEqual(self.source.calls, [])

    def test_again_before_the_entry_was_gone_on_with(self):
        self.era = 2
        self.turn()
        self.era, self.listed = 3, False
        self.turn()
        self.now = self.entering_seconds
        self.turn()
        self.assertEqual(self.source.calls, ["enter"])

    def test_an_era_that_was_known_before_changes_nothing(self):
        for self.now in range(10):
            self.turn()
        self.assertEqual(self.source.calls, [])
