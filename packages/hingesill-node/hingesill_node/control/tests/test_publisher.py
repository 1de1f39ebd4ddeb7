"""Tests of the configuration that the control thread builds for the hub."""

import json
import unittest
from types import SimpleNamespace

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.configuration.log import Entry, ServiceChange
from hingesill_core.configuration.state import Replica
from hingesill_core.membership.vms import Membership, Vm
from hingesill_core.organisations.organisation import digest_key
from hingesill_node.control.publisher import Publisher, list_others, list_peers
from hingesill_node.control.replicator import UPDATE_FORMAT, Replicator
from hingesill_node.listeners import split_address


def build_document(name, *keys):
    fields = {"organisation": name, "rank": None, "rate": 5, "burst": 0, "routes": []}
    return json.dumps({**fields, "key_digests": [digest_key(key) for key in keys]})


class OrganisationTests(unittest.TestCase):
    def setUp(self):
        self.replica = Replica()
        self.publisher = Publisher(None, None, 1)

    def build(self, **documents):
        changes = tuple(
            ServiceChange(f"organisation:{name}", document)
            for name, document in documents.items()
        )
        revision = self.replica.revision + 1
        self.replica.apply(
            Entry(revision, self.replica.chain, f"o{revision}", "a", changes)
        )
        return self.publisher._build_configuration(self.replica)

    def test_services_alone_need_no_keys(self):
        configuration = self.build()
        self.assertIsNone(configuration.organisations)
        self.assertIsNone(configuration.keys)

    def test_organisations_and_keys(self):
        configuration = self.build(a=build_document("a", "k1"), b=build_document("b"))
        self.assertEqual(configuration.keys.find(digest_key("k1")).name, "a")
        self.assertEqual(list(configuration.organisations), ["a", "b"])
        self.assertEqual(configuration.services, {})
        table = configuration.keys
        self.assertIs(self.build().keys, table)
        self.assertIsNot(self.build(a=build_document("a", "k2")).keys, table)

    def test_removing_the_last_organisation_does_not_open_the_routes(self):
        self.build(a=build_document("a", "k1"))
        configuration = self.build(a=None)
        self.assertEqual(configuration.organisations, {})
        self.assertIsNone(configuration.keys.find(digest_key("k1")))

    def test_an_invalid_document_changes_nothing(self):
        self.build(a=build_document("a", "k1"))
        with self.assertLogs(level="ERROR") as logs:
            configuration = self.build(a='{"keys": ["k1-secret"]}')
        self.assertNotIn("k1-secret", str(logs.output))
        self.assertEqual(configuration.keys.find(digest_key("k1")).name, "a")


class OthersTests(unittest.TestCase):
    """Guards against two coordinators of a quota, which each grant the whole rate."""

    def test_a_node_that_does_not_answer_is_listed(self):
        vms = [Vm(f"n{n}", f"10.0.0.{n}:80", "a") for n in (1, 2, 3)]
        membership = Membership(vms[0])
        membership.replace_vms(vms)
        membership.mark_unreachable("n2", 5.0)
        state = SimpleNamespace(own=vms[0], membership=membership, clock=lambda: 5.0)
        self.assertEqual(len(list_peers(state)), 1)
        others = list_others(state)
        self.assertEqual([port for _, port in others], [80, 80])
        self.assertEqual(len(set(others)), 2)

    def test_nodes_that_see_different_nodes_answer_have_the_same_list(self):
        vms = [Vm(f"n{n}", f"10.0.0.{n}:80", "a") for n in (1, 2, 3)]
        lists = []
        for own, silent in ((vms[0], "n2"), (vms[1], "n3"), (vms[2], "n1")):
            membership = Membership(own)
            membership.replace_vms(vms)
            membership.mark_unreachable(silent, 5.0)
            state = SimpleNamespace(own=own, membership=membership, clock=lambda: 5.0)
            lists.append({split_address(own.control), *list_others(state)})
        self.assertEqual(lists[0], lists[1])
        self.assertEqual(lists[0], lists[2])


class EarlierBuildTests(unittest.TestCase):
    """A node that holds some services would get no organisations from such a parent."""

    def test_it_is_asked_for_everything(self):
        state = SimpleNamespace(interests=frozenset({"arena"}))
        replicator = Replicator(state, None, None, None)
        for number, leaves in ((0, True), (0, False), (UPDATE_FORMAT, True)):
            update = pb.Update(format=number)
            self.assertEqual(replicator._found_other_build(update, "n1"), leaves)
            self.assertEqual("n1" in replicator.earlier_builds, number == 0)
