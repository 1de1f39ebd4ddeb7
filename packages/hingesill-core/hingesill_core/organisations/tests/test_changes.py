"""Tests of organisations that reach other nodes as changes of a declaration."""

import unittest

from msgspec.structs import replace

from hingesill_core.discovery.difference import find_changes
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    Changes,
    DeclaredConfiguration,
    Snapshot,
)
from hingesill_core.organisations.changes import digest_organisations
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.organisations.organisation import Organisation, digest_key


def declare(version, **rates):
    """Return a declaration with an organisation for each rate."""
    organisations = {
        name: Organisation(name, (digest_key(name),), rate=rate)
        for name, rate in rates.items()
    }
    digest = digest_organisations(organisations)
    return DeclaredConfiguration(
        version, (), (), organisations=organisations, organisations_digest=digest
    )


def build_snapshot(declared):
    """Return a Snapshot whose revision is the declaration's version."""
    return Snapshot(Position(0, declared.version), declared)


class ChangedOrganisationsTests(unittest.TestCase):
    """Guards against tables of two versions that mix, and keys that come back."""

    def setUp(self):
        self.first = declare(1, a=1.0, b=2.0, c=3.0)
        self.second = declare(2, a=1.0, b=5.0, d=4.0)
        self.follower = Directory()
        self.follower.apply_snapshot(build_snapshot(self.first), 0.0)

    def find(self, before, after):
        return find_changes(build_snapshot(before), build_snapshot(after))

    def apply(self, changes):
        """Apply changes as a follower does; return whether it takes them."""
        can_apply = self.follower.can_apply(changes)
        if can_apply:
            self.follower.apply_changes(changes, 0.0)
        return can_apply

    def test_only_changed_organisations_are_passed_on(self):
        changes = self.find(self.first, self.second)
        self.assertEqual(set(changes.organisations.changed), {"b", "c", "d"})
        self.assertIsNone(changes.declared.organisations)

    def test_changes_lead_to_the_later_table(self):
        self.assertTrue(self.apply(self.find(self.first, self.second)))
        self.assertEqual(self.follower.declared, self.second)
        keys = KeyTable(self.follower.declared.organisations.values())
        self.assertIsNone(keys.find(digest_key("c")))
        self.assertEqual(keys.find(digest_key("b")).rate, 5.0)

    def test_a_change_that_was_applied_before_changes_nothing(self):
        changes = self.find(self.first, self.second)
        self.assertTrue(self.apply(changes))
        self.assertTrue(self.apply(changes))
        self.assertEqual(self.follower.declared, self.second)

    def test_changes_from_another_table_are_refused_as_a_whole(self):
        third = declare(3, a=1.0, b=5.0, c=3.0, d=4.0)
        self.assertFalse(self.apply(self.find(self.second, third)))
        self.assertEqual(self.follower.declared, self.first)

    def test_changes_to_an_earlier_version_than_the_known_one(self):
        third = declare(3, e=1.0)
        self.follower.apply_snapshot(build_snapshot(third), 0.0)
        changes = replace(self.find(self.first, self.second), position=Position(0, 9))
        self.assertTrue(self.apply(changes))
        self.assertEqual(self.follower.declared, third)

    def test_a_first_and_a_last_table_are_passed_on_whole(self):
        without = DeclaredConfiguration(2, (), ())
        changes = self.find(self.first, without)
        self.assertTrue(self.apply(changes))
        self.assertIsNone(self.follower.declared.organisations)
        third = declare(3, a=1.0)
        self.assertTrue(self.apply(self.find(without, third)))
        self.assertEqual(self.follower.declared, third)


class EarlierBuildTests(unittest.TestCase):
    """Guards against a declaration from which an earlier build dropped organisations.

    A node that took it would let all callers in without a key.
    """

    def setUp(self):
        self.directory = Directory()
        self.stripped = replace(
            build_snapshot(DeclaredConfiguration(2, (), ())), format=1
        )

    def test_it_is_not_taken_where_organisations_are_known(self):
        self.directory.apply_snapshot(build_snapshot(declare(1, a=1.0)), 0.0)
        self.assertFalse(self.directory.can_apply(self.stripped))

    def test_it_is_not_taken_as_the_first_declaration(self):
        self.assertFalse(self.directory.can_apply(self.stripped))

    def test_the_known_one_is_taken_where_there_are_known_to_be_none(self):
        declared = DeclaredConfiguration(2, (), ())
        self.directory.apply_snapshot(build_snapshot(declared), 0.0)
        self.assertTrue(self.directory.can_apply(self.stripped))

    def test_a_later_one_is_not_taken_as_it_may_be_the_first_with_organisations(self):
        declared = DeclaredConfiguration(1, (), ())
        self.directory.apply_snapshot(build_snapshot(declared), 0.0)
        self.assertFalse(self.directory.can_apply(self.stripped))
        changes = Changes(Position(0, 2), self.stripped.declared, format=1)
        self.assertFalse(self.directory.can_apply(changes))

    def test_changes_without_a_declaration_are_taken(self):
        self.directory.apply_snapshot(build_snapshot(declare(1, a=1.0)), 0.0)
        self.assertTrue(self.directory.can_apply(Changes(Position(0, 3), format=1)))


if __name__ == "__main__":
    unittest.main()
