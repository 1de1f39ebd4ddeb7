"""Tests that both commands report invalid input clearly, without a traceback."""

import os
import socket
import subprocess
import tempfile
import unittest
from pathlib import Path

from standins.fleet import BIN, EXAMPLES

UNREACHABLE = "--node=127.0.0.1:1"


def run(command, *arguments, **variables):
    """Run a command; return the finished process."""
    return subprocess.run(
        [str(BIN / command), *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **variables},
    )


class ValidateTests(unittest.TestCase):
    def validate(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "service.yaml"
            file.write_text(text)
            return run("hingesill", "validate", "-f", str(file))

    def test_examples_are_valid(self):
        for example in ("zugzwang", "harvest-log", "organisations"):
            with self.subTest(example=example):
                process = run("hingesill", "validate", "-f", str(EXAMPLES / example))
                self.assertEqual(process.returncode, 0, process.stderr)

    def test_all_findings_with_their_lines(self):
        process = self.validate(
            "service: Arena\n"
            "endpoints:\n"
            "- {address: nowhere, data_centre: lsn-a}\n"
            "routes:\n"
            "- {method: GET, path: boards}\n"
            "- {method: GET, path: /x, repeat: perhaps}\n"
            "colour: red\n"
        )
        self.assertEqual(process.returncode, 2)
        for place in (":1: service", ":3: endpoints.0.address", ":5: routes.0.path"):
            self.assertIn(place, process.stderr)
        self.assertIn(":6: routes.1.repeat", process.stderr)
        self.assertIn("colour", process.stderr)
        self.assertNotIn("Traceback", process.stderr)

    def test_broken_yaml(self):
        process = self.validate("service: [\n")
        self.assertEqual(process.returncode, 2)
        self.assertNotIn("Traceback", process.stderr)

    def test_missing_file(self):
        process = run("hingesill", "validate", "-f", "no-such-file.yaml")
        self.assertEqual(process.returncode, 2)
        self.assertIn("no-such-file.yaml", process.stderr)


class ClientTests(unittest.TestCase):
    def test_unreachable_node(self):
        for command in (("status",), ("get",), ("explain", "GET", "/x")):
            with self.subTest(command=command):
                process = run("hingesill", *command, UNREACHABLE)
                self.assertEqual(process.returncode, 3)
                self.assertIn("127.0.0.1:1", process.stderr)
                self.assertNotIn("Traceback", process.stderr)


class DaemonTests(unittest.TestCase):
    def check_refused(self, process, code, place):
        self.assertEqual(process.returncode, code, process.stderr)
        self.assertIn(place, process.stderr)
        self.assertNotIn("Traceback", process.stderr)

    def test_wrong_flag(self):
        self.check_refused(run("hingesilld", "--colour=red"), 2, "--colour")

    def test_wrong_value(self):
        process = run("hingesilld", "--fleet-limit=many", "--address=nowhere")
        self.check_refused(process, 2, "--fleet_limit")
        self.assertIn("--address", process.stderr)

    def test_wrong_variable(self):
        process = run("hingesilld", HINGESILL_COLOUR="red")
        self.check_refused(process, 2, "HINGESILL_COLOUR")

    def test_wrong_value_of_a_variable(self):
        process = run("hingesilld", HINGESILL_LOG_LEVEL="loud")
        self.check_refused(process, 2, "HINGESILL_LOG_LEVEL")

    def test_unknown_store(self):
        self.check_refused(run("hingesilld", "--store=ftp://x"), 2, "--store")

    def test_check_reports_all_findings(self):
        process = run("hingesilld", "--check", "--fleet-limit=many", "--colour=red")
        self.check_refused(process, 2, "--colour")
        process = run(
            "hingesilld", "--check", "--fleet-limit=many", "--address=nowhere"
        )
        self.check_refused(process, 2, "--fleet_limit")
        self.assertIn("--address", process.stderr)

    def test_check_of_valid_settings_starts_nothing(self):
        process = run("hingesilld", "--check", "--fleet-limit=18")
        self.assertEqual(process.returncode, 0, process.stderr)
        self.assertIn("valid", process.stdout)

    def test_port_in_use(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            process = run("hingesilld", f"--address={address}", "--store=memory://x")
        self.check_refused(process, 3, address)
