"""Tests with real processes of organisations that are declared in files."""

import tempfile
import unittest
from pathlib import Path

import urllib3

from standins.fleet import Fleet, wait_until

KEY = "secret-of-acme"
SERVICE = """
service: arena
endpoints: [{{address: '{endpoint}', data_centre: lsn-a}}]
routes:
- {{method: GET, path: /boards, repeat: repeatable, timeout_ms: 1500}}
- {{method: GET, path: /news, repeat: repeatable, timeout_ms: 1500, public: true}}
"""
ORGANISATION = """
organisation: {name}
keys: [{key}]
rate: 60
burst: 30
"""


class OrganisationTests(unittest.TestCase):
    """Declared by one node, in force at another that holds some services only."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        (endpoint,) = self.fleet.start_endpoints(1, 1.0)
        self.node = self.fleet.start_node("n1")
        self.other = self.fleet.start_node("n2", "gva-a", services="arena")
        self.file = Path(folder.name) / "declarations.yaml"
        self.service = SERVICE.format(endpoint=endpoint)

    def apply(self, *organisations, options=()):
        texts = [ORGANISATION.format(name=name, key=key) for name, key in organisations]
        self.file.write_text("---".join([self.service, *texts]))
        return self.fleet.run_cli(self.node, "apply", "-f", self.file, *options)

    def get_status(self, node, path, key=""):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        url = f"http://{node.address}{path}"
        response = urllib3.request("GET", url, headers=headers, retries=False)
        return response.status

    def wait_for_status(self, status, path, key=""):
        for node in (self.node, self.other):
            wait_until(
                lambda: self.get_status(node, path, key) == status, 8, f"{status}"
            )

    def test_organisations_of_a_fleet(self):
        self.assertEqual(self.apply().returncode, 0)
        self.wait_for_status(200, "/boards")
        checked = self.apply(("acme", KEY), options=["--check"])
        self.assertEqual(checked.returncode, 0, checked.stderr)
        self.assertIn("organisation:acme: create", checked.stdout)
        self.assertEqual(self.get_status(self.node, "/boards"), 200)

        self.assertEqual(self.apply(("acme", KEY)).returncode, 0)
        self.wait_for_status(401, "/boards")
        self.wait_for_status(200, "/boards", KEY)
        self.wait_for_status(200, "/news")
        self.wait_for_status(401, "/boards", f"{KEY}x")

        for options in ((), ("--check",)):
            refused = self.apply(("rival", KEY), options=options)
            self.assertEqual(refused.returncode, 2)
            self.assertIn("is also a key of acme", refused.stderr)
            self.assertNotIn(KEY, refused.stderr + refused.stdout)

        table = self.fleet.run_cli(
            self.node, "tenants", self.node.admin, self.other.admin
        )
        self.assertEqual(table.returncode, 0, table.stderr)
        row = table.stdout.splitlines()[1].split()
        self.assertEqual(row[:3], ["acme", "60", "30"])

        removed = self.fleet.run_cli(self.node, "remove", "organisation:acme")
        self.assertEqual(removed.returncode, 0, removed.stderr)
        self.wait_for_status(401, "/boards", KEY)
        self.check_that_no_key_left_the_command()

    def check_that_no_key_left_the_command(self):
        """Check the logs, the admin pages and the documents of both nodes."""
        texts = [self.fleet.run_cli(self.node, "get").stdout]
        for node in (self.node, self.other):
            texts.append(node.log.read_text())
            for page in ("organisations", "metrics"):
                url = f"http://{node.admin}/{page}"
                texts.append(urllib3.request("GET", url).data.decode())
        self.assertIn("service: arena", texts[0])
        self.assertNotIn(KEY, "".join(texts))
