"""Tests of nodes while the store is away or nobody can be reached."""

import signal
import tempfile
import time
import unittest
from pathlib import Path

from standins.fleet import Fleet, wait_until

DECLARATION = """
service: arena
endpoints: []
routes:
- {{method: GET, path: /boards, timeout_ms: {timeout}}}
"""


class OutageCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()

    def apply(self, node, timeout):
        file = self.fleet.folder / "arena.yaml"
        file.write_text(DECLARATION.format(timeout=timeout))
        return self.fleet.run_cli(node, "apply", "-f", file)


class StartTests(OutageCase):
    def test_new_node_is_not_ready_without_anybody(self):
        self.fleet.set_store_faults(down=True)
        alone = self.fleet.start_node("alone", wait=False)
        time.sleep(3.0)
        self.assertIsNone(alone.process.poll())
        self.assertFalse(alone.is_ready())
        self.fleet.set_store_faults()
        wait_until(alone.is_ready, 10.0, "readiness once the store is back")

    def test_new_node_takes_the_newest_of_several(self):
        nodes = [self.fleet.start_node(f"n{number}") for number in range(4)]
        self.assertEqual(self.apply(nodes[0], 1000).returncode, 0)
        self.fleet.run_cli(nodes[0], "status", "--wait=5")
        for node in nodes[1:]:
            node.process.send_signal(signal.SIGSTOP)
        self.assertEqual(self.apply(nodes[0], 2000).returncode, 0)
        self.fleet.set_store_faults(down=True)
        for node in nodes[1:]:
            node.process.send_signal(signal.SIGCONT)
        fresh = self.fleet.start_node("fresh", wait=False)
        wait_until(fresh.is_ready, 15.0, "readiness of the new node")
        self.assertIn("timeout_ms: 2000", self.fleet.run_cli(fresh, "get").stdout)


class IsolationTests(OutageCase):
    def test_node_that_hears_nobody_is_not_ready(self):
        settings = {"isolation-s": 1}
        alone = self.fleet.start_node("n1", **settings)
        other = self.fleet.start_node("n2", "gva-a", **settings)
        time.sleep(3.0)
        self.assertTrue(alone.is_ready())
        other.process.kill()
        self.fleet.set_store_faults(down=True)
        wait_until(lambda: not alone.is_ready(), 12.0, "the sign of a lone node")
        self.fleet.set_store_faults()
        wait_until(alone.is_ready, 12.0, "readiness once the store is back")
