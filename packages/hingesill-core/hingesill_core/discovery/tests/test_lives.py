"""Tests of entries that two incarnations of an endpoint wrote under one identity."""

import unittest

from hingesill_core.discovery.deferral import OLDER_INCARNATION_SECONDS
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import Changes, Snapshot
from hingesill_core.discovery.tests.test_directory import build_record


class IncarnationTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.directory.apply_snapshot(self.build(1, 100), 0.0)

    def build(self, revision, born, **values):
        record = build_record("i1", born=born, **values)
        return Snapshot(Position(0, revision), endpoints={"i1": record})

    def write(self, revision, born, now, **values):
        record = build_record("i1", born=born, **values)
        self.directory.apply_changes(
            Changes(Position(0, revision), endpoints={"i1": record}), now
        )

    def get_born(self):
        return self.directory.endpoints["i1"].born

    def test_a_newer_incarnation_applies_at_once(self):
        self.write(2, 200, 1.0)
        self.assertEqual(self.get_born(), 200)

    def test_a_late_write_of_the_previous_incarnation_is_ignored(self):
        self.write(2, 200, 1.0)
        self.write(3, 100, 1.1, leaving=True)
        self.assertEqual(self.get_born(), 200)
        self.write(4, 200, 2.0)
        self.directory.apply_due_updates(1.1 + OLDER_INCARNATION_SECONDS)
        self.assertEqual(self.get_born(), 200)
        self.assertIsNone(self.directory.get_next_due_time())

    def test_an_older_start_time_that_persists_is_applied(self):
        self.write(2, 50, 1.0, address="10.0.0.2:80")
        due = 1.0 + OLDER_INCARNATION_SECONDS
        self.assertEqual(self.directory.get_next_due_time(), due)
        self.directory.apply_due_updates(due)
        self.assertEqual(self.get_born(), 50)

    def test_a_full_read_does_not_extend_the_deferral(self):
        self.write(2, 50, 1.0)
        self.directory.apply_snapshot(self.build(3, 50), 3.0)
        self.directory.apply_due_updates(1.0 + OLDER_INCARNATION_SECONDS)
        self.assertEqual(self.get_born(), 50)

    def test_a_removed_endpoint_is_not_revived(self):
        self.write(2, 50, 1.0)
        self.directory.apply_changes(
            Changes(Position(0, 3), endpoints={"i1": None}), 2.0
        )
        self.directory.apply_due_updates(1.0 + OLDER_INCARNATION_SECONDS)
        self.assertNotIn("i1", self.directory.endpoints)

    def test_entries_without_a_start_time(self):
        self.write(2, 0, 1.0, address="10.0.0.2:80")
        self.assertEqual(self.directory.endpoints["i1"].address, "10.0.0.2:80")
