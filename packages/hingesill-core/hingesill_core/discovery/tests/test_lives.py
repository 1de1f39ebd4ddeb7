"""Tests of entries that two lives of an endpoint wrote under one identity."""

import unittest

from hingesill_core.discovery.deferral import OLDER_LIFE_SECONDS
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import Changes, Snapshot
from hingesill_core.discovery.tests.test_directory import build_record


class LifeTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.directory.adopt(self.build(1, 100), 0.0)

    def build(self, revision, born, **values):
        record = build_record("i1", born=born, **values)
        return Snapshot(Position(0, revision), endpoints={"i1": record})

    def write(self, revision, born, now, **values):
        record = build_record("i1", born=born, **values)
        self.directory.apply(
            Changes(Position(0, revision), endpoints={"i1": record}), now
        )

    def get_born(self):
        return self.directory.endpoints["i1"].born

    def test_a_newer_life_is_believed_at_once(self):
        self.write(2, 200, 1.0)
        self.assertEqual(self.get_born(), 200)

    def test_a_late_word_of_the_life_before_is_not(self):
        self.write(2, 200, 1.0)
        self.write(3, 100, 1.1, leaving=True)
        self.assertEqual(self.get_born(), 200)
        self.write(4, 200, 2.0)
        self.directory.expire(1.1 + OLDER_LIFE_SECONDS)
        self.assertEqual(self.get_born(), 200)
        self.assertIsNone(self.directory.get_next_expiry())

    def test_one_that_goes_on_to_stand_is_that_of_a_clock_that_stepped_back(self):
        self.write(2, 50, 1.0, address="10.0.0.2:80")
        due = 1.0 + OLDER_LIFE_SECONDS
        self.assertEqual(self.directory.get_next_expiry(), due)
        self.directory.expire(due)
        self.assertEqual(self.get_born(), 50)

    def test_a_whole_read_does_not_put_it_off(self):
        self.write(2, 50, 1.0)
        self.directory.adopt(self.build(3, 50), 3.0)
        self.directory.expire(1.0 + OLDER_LIFE_SECONDS)
        self.assertEqual(self.get_born(), 50)

    def test_one_that_left_stays_away(self):
        self.write(2, 50, 1.0)
        self.directory.apply(Changes(Position(0, 3), endpoints={"i1": None}), 2.0)
        self.directory.expire(1.0 + OLDER_LIFE_SECONDS)
        self.assertNotIn("i1", self.directory.endpoints)

    def test_entries_that_do_not_say_when_they_started(self):
        self.write(2, 0, 1.0, address="10.0.0.2:80")
        self.assertEqual(self.directory.endpoints["i1"].address, "10.0.0.2:80")
