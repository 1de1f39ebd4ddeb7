"""Tests of a node's view of declarations, endpoints and nodes."""

import unittest

from hypothesis import given, strategies as st

from hingesill_core.configuration.services import Route, SendBudget, WeightedService
from hingesill_core.discovery.assembly import ServiceRules, build_services
from hingesill_core.discovery.deferral import MISSING_ENDPOINT_SECONDS
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    Changes,
    DeclaredConfiguration,
    DeclaredService,
    EndpointRecord,
    NodeRecord,
    Snapshot,
)

RULES = ServiceRules(10.0, 10.0, SendBudget(0.0, 0.1, 8.0), 16)


def build_record(instance, **values):
    fields = {"service": "arena", "address": "10.0.0.1:80", "data_centre": "a"}
    return EndpointRecord(instance=instance, slots=3, **{**fields, **values})


def build_declared(version, *routes):
    services = (DeclaredService("arena", "/health", 100),)
    return DeclaredConfiguration(version, services, routes)


def build_snapshot(revision, *instances, declared=None):
    return Snapshot(
        Position(0, revision), declared, {i: build_record(i) for i in instances}
    )


class AdoptTests(unittest.TestCase):
    def test_a_stale_read_changes_nothing(self):
        directory = Directory()
        directory.apply_snapshot(build_snapshot(10, "i1"), 0.0)
        self.assertFalse(directory.apply_snapshot(build_snapshot(9, "i1", "i2"), 1.0))
        self.assertEqual(list(directory.endpoints), ["i1"])

    def test_an_older_declaration_never_replaces_a_newer_one(self):
        directory = Directory()
        directory.apply_snapshot(Snapshot(Position(0, 10), build_declared(7)), 0.0)
        directory.apply_changes(Changes(Position(0, 11), build_declared(6)), 1.0)
        self.assertEqual(directory.declared.version, 7)

    def test_entries_missing_from_a_read_are_removed(self):
        directory = Directory()
        directory.apply_snapshot(build_snapshot(10, "i1", "i2"), 0.0)
        directory.apply_snapshot(build_snapshot(11, "i2"), 1.0)
        self.assertEqual(list(directory.endpoints), ["i2"])

    @given(st.lists(st.integers(1, 30), max_size=20))
    def test_versions_only_grow(self, versions):
        directory = Directory()
        seen = 0
        for revision, version in enumerate(versions, 1):
            directory.apply_changes(
                Changes(Position(0, revision), build_declared(version)), 0.0
            )
            self.assertGreaterEqual(directory.declared.version, seen)
            seen = directory.declared.version


class OutageTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.directory.apply_snapshot(build_snapshot(10, "i1", "i2"), 0.0)
        self.directory.record_return(20.0)

    def test_removal_of_a_lapsed_entry_is_deferred(self):
        self.directory.apply_snapshot(build_snapshot(12, "i1"), 20.0)
        self.assertEqual(sorted(self.directory.endpoints), ["i1", "i2"])
        self.assertEqual(
            self.directory.apply_due_updates(20.0 + MISSING_ENDPOINT_SECONDS / 2), []
        )
        self.assertEqual(
            self.directory.apply_due_updates(20.0 + MISSING_ENDPOINT_SECONDS), ["i2"]
        )
        self.assertEqual(list(self.directory.endpoints), ["i1"])

    def test_an_entry_written_again_stays(self):
        self.directory.apply_snapshot(build_snapshot(12, "i1"), 20.0)
        self.directory.apply_changes(
            Changes(Position(0, 13), None, {"i2": build_record("i2")}), 21.0
        )
        self.assertEqual(self.directory.apply_due_updates(30.0), [])
        self.assertIn("i2", self.directory.endpoints)

    def test_removal_of_a_leaving_endpoint_is_not_deferred(self):
        leaving = build_record("i2", leaving=True)
        self.directory.apply_changes(
            Changes(Position(0, 12), None, {"i2": leaving}), 20.0
        )
        self.directory.apply_changes(Changes(Position(0, 13), None, {"i2": None}), 20.5)
        self.assertNotIn("i2", self.directory.endpoints)

    def test_a_removal_long_after_the_return_applies_at_once(self):
        now = 20.0 + MISSING_ENDPOINT_SECONDS + 0.1
        self.directory.apply_changes(Changes(Position(0, 12), None, {"i2": None}), now)
        self.assertNotIn("i2", self.directory.endpoints)


class AssemblyTests(unittest.TestCase):
    def test_leaving_endpoints_are_left_out(self):
        directory = Directory(declared=build_declared(1))
        records = [build_record("i1"), build_record("i2", leaving=True)]
        directory.apply_changes(
            Changes(Position(0, 1), None, {r.instance: r for r in records}), 0.0
        )
        service = build_services(directory, RULES)["arena"]
        self.assertEqual([e.identity for e in service.endpoints], ["i1"])

    def test_instances_at_one_address_are_separate_endpoints(self):
        directory = Directory(declared=build_declared(1))
        records = [build_record("i1"), build_record("i2")]
        directory.apply_changes(
            Changes(Position(0, 1), None, {r.instance: r for r in records}), 0.0
        )
        service = build_services(directory, RULES)["arena"]
        self.assertEqual([e.identity for e in service.endpoints], ["i1", "i2"])

    def test_weighted_services_share_by_weight(self):
        parts = (WeightedService("arena", 90), WeightedService("ledger", 10))
        route = Route("", "", "/a/", True, True, 1.0, parts=parts)

        class Rng:
            def choices(self, found, weights):
                self.weights = weights
                return [found[1]]

        rng = Rng()
        self.assertEqual(route.choose_service(rng), "ledger")
        self.assertEqual(rng.weights, [90, 10])


class NodeTests(unittest.TestCase):
    def test_nodes_are_added_and_removed(self):
        directory = Directory()
        node = NodeRecord("n1", "10.0.0.9:7000", "a")
        directory.apply_changes(Changes(Position(0, 1), None, {}, {"n1": node}), 0.0)
        self.assertEqual(directory.nodes, {"n1": node})
        directory.apply_changes(Changes(Position(0, 2), None, {}, {"n1": None}), 0.0)
        self.assertEqual(directory.nodes, {})
