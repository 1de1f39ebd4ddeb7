"""Tests of access control: TLS on the control port, tokens and their services."""

import json
import tempfile
import unittest
from pathlib import Path

from standins.fleet import Fleet

CERTIFICATES = Path(__file__).parent / "certificates"
CA = str(CERTIFICATES / "ca.pem")
CERTIFICATE = str(CERTIFICATES / "node.pem")
KEY = str(CERTIFICATES / "node.key")
DECLARATION = """
service: arena
endpoints: []
routes:
- {method: GET, path: /boards}
"""


class AccessCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.file = Path(folder.name) / "arena.yaml"
        self.file.write_text(DECLARATION)

    def apply(self, node, *arguments):
        return self.fleet.run_cli(node, "apply", "-f", self.file, *arguments)


class TlsTests(AccessCase):
    def setUp(self):
        super().setUp()
        files = {"tls_certificate": CERTIFICATE, "tls_key": KEY, "tls_ca": CA}
        names = {name.replace("_", "-"): path for name, path in files.items()}
        self.node = self.fleet.start_node("t1", **names)
        self.other = self.fleet.start_node("t2", "gva-a", **names)

    def test_client_certificate_is_accepted(self):
        client_files = (f"--ca={CA}", f"--certificate={CERTIFICATE}", f"--key={KEY}")
        applied = self.apply(self.node, *client_files)
        self.assertEqual(applied.returncode, 0, applied.stdout + applied.stderr)
        status = self.fleet.run_cli(self.other, "status", "--wait=8", *client_files)
        self.assertEqual(status.returncode, 0, status.stdout + status.stderr)

    def test_call_without_tls_is_refused(self):
        applied = self.apply(self.node)
        self.assertEqual(applied.returncode, 3)
        self.assertNotIn("Traceback", applied.stderr)


class TokenTests(AccessCase):
    def setUp(self):
        super().setUp()
        authors = {
            "ann": {"token": "a-token", "services": ["arena"]},
            "ben": {"token": "b-token", "services": ["ledger"]},
        }
        file = self.fleet.folder / "authors.json"
        file.write_text(json.dumps(authors))
        self.node = self.fleet.start_node(
            "t1", authoriser="tokens", **{"authors-file": str(file)}
        )

    def test_author_of_the_service(self):
        applied = self.apply(self.node, "--token=a-token")
        self.assertEqual(applied.returncode, 0, applied.stdout + applied.stderr)

    def test_author_of_another_service(self):
        self.assertEqual(self.apply(self.node, "--token=b-token").returncode, 6)

    def test_no_token(self):
        self.assertEqual(self.apply(self.node).returncode, 6)


class InvalidSettingsTests(unittest.TestCase):
    def test_unreadable_certificate(self):
        from hingesill_node.environment import load_settings

        findings = load_settings({"tls_certificate": "no-such.pem", "tls_key": KEY})
        self.assertIn("tls_certificate", str(next(iter(findings))))
