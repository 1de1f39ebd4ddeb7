"""Tests of a node's view of evacuated data centres."""

import unittest

from hypothesis import given, strategies as st

from hingesill_core.configuration.services import SendBudget
from hingesill_core.discovery.assembly import ServiceRules, build_services
from hingesill_core.discovery.difference import find_changes
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    Changes,
    DeclaredConfiguration,
    DeclaredService,
    EndpointRecord,
    Snapshot,
)

RULES = ServiceRules(10.0, 10.0, SendBudget(0.0, 0.1, 8.0), 16)
DATA_CENTRES = ("a", "b", "c")


def build_directory():
    declared = DeclaredConfiguration(1, (DeclaredService("arena", "/health", 100),), ())
    endpoints = {
        f"i-{name}": EndpointRecord(f"i-{name}", "arena", "10.0.0.1:80", name, 2)
        for name in DATA_CENTRES
    }
    directory = Directory()
    directory.apply_snapshot(Snapshot(Position(0, 1), declared, endpoints), 0.0)
    return directory


def list_endpoints(directory):
    service = build_services(directory, RULES)["arena"]
    return [endpoint.identity for endpoint in service.endpoints]


class EvacuationTests(unittest.TestCase):
    def setUp(self):
        self.directory = build_directory()

    def evacuate(self, revision, **requested):
        self.directory.apply_changes(
            Changes(Position(0, revision), evacuated=requested), 0.0
        )

    def test_endpoints_are_left_out_until_withdrawal(self):
        self.evacuate(5, b=5)
        self.assertEqual(list_endpoints(self.directory), ["i-a", "i-c"])
        self.evacuate(9, b=None)
        self.assertEqual(list_endpoints(self.directory), ["i-a", "i-b", "i-c"])

    def test_each_change_is_published(self):
        before = self.directory.generation
        self.evacuate(5, b=5)
        self.assertGreater(self.directory.generation, before)

    def test_two_evacuations_at_once(self):
        self.evacuate(5, b=5)
        self.evacuate(6, c=6)
        self.assertEqual(list_endpoints(self.directory), ["i-a"])
        self.evacuate(7, b=None)
        self.assertEqual(list_endpoints(self.directory), ["i-a", "i-b"])

    def test_an_evacuation_withdrawn_and_requested_again(self):
        self.evacuate(5, b=5)
        self.evacuate(8, b=8)
        self.assertEqual(self.directory.evacuated, {"b": 8})

    def test_all_data_centres(self):
        self.evacuate(5, a=5, b=5, c=5)
        self.assertEqual(list_endpoints(self.directory), [])

    def test_an_unknown_data_centre(self):
        self.evacuate(5, nowhere=5)
        self.assertEqual(list_endpoints(self.directory), ["i-a", "i-b", "i-c"])

    def test_an_endpoint_added_during_an_evacuation_is_left_out(self):
        self.evacuate(5, b=5)
        record = EndpointRecord("i-new", "arena", "10.0.0.2:80", "b", 2)
        self.directory.apply_changes(
            Changes(Position(0, 6), endpoints={"i-new": record}), 0.0
        )
        self.assertEqual(list_endpoints(self.directory), ["i-a", "i-c"])

    def test_a_stale_read_does_not_end_it(self):
        self.evacuate(5, b=5)
        self.directory.apply_snapshot(build_directory().build_snapshot(), 0.0)
        self.assertEqual(self.directory.evacuated, {"b": 5})

    def test_a_later_read_ends_it(self):
        self.evacuate(5, b=5)
        self.directory.apply_snapshot(
            Snapshot(Position(0, 6), None, self.directory.endpoints), 0.0
        )
        self.assertEqual(self.directory.evacuated, {})

    def test_changes_include_evacuations(self):
        before = self.directory.build_snapshot()
        self.evacuate(5, b=5, c=5)
        self.evacuate(6, c=None)
        changes = find_changes(before, self.directory.build_snapshot())
        self.assertEqual(changes.evacuated, {"b": 5})
        after = self.directory.build_snapshot()
        self.evacuate(7, b=None)
        changes = find_changes(after, self.directory.build_snapshot())
        self.assertEqual(changes.evacuated, {"b": None})


@st.composite
def build_histories(draw):
    """Return the evacuated data centres after each revision, from 1 on."""
    states = [{}]
    for revision in range(2, draw(st.integers(2, 12)) + 2):
        state = dict(states[-1])
        name = draw(st.sampled_from(DATA_CENTRES))
        if state.pop(name, None) is None:
            state[name] = revision
        states.append(state)
    return states


class OrderTests(unittest.TestCase):
    @given(build_histories(), st.data())
    def test_evacuations_match_the_position_in_any_order_of_updates(self, states, data):
        """Applies stale and current reads and later changes in any order."""
        directory = build_directory()
        for _ in range(data.draw(st.integers(1, 10))):
            revision = data.draw(st.integers(1, len(states)))
            if data.draw(st.booleans()):
                read = Snapshot(Position(0, revision), evacuated=states[revision - 1])
                directory.apply_snapshot(read, 0.0)
            elif revision > directory.position.revision:
                known = Snapshot(directory.position, evacuated=directory.evacuated)
                reported = Snapshot(
                    Position(0, revision), evacuated=states[revision - 1]
                )
                directory.apply_changes(find_changes(known, reported), 0.0)
            self.assertEqual(
                directory.evacuated, states[directory.position.revision - 1]
            )
