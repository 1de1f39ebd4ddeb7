"""Tests of the registration of a node in the store."""

import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_core.store import LeaseGranted, LeaseLost, StoreFailure
from hingesill_node.discovery.registration import MAX_LISTING_SECONDS, Registration


class EntrySource:
    """A source with set answers, which records the calls."""

    def __init__(self, has_entry=False):
        self.resume_answer = LeaseGranted("7", 120.0) if has_entry else LeaseLost()
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
        self.registration_spread_seconds = 10.0
        self.source = EntrySource()
        self.registration = Registration(
            self.source,
            NodeRecord("n1", "10.0.0.1:1", "a"),
            lambda node: self.listed,
            lambda: self.is_up,
            lambda: self.era,
            lambda: self.registration_spread_seconds,
            lambda: self.now,
        )

    def step_if_due(self):
        if self.registration._is_due():
            self.registration._step()


class RegistrationTests(RegistrationCase):
    def test_a_new_node_registers_once(self):
        for _ in range(3):
            self.step_if_due()
        self.assertEqual(self.source.calls, ["resume", "enter"])

    def test_a_restarted_process_writes_nothing(self):
        self.source.resume_answer = LeaseGranted("7", 120.0)
        self.step_if_due()
        self.step_if_due()
        self.assertEqual(self.source.calls, ["resume"])

    def test_a_process_that_starts_in_an_outage_resumes_its_entry_later(self):
        self.source.resume_answer = StoreFailure("status 503")
        self.step_if_due()
        self.is_up = False
        for self.now in range(1, 9):
            self.step_if_due()
        self.assertEqual(self.source.calls, ["resume"])
        self.source.resume_answer = LeaseGranted("7", 120.0)
        self.is_up = True
        self.step_if_due()
        self.step_if_due()
        self.assertEqual(self.source.calls, ["resume", "resume"])
        self.assertEqual(self.registration.lease, "7")

    def test_a_lapsed_entry_is_registered_again(self):
        self.step_if_due()
        self.now = MAX_LISTING_SECONDS + 1.0
        self.listed = False
        self.step_if_due()
        self.step_if_due()
        self.assertEqual(self.source.calls, ["resume", "enter", "enter"])

    def test_an_outage_does_not_drop_a_lease(self):
        self.step_if_due()
        self.now = 60.0
        self.source.answer = StoreFailure("status 503")
        self.step_if_due()
        self.assertEqual(self.registration.lease, "7")
        self.now = 70.0
        self.source.answer = LeaseGranted("7", 120.0)
        self.step_if_due()
        self.assertEqual(self.source.calls, ["resume", "enter", "renew", "renew"])

    def test_a_lost_lease_is_replaced(self):
        self.step_if_due()
        self.now = 60.0
        self.source.answer = LeaseLost()
        self.step_if_due()
        self.now = 70.0
        self.source.answer = LeaseGranted("8", 120.0)
        self.step_if_due()
        self.assertEqual(self.registration.lease, "8")


class RestoredStoreTests(RegistrationCase):
    """The store was restored from an older copy; lease IDs may be assigned again."""

    def setUp(self):
        super().setUp()
        self.step_if_due()
        self.step_if_due()
        self.source.calls.clear()

    def test_an_entry_in_the_copy_is_resumed_when_its_renewal_is_due(self):
        self.era = 2
        self.step_if_due()
        self.assertEqual(self.source.calls, [])
        self.source.resume_answer = LeaseGranted("2/9", 120.0)
        self.now = self.registration.next_call_at
        self.step_if_due()
        self.assertEqual(self.source.calls, ["resume"])
        self.assertEqual(self.registration.lease, "2/9")

    def test_an_entry_missing_from_the_copy_is_registered_within_the_spread(self):
        self.era, self.listed = 2, False
        self.step_if_due()
        self.assertLessEqual(
            self.registration.next_call_at, self.registration_spread_seconds
        )
        self.now = self.registration_spread_seconds
        self.step_if_due()
        self.assertEqual(self.source.calls, ["enter"])

    def test_twice_in_a_row(self):
        for self.era in (2, 3):
            self.listed = False
            self.step_if_due()
            self.now += self.registration_spread_seconds
            self.step_if_due()
            self.listed = True
        self.assertEqual(self.source.calls, ["enter", "enter"])

    def test_the_first_known_era_changes_nothing(self):
        self.registration._era = 0
        for self.now in range(10):
            self.step_if_due()
        self.assertEqual(self.source.calls, [])

    def test_a_second_restore_before_the_entry_was_resumed(self):
        self.era = 2
        self.step_if_due()
        self.era, self.listed = 3, False
        self.step_if_due()
        self.now = self.registration_spread_seconds
        self.step_if_due()
        self.assertEqual(self.source.calls, ["enter"])

    def test_a_known_era_changes_nothing(self):
        for self.now in range(10):
            self.step_if_due()
        self.assertEqual(self.source.calls, [])
