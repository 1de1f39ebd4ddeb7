"""Tests of a store that is restored from an older copy of itself.

For each kind of record the copy lacks records that were written after it was made, and
has records that were removed after it was made.
"""

import unittest

from hypothesis import given, strategies as st

from hingesill_core.discovery.deferral import (
    EVACUATION_DEFERRAL_SECONDS,
    MISSING_ENDPOINT_SECONDS,
    MISSING_NODE_SECONDS,
    REVIVED_ENDPOINT_SECONDS,
)
from hingesill_core.discovery.difference import find_changes
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position, parse_position
from hingesill_core.discovery.records import Changes, NodeRecord, Snapshot
from hingesill_core.discovery.recordtable import RecordTable
from hingesill_core.discovery.tests.test_directory import build_declared, build_record

RETURNED_AT = 20.0
NODES = {name: NodeRecord(name, f"10.0.0.{name[1]}:1", "a") for name in ("n1", "n2")}


def list_records(*records):
    return {record.instance: record for record in records}


class PositionTests(unittest.TestCase):
    def test_a_later_era_is_later_whatever_its_revision(self):
        self.assertLess(Position(1, 81), Position(2, 65))
        self.assertLess(Position(2, 65), Position(2, 66))

    def test_text_is_parsed(self):
        self.assertEqual(parse_position(str(Position(3, 12))), Position(3, 12))
        for text in ("", "12", "a.b", "1.-2", "1.2.3"):
            with self.subTest(text=text):
                self.assertEqual(parse_position(text), Position())


class RestoreCase(unittest.TestCase):
    """A directory at revision 81 of era 1; the store is restored to revision 65."""

    def setUp(self):
        self.directory = Directory()
        self.apply_snapshot(
            1, 81, 0.0, build_record("i1"), build_record("i2"), nodes=NODES
        )

    def apply_snapshot(self, era, revision, now, *records, **fields):
        endpoints = list_records(*records)
        snapshot = Snapshot(Position(era, revision), endpoints=endpoints, **fields)
        return self.directory.apply_snapshot(snapshot, now)

    def write(self, era, revision, now, **fields):
        return self.directory.apply_changes(
            Changes(Position(era, revision), **fields), now
        )

    def restore(self, *records, era=2, now=RETURNED_AT, **fields):
        self.directory.record_return(now)
        self.assertTrue(self.apply_snapshot(era, 65, now, *records, **fields))


class DeclarationTests(RestoreCase):
    def setUp(self):
        super().setUp()
        self.write(1, 82, 1.0, declared=build_declared(24))

    def get_version(self):
        return self.directory.declared.version

    def test_an_accepted_version_stays_in_force_and_is_published(self):
        self.restore(declared=build_declared(21))
        self.assertEqual(self.get_version(), 24)
        self.assertEqual(self.directory.build_snapshot().declared.version, 24)

    def test_the_next_version_applies_under_an_old_revision(self):
        self.restore(declared=build_declared(21))
        self.assertTrue(self.write(2, 66, 21.0, declared=build_declared(27)))
        self.assertEqual(self.get_version(), 27)

    def test_a_version_written_again_with_other_content_applies(self):
        self.restore(declared=build_declared(21))
        other = build_declared(24, "another route")
        self.write(2, 66, 21.0, declared=other)
        self.assertEqual(self.directory.declared, other)

    def test_a_late_answer_of_an_earlier_era_changes_nothing(self):
        self.restore(declared=build_declared(21))
        self.assertFalse(self.apply_snapshot(1, 90, 21.0, declared=build_declared(30)))
        self.assertFalse(self.write(1, 91, 21.0, declared=build_declared(31)))
        self.assertEqual(self.get_version(), 24)

    def test_a_node_cut_off_from_the_store_supplies_a_lost_version(self):
        fresh = Directory()
        fresh.apply_snapshot(Snapshot(Position(2, 65), build_declared(21)), 0.0)
        self.assertTrue(fresh.merge_snapshot(self.directory.build_snapshot(), 0.0))
        self.assertEqual(fresh.declared.version, 24)
        self.assertEqual(fresh.position, Position(2, 65))
        self.assertFalse(fresh.merge_snapshot(self.directory.build_snapshot(), 0.0))

    def test_a_store_without_eras_is_ordered_by_revisions(self):
        directory = Directory()
        directory.apply_snapshot(Snapshot(Position(0, 81)), 0.0)
        self.assertFalse(directory.apply_snapshot(Snapshot(Position(0, 65)), 1.0))

    @given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 30)), max_size=20))
    def test_versions_only_grow(self, updates):
        directory = Directory()
        seen = 0
        for number, (era, version) in enumerate(updates):
            position = Position(era, number % 7)
            directory.apply_snapshot(Snapshot(position, build_declared(version)), 0.0)
            if directory.declared is not None:
                self.assertGreaterEqual(directory.declared.version, seen)
                seen = directory.declared.version


class EndpointTests(RestoreCase):
    def list_not_leaving(self):
        endpoints = self.directory.endpoints.values()
        return sorted(r.instance for r in endpoints if not r.leaving)

    def test_removal_of_missing_endpoints_is_deferred(self):
        self.restore(build_record("i1"))
        self.assertEqual(self.list_not_leaving(), ["i1", "i2"])
        self.directory.apply_due_updates(RETURNED_AT + MISSING_ENDPOINT_SECONDS)
        self.assertEqual(self.list_not_leaving(), ["i1"])

    def test_an_endpoint_removed_after_the_copy_gets_no_requests(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_not_leaving(), ["i1"])
        # Another full read repeats the copy's entry, and does not confirm the endpoint.
        self.apply_snapshot(
            2, 66, RETURNED_AT + 1.0, build_record("i1"), build_record("i2")
        )
        self.assertEqual(self.list_not_leaving(), ["i1"])
        self.write(2, 67, RETURNED_AT + 4.0, endpoints={"i2": None})
        self.directory.apply_due_updates(RETURNED_AT + REVIVED_ENDPOINT_SECONDS)
        self.assertEqual(self.list_not_leaving(), ["i1"])

    def test_a_removed_endpoint_that_writes_again_is_applied(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.write(2, 66, 21.0, endpoints={"i2": build_record("i2")})
        self.assertEqual(self.list_not_leaving(), ["i1", "i2"])

    def test_an_entry_that_outlasts_the_deferral_is_applied(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.directory.apply_due_updates(RETURNED_AT + REVIVED_ENDPOINT_SECONDS)
        self.assertEqual(self.list_not_leaving(), ["i1", "i2"])

    def test_a_newer_incarnation_of_a_removed_endpoint_applies_at_once(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2", born=50))
        self.assertEqual(self.list_not_leaving(), ["i1", "i2"])

    def test_a_previous_incarnation_does_not_apply(self):
        self.write(1, 82, 1.0, endpoints={"i2": build_record("i2", born=200)})
        self.restore(build_record("i1"), build_record("i2", born=100))
        self.assertEqual(self.directory.endpoints["i2"].born, 200)

    def test_a_drain_that_the_copy_lacks_stays_in_force(self):
        leaving = build_record("i2", leaving=True)
        self.write(1, 82, 1.0, endpoints={"i2": leaving})
        self.restore(build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_not_leaving(), ["i1"])
        self.write(2, 66, 21.0, endpoints={"i2": leaving})
        self.directory.apply_due_updates(RETURNED_AT + REVIVED_ENDPOINT_SECONDS)
        self.assertEqual(self.list_not_leaving(), ["i1"])

    def test_an_address_reused_after_the_copy(self):
        other = build_record("i3")
        self.write(1, 82, 1.0, endpoints={"i2": None, "i3": other})
        self.restore(build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_not_leaving(), ["i1", "i3"])

    def test_twice_in_a_row(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.write(2, 66, 24.0, endpoints={"i2": None})
        self.restore(build_record("i2"), era=3, now=30.0)
        self.assertEqual(self.list_not_leaving(), ["i1"])
        self.directory.apply_due_updates(30.0 + MISSING_ENDPOINT_SECONDS)
        self.assertEqual(self.list_not_leaving(), [])

    def test_changes_of_a_relay_move_followers_to_the_new_era(self):
        follower = Directory()
        follower.apply_snapshot(self.directory.build_snapshot(), 0.0)
        self.write(1, 82, 1.0, endpoints={"i2": None})
        follower.apply_changes(Changes(Position(1, 82), endpoints={"i2": None}), 1.0)
        before = self.directory.build_snapshot()
        self.restore(build_record("i1"), build_record("i2"), nodes=NODES)
        follower.apply_changes(
            find_changes(before, self.directory.build_snapshot()), RETURNED_AT
        )
        self.assertEqual(follower.position, Position(2, 65))
        self.assertEqual(list(follower.endpoints), ["i1"])


class EvacuationTests(RestoreCase):
    def test_a_lost_evacuation_stays_until_it_is_written_again(self):
        self.write(1, 82, 1.0, evacuated={"a": 82})
        self.restore()
        self.assertEqual(self.directory.evacuated, {"a": 82})
        self.write(2, 66, 21.0, evacuated={"a": 66})
        self.directory.apply_due_updates(RETURNED_AT + EVACUATION_DEFERRAL_SECONDS)
        self.assertEqual(self.directory.evacuated, {"a": 66})

    def test_a_lost_evacuation_ends_after_the_deferral(self):
        self.write(1, 82, 1.0, evacuated={"a": 82})
        self.restore()
        self.apply_snapshot(2, 66, RETURNED_AT + 1.0)
        self.assertEqual(self.directory.evacuated, {"a": 82})
        self.directory.apply_due_updates(RETURNED_AT + EVACUATION_DEFERRAL_SECONDS)
        self.assertEqual(self.directory.evacuated, {})

    def test_a_withdrawn_evacuation_does_not_start_again(self):
        self.write(1, 82, 1.0, evacuated={"a": 60})
        self.write(1, 83, 2.0, evacuated={"a": None})
        self.restore(evacuated={"a": 60})
        self.assertEqual(self.directory.evacuated, {})
        self.apply_snapshot(2, 66, RETURNED_AT + 1.0, evacuated={"a": 60})
        self.assertEqual(self.directory.evacuated, {})

    def test_an_evacuation_requested_after_the_return_applies(self):
        self.write(1, 82, 1.0, evacuated={"a": 60})
        self.write(1, 83, 2.0, evacuated={"a": None})
        self.restore(evacuated={"a": 60})
        self.write(2, 66, 21.0, evacuated={"a": 66})
        self.assertEqual(self.directory.evacuated, {"a": 66})


class NodeTests(RestoreCase):
    def test_the_fleet_keeps_its_size_after_a_restore(self):
        self.restore()
        self.assertEqual(self.directory.nodes, NODES)
        self.assertEqual(self.directory.unlisted, ("n1", "n2"))
        self.write(2, 66, 21.0, nodes={"n1": NODES["n1"]})
        self.assertEqual(self.directory.unlisted, ("n2",))
        self.directory.apply_due_updates(RETURNED_AT + MISSING_NODE_SECONDS)
        self.assertEqual(list(self.directory.nodes), ["n1"])

    def test_followers_know_which_entries_are_missing(self):
        follower = Directory()
        follower.apply_snapshot(self.directory.build_snapshot(), 0.0)
        before = self.directory.build_snapshot()
        self.restore()
        after = self.directory.build_snapshot()
        follower.apply_changes(find_changes(before, after), RETURNED_AT)
        self.assertEqual(follower.unlisted, ("n1", "n2"))
        generation = self.directory.generation
        self.write(2, 66, 21.0, nodes={"n1": NODES["n1"]})
        self.assertGreater(self.directory.generation, generation)
        follower.apply_changes(
            find_changes(after, self.directory.build_snapshot()), 21.0
        )
        self.assertEqual(follower.unlisted, ("n2",))

    def test_a_node_missing_within_an_era_is_removed(self):
        self.apply_snapshot(1, 82, 1.0, nodes={"n1": NODES["n1"]})
        self.assertEqual(list(self.directory.nodes), ["n1"])


class CostTests(RestoreCase):
    def test_removed_records_are_kept_for_a_minute(self):
        table = RecordTable()
        for number in range(200):
            table.update(f"i{number}", build_record("i"), None, number)
            table.update(f"i{number}", None, None, number)
        self.assertEqual(len(table.removed), 61)

    def test_a_restored_copy_of_known_records_changes_only_the_position(self):
        """The new era is published; no record is replaced."""
        before = self.directory.build_snapshot()
        self.restore(build_record("i1"), build_record("i2"), nodes=dict(NODES))
        changes = find_changes(before, self.directory.build_snapshot())
        self.assertEqual(changes, Changes(Position(2, 65)))
