"""Tests of the admin address's page of organisations."""

import json
import unittest

from hingesill_core.organisations.organisation import Organisation, digest_key
from hingesill_core.routing.fleetview import FleetView
from hingesill_node.admin import AdminApplication
from hingesill_node.blackboard import Blackboard, Configuration
from hingesill_node.organisations import OrganisationFigures


class PageTests(unittest.TestCase):
    def read(self, organisations, figures=None):
        blackboard = Blackboard(FleetView("a", 1, 1))
        blackboard.configuration = Configuration(7, organisations=organisations)
        arguments = [lambda: figures] if figures else []
        application = AdminApplication(blackboard, None, None, "/ready", *arguments)
        statuses = []
        body = application(
            {"PATH_INFO": "/organisations"}, lambda status, _: statuses.append(status)
        )
        self.assertEqual(statuses, ["200 OK"])
        return b"".join(body).decode()

    def test_organisations_with_figures_but_without_keys(self):
        digest = digest_key("secret")
        acme = Organisation("acme", (digest,), 1, 60.0, 30.0)
        body = self.read({"acme": acme}, {"acme": OrganisationFigures(2.5, 1, 3, "n1")})
        self.assertNotIn(digest, body)
        (entry,) = json.loads(body)["organisations"]
        self.assertEqual(entry["rate"], 60.0)
        expected = {"used": 2.5, "refused": 1, "waiting": 3, "coordinator": "n1"}
        self.assertEqual(entry["figures"], expected)

    def test_without_figures(self):
        (entry,) = json.loads(self.read({"b": Organisation("b")}))["organisations"]
        self.assertIsNone(entry["figures"])

    def test_no_organisations_differ_from_an_empty_table(self):
        self.assertIsNone(json.loads(self.read(None))["organisations"])
        self.assertEqual(json.loads(self.read({}))["organisations"], [])
