"""Tests of the changes between two snapshots."""

import unittest

from hingesill_core.discovery.difference import find_changes
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    Changes,
    DeclaredConfiguration,
    EndpointRecord,
    NodeRecord,
    Snapshot,
)


def build_endpoint(name, leaving=False):
    return EndpointRecord(name, "arena", "10.0.0.1:80", "a", 3, leaving)


class DifferenceTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        endpoints = {name: build_endpoint(name) for name in ("i1", "i2")}
        nodes = {"n1": NodeRecord("n1", "10.0.0.2:1", "a")}
        self.directory.apply_snapshot(
            Snapshot(
                Position(0, 3), DeclaredConfiguration(1, (), ()), endpoints, nodes
            ),
            0.0,
        )
        self.before = self.directory.build_snapshot()

    def find_changes_since_start(self):
        return find_changes(self.before, self.directory.build_snapshot())

    def test_nothing_changed(self):
        self.assertEqual(self.find_changes_since_start(), Changes(Position(0, 3)))

    def test_changes_lead_from_one_snapshot_to_the_other(self):
        gone = {"i1": None, "i2": build_endpoint("i2", True)}
        nodes = {"n2": NodeRecord("n2", "10.0.0.3:1", "a")}
        self.directory.apply_changes(
            Changes(Position(0, 5), DeclaredConfiguration(2, (), ()), gone, nodes), 0.0
        )
        other = Directory()
        other.apply_snapshot(self.before, 0.0)
        other.apply_changes(self.find_changes_since_start(), 0.0)
        self.assertEqual(other.build_snapshot(), self.directory.build_snapshot())

    def test_a_full_read_of_known_records_is_no_change(self):
        endpoints = {name: build_endpoint(name) for name in ("i1", "i2")}
        nodes = {
            "n1": NodeRecord("n1", "10.0.0.2:1", "a"),
            "n2": NodeRecord("n2", "10.0.0.3:1", "a"),
        }
        self.directory.apply_snapshot(
            Snapshot(Position(0, 4), None, endpoints, nodes), 0.0
        )
        self.assertEqual(
            self.find_changes_since_start(),
            Changes(Position(0, 4), nodes={"n2": nodes["n2"]}),
        )
