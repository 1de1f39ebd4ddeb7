"""Tests of a store that comes back from an older copy of itself.

Each kind of record has two ways in which the copy is wrong: it lacks what was written
since, and it has what ended since.
"""

import unittest

from hypothesis import given, strategies as st

from hingesill_core.discovery.deferral import (
    COPY_WORD_SECONDS,
    EVACUATION_SECONDS,
    NODE_RETURN_SECONDS,
    RETURN_SECONDS,
)
from hingesill_core.discovery.difference import find_changes
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position, parse_position
from hingesill_core.discovery.records import Changes, NodeRecord, Snapshot
from hingesill_core.discovery.recordtable import RecordTable
from hingesill_core.discovery.tests.test_directory import build_declared, build_record

BACK = 20.0
NODES = {name: NodeRecord(name, f"10.0.0.{name[1]}:1", "a") for name in ("n1", "n2")}


def list_records(*records):
    return {record.instance: record for record in records}


class PositionTests(unittest.TestCase):
    def test_a_later_era_leads_whatever_its_revision(self):
        self.assertLess(Position(1, 81), Position(2, 65))
        self.assertLess(Position(2, 65), Position(2, 66))

    def test_a_text_is_read_back(self):
        self.assertEqual(parse_position(str(Position(3, 12))), Position(3, 12))
        for text in ("", "12", "a.b", "1.-2", "1.2.3"):
            with self.subTest(text=text):
                self.assertEqual(parse_position(text), Position())


class RestoreCase(unittest.TestCase):
    """A directory at revision 81 of era 1; the store comes back with 65."""

    def setUp(self):
        self.directory = Directory()
        self.adopt(1, 81, 0.0, build_record("i1"), build_record("i2"), nodes=NODES)

    def adopt(self, era, revision, now, *records, **fields):
        endpoints = list_records(*records)
        snapshot = Snapshot(Position(era, revision), endpoints=endpoints, **fields)
        return self.directory.adopt(snapshot, now)

    def write(self, era, revision, now, **fields):
        return self.directory.apply(Changes(Position(era, revision), **fields), now)

    def restore(self, *records, era=2, now=BACK, **fields):
        self.directory.record_return(now)
        self.assertTrue(self.adopt(era, 65, now, *records, **fields))


class DeclarationTests(RestoreCase):
    def setUp(self):
        super().setUp()
        self.write(1, 82, 1.0, declared=build_declared(24))

    def get_version(self):
        return self.directory.declared.version

    def test_one_that_was_accepted_stays_in_force_and_is_told_on(self):
        self.restore(declared=build_declared(21))
        self.assertEqual(self.get_version(), 24)
        self.assertEqual(self.directory.build_snapshot().declared.version, 24)

    def test_the_next_one_comes_into_force_under_an_old_revision(self):
        self.restore(declared=build_declared(21))
        self.assertTrue(self.write(2, 66, 21.0, declared=build_declared(27)))
        self.assertEqual(self.get_version(), 27)

    def test_one_written_again_with_other_content_is_taken(self):
        self.restore(declared=build_declared(21))
        other = build_declared(24, "another route")
        self.write(2, 66, 21.0, declared=other)
        self.assertEqual(self.directory.declared, other)

    def test_a_late_answer_of_the_era_before_changes_nothing(self):
        self.restore(declared=build_declared(21))
        self.assertFalse(self.adopt(1, 90, 21.0, declared=build_declared(30)))
        self.assertFalse(self.write(1, 91, 21.0, declared=build_declared(31)))
        self.assertEqual(self.get_version(), 24)

    def test_another_node_that_is_cut_off_tells_what_the_copy_lacks(self):
        fresh = Directory()
        fresh.adopt(Snapshot(Position(2, 65), build_declared(21)), 0.0)
        self.assertTrue(fresh.learn(self.directory.build_snapshot(), 0.0))
        self.assertEqual(fresh.declared.version, 24)
        self.assertEqual(fresh.position, Position(2, 65))
        self.assertFalse(fresh.learn(self.directory.build_snapshot(), 0.0))

    def test_a_store_without_eras_goes_by_revisions(self):
        directory = Directory()
        directory.adopt(Snapshot(Position(0, 81)), 0.0)
        self.assertFalse(directory.adopt(Snapshot(Position(0, 65)), 1.0))

    @given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 30)), max_size=20))
    def test_versions_only_grow(self, told):
        directory = Directory()
        seen = 0
        for number, (era, version) in enumerate(told):
            position = Position(era, number % 7)
            directory.adopt(Snapshot(position, build_declared(version)), 0.0)
            if directory.declared is not None:
                self.assertGreaterEqual(directory.declared.version, seen)
                seen = directory.declared.version


class EndpointTests(RestoreCase):
    def list_working(self):
        endpoints = self.directory.endpoints.values()
        return sorted(r.instance for r in endpoints if not r.leaving)

    def test_missing_ones_are_believed_until_they_must_be_back(self):
        self.restore(build_record("i1"))
        self.assertEqual(self.list_working(), ["i1", "i2"])
        self.directory.expire(BACK + RETURN_SECONDS)
        self.assertEqual(self.list_working(), ["i1"])

    def test_one_that_ended_since_gets_no_new_work(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_working(), ["i1"])
        # Another whole read repeats the copy's word; it is no news of the endpoint.
        self.adopt(2, 66, BACK + 1.0, build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_working(), ["i1"])
        self.write(2, 67, BACK + 4.0, endpoints={"i2": None})
        self.directory.expire(BACK + COPY_WORD_SECONDS)
        self.assertEqual(self.list_working(), ["i1"])

    def test_one_that_was_given_up_and_lives_is_believed_when_it_writes(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.write(2, 66, 21.0, endpoints={"i2": build_record("i2")})
        self.assertEqual(self.list_working(), ["i1", "i2"])

    def test_or_when_its_entry_stands_longer_than_that_of_a_dead_one(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.directory.expire(BACK + COPY_WORD_SECONDS)
        self.assertEqual(self.list_working(), ["i1", "i2"])

    def test_another_life_of_one_that_ended_is_believed_at_once(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2", born=50))
        self.assertEqual(self.list_working(), ["i1", "i2"])

    def test_the_life_before_is_not(self):
        self.write(1, 82, 1.0, endpoints={"i2": build_record("i2", born=200)})
        self.restore(build_record("i1"), build_record("i2", born=100))
        self.assertEqual(self.directory.endpoints["i2"].born, 200)

    def test_a_drain_that_was_said_holds(self):
        leaving = build_record("i2", leaving=True)
        self.write(1, 82, 1.0, endpoints={"i2": leaving})
        self.restore(build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_working(), ["i1"])
        self.write(2, 66, 21.0, endpoints={"i2": leaving})
        self.directory.expire(BACK + COPY_WORD_SECONDS)
        self.assertEqual(self.list_working(), ["i1"])

    def test_an_address_that_another_has_since(self):
        other = build_record("i3")
        self.write(1, 82, 1.0, endpoints={"i2": None, "i3": other})
        self.restore(build_record("i1"), build_record("i2"))
        self.assertEqual(self.list_working(), ["i1", "i3"])

    def test_twice_in_a_row(self):
        self.write(1, 82, 1.0, endpoints={"i2": None})
        self.restore(build_record("i1"), build_record("i2"))
        self.write(2, 66, 24.0, endpoints={"i2": None})
        self.restore(build_record("i2"), era=3, now=30.0)
        self.assertEqual(self.list_working(), ["i1"])
        self.directory.expire(30.0 + RETURN_SECONDS)
        self.assertEqual(self.list_working(), [])

    def test_what_a_relay_tells_leads_followers_along(self):
        follower = Directory()
        follower.adopt(self.directory.build_snapshot(), 0.0)
        self.write(1, 82, 1.0, endpoints={"i2": None})
        follower.apply(Changes(Position(1, 82), endpoints={"i2": None}), 1.0)
        before = self.directory.build_snapshot()
        self.restore(build_record("i1"), build_record("i2"), nodes=NODES)
        follower.apply(find_changes(before, self.directory.build_snapshot()), BACK)
        self.assertEqual(follower.position, Position(2, 65))
        self.assertEqual(list(follower.endpoints), ["i1"])


class EvacuationTests(RestoreCase):
    def test_one_asked_for_since_holds_until_it_is_written_again(self):
        self.write(1, 82, 1.0, evacuated={"a": 82})
        self.restore()
        self.assertEqual(self.directory.evacuated, {"a": 82})
        self.write(2, 66, 21.0, evacuated={"a": 66})
        self.directory.expire(BACK + EVACUATION_SECONDS)
        self.assertEqual(self.directory.evacuated, {"a": 66})

    def test_but_not_for_ever(self):
        self.write(1, 82, 1.0, evacuated={"a": 82})
        self.restore()
        self.adopt(2, 66, BACK + 1.0)
        self.assertEqual(self.directory.evacuated, {"a": 82})
        self.directory.expire(BACK + EVACUATION_SECONDS)
        self.assertEqual(self.directory.evacuated, {})

    def test_one_taken_back_since_does_not_begin_again(self):
        self.write(1, 82, 1.0, evacuated={"a": 60})
        self.write(1, 83, 2.0, evacuated={"a": None})
        self.restore(evacuated={"a": 60})
        self.assertEqual(self.directory.evacuated, {})
        self.adopt(2, 66, BACK + 1.0, evacuated={"a": 60})
        self.assertEqual(self.directory.evacuated, {})

    def test_one_asked_for_after_the_return_is_in_force(self):
        self.write(1, 82, 1.0, evacuated={"a": 60})
        self.write(1, 83, 2.0, evacuated={"a": None})
        self.restore(evacuated={"a": 60})
        self.write(2, 66, 21.0, evacuated={"a": 66})
        self.assertEqual(self.directory.evacuated, {"a": 66})


class NodeTests(RestoreCase):
    def test_the_fleet_is_not_taken_for_smaller(self):
        self.restore()
        self.assertEqual(self.directory.nodes, NODES)
        self.assertEqual(self.directory.unlisted, ("n1", "n2"))
        self.write(2, 66, 21.0, nodes={"n1": NODES["n1"]})
        self.assertEqual(self.directory.unlisted, ("n2",))
        self.directory.expire(BACK + NODE_RETURN_SECONDS)
        self.assertEqual(list(self.directory.nodes), ["n1"])

    def test_followers_know_whose_entries_are_missing(self):
        follower = Directory()
        follower.adopt(self.directory.build_snapshot(), 0.0)
        before = self.directory.build_snapshot()
        self.restore()
        told = self.directory.build_snapshot()
        follower.apply(find_changes(before, told), BACK)
        self.assertEqual(follower.unlisted, ("n1", "n2"))
        generation = self.directory.generation
        self.write(2, 66, 21.0, nodes={"n1": NODES["n1"]})
        self.assertGreater(self.directory.generation, generation)
        follower.apply(find_changes(told, self.directory.build_snapshot()), 21.0)
        self.assertEqual(follower.unlisted, ("n2",))

    def test_in_one_era_a_node_that_is_missing_is_gone(self):
        self.adopt(1, 82, 1.0, nodes={"n1": NODES["n1"]})
        self.assertEqual(list(self.directory.nodes), ["n1"])


class CostTests(RestoreCase):
    def test_what_ended_is_remembered_for_a_minute(self):
        beliefs = RecordTable()
        for number in range(200):
            beliefs.tell(f"i{number}", build_record("i"), None, number)
            beliefs.tell(f"i{number}", None, None, number)
        self.assertEqual(len(beliefs.ended), 61)

    def test_a_read_that_repeats_what_is_known_changes_little(self):
        """The era is told on; no record is replaced."""
        before = self.directory.build_snapshot()
        self.restore(build_record("i1"), build_record("i2"), nodes=dict(NODES))
        changes = find_changes(before, self.directory.build_snapshot())
        self.assertEqual(changes, Changes(Position(2, 65)))
