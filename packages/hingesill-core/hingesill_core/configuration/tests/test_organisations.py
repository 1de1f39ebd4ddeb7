"""Tests of the declarations of organisations, in files and in the change log."""

import json
import tempfile
import unittest
from pathlib import Path

from hingesill_core.configuration.declaration import (
    ServiceDeclaration,
    build_service,
)
from hingesill_core.configuration.files import load_declarations
from hingesill_core.configuration.log import Entry, ServiceChange
from hingesill_core.configuration.organisations import (
    OrganisationDeclaration,
    build_organisation,
    find_key_conflicts,
    parse_organisation,
)
from hingesill_core.configuration.routes import find_route_conflicts
from hingesill_core.configuration.state import Replica
from hingesill_core.findings import Findings
from hingesill_core.organisations.organisation import Organisation, digest_key

KEY = "secret-of-acme"
ROUTES = [{"method": "GET", "path": "/boards"}]


def build_document(name, *keys):
    fields = {"organisation": name, "rank": None, "rate": 0, "burst": 0, "routes": []}
    return json.dumps({**fields, "key_digests": [digest_key(key) for key in keys]})


class FileTests(unittest.TestCase):
    """Each fault has its file and line, and no message has a key."""

    def load(self, *texts):
        with tempfile.TemporaryDirectory() as folder:
            for number, text in enumerate(texts):
                (Path(folder) / f"{number}.yaml").write_text(text)
            declarations, findings = load_declarations(folder)
            return declarations, [str(f).removeprefix(f"{folder}/") for f in findings]

    def test_keys_are_replaced_by_digests(self):
        declarations, findings = self.load(
            f"organisation: acme\nkeys: [{KEY}]\nrank: 1\nrate: 60\nburst: 9.5\n"
        )
        self.assertEqual(findings, [])
        self.assertNotIn(KEY, repr(declarations))
        document = declarations[0].encode_document()
        built = build_organisation(parse_organisation(document, Findings()))
        self.assertEqual(built, Organisation("acme", (digest_key(KEY),), 1, 60.0, 9.5))
        by_digest = f"organisation: acme\nkey_digests: [{digest_key(KEY)}]\n"
        by_digest += "rank: 1\nrate: 60\nburst: 9.5\n"
        self.assertEqual(self.load(by_digest)[0][0].encode_document(), document)

    def test_place_of_each_fault(self):
        other = f"organisation: other\nkeys: [{KEY}]\n"
        for text, place in (
            ("rate: -1", "1.yaml:3: rate"),
            ("rate: .nan", "1.yaml:3: rate"),
            ("burst: .inf", "1.yaml:3: burst"),
            ("rank: 1.5", "1.yaml:3: rank"),
            (f"keys: {KEY}-x", "1.yaml:3: keys"),
            (f"keys:\n- a\n- {KEY} x", "1.yaml:5: keys.1"),
            (f"keys:\n- a\n- {{{KEY}: x}}", "1.yaml:5: keys.1"),
            (f"keys:\n- a\n- {KEY}", "1.yaml:5: keys.1: is also a key of other"),
            ("keys:\n- a\n- a", "1.yaml:5: keys.1: is declared twice"),
            (f"key_digests: [{KEY}]", "1.yaml:3: key_digests.0"),
            (f"{KEY}: x", "1.yaml:3: unknown field"),
            (f"keys: [*{KEY}]", "1.yaml:3: found undefined alias"),
            (f"keys: [!{KEY} x]", "1.yaml:3: could not determine a constructor"),
            ("keys: [2001-99-99]", "1.yaml: a value has an invalid form"),
            ("---\norganisation: acme", "1.yaml:4: the organisation acme is declared"),
        ):
            with self.subTest(text=text):
                _, findings = self.load(other, f"organisation: acme\n\n{text}\n")
                self.assertEqual(len(findings), 1, findings)
                self.assertTrue(findings[0].startswith(place), findings[0])
                self.assertNotIn(KEY, findings[0])

    def test_name(self):
        for name in ("a b", "a/b", "''", "5:6", "x" * 64):
            with self.subTest(name=name):
                _, findings = self.load(f"organisation: {name}\n")
                self.assertIn("0.yaml:1: organisation", findings[0])


class DocumentTests(unittest.TestCase):
    def test_keys_and_missing_fields_are_refused(self):
        whole = json.loads(build_document("acme", KEY))
        for change in ({"keys": [KEY]}, {KEY: 1}, {"routes": ["x"]}, {"rate": "fast"}):
            with self.subTest(change=change):
                findings = Findings()
                content = json.dumps({**whole, **change})
                self.assertIsNone(parse_organisation(content, findings))
                self.assertNotIn(KEY, str(list(findings)))
        for name in whole:
            with self.subTest(missing=name):
                content = {n: value for n, value in whole.items() if n != name}
                parsed = parse_organisation(json.dumps(content), Findings())
                self.assertIsNone(parsed)

    def test_earlier_builds_can_read_the_routes_of_every_document(self):
        """They read document["routes"] of all documents when they accept a change."""
        document = OrganisationDeclaration(organisation="acme").encode_document()
        self.assertEqual(json.loads(document)["routes"], [])


class ConflictTests(unittest.TestCase):
    def find(self, *changes):
        replica = Replica()
        held = ServiceChange("organisation:acme", build_document("acme", KEY))
        replica.apply(Entry(1, replica.chain, "o", "a", (held,)))
        changes = tuple(ServiceChange(f"organisation:{n}", d) for n, d in changes)
        self.assertFalse(find_route_conflicts(replica, changes))
        return [str(finding) for finding in find_key_conflicts(replica, changes)]

    def test_key_of_another_organisation(self):
        self.assertEqual(
            self.find(("b", build_document("b", "x", KEY))),
            ["organisation:b.key_digests.1: is also a key of acme"],
        )

    def test_key_twice(self):
        found = self.find(("b", build_document("b", "x", "x")))
        self.assertEqual(found, ["organisation:b.key_digests.1: is declared twice"])

    def test_a_key_moves_in_one_change(self):
        moved = ("b", build_document("b", KEY))
        self.assertEqual(self.find(("acme", build_document("acme")), moved), [])
        self.assertEqual(self.find(("acme", None), moved), [])

    def test_members_of_a_filtered_difference(self):
        """A node that holds some services must know of all organisations."""
        replica = Replica()
        names = ("organisation:a", "arena", "ledger")
        changes = tuple(ServiceChange(name, "{}") for name in names)
        replica.apply(Entry(1, replica.chain, "o", "a", changes))
        difference = replica.build_difference(0, {"arena"})
        self.assertEqual(list(difference.services), ["organisation:a", "arena"])


class ServiceFieldTests(unittest.TestCase):
    """Nodes of earlier builds reject declarations with fields that they don't know."""

    def build(self, public, overload):
        content = {"service": "arena", "endpoints": [], "overload": overload}
        content["routes"] = [{**ROUTES[0], "public": public}]
        return ServiceDeclaration.model_validate(content)

    def test_defaults_are_omitted(self):
        document = json.loads(self.build(False, "queue").encode_document())
        self.assertNotIn("overload", document)
        self.assertNotIn("public", document["routes"][0])

    def test_values_that_are_set(self):
        declaration = self.build(True, "refuse-early")
        document = declaration.encode_document()
        again = ServiceDeclaration.model_validate_json(document)
        self.assertEqual(again, declaration)
        service = build_service(again)
        self.assertTrue(service.early_refusal and service.routes[0].public)
        service = build_service(self.build(False, "queue"))
        self.assertFalse(service.early_refusal or service.routes[0].public)
