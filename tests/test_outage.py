"""Tests of nodes while the store is down or no other node is reachable."""

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
    def test_new_node_is_not_ready_in_isolation(self):
        self.fleet.set_store_faults(down=True)
        alone = self.fleet.start_node("alone", wait=False)
        time.sleep(3.0)
        self.assertIsNone(alone.process.poll())
        self.assertFalse(alone.is_ready())
        self.fleet.set_store_faults()
        wait_until(alone.is_ready, 10.0, "readiness once the store is back")

    def test_new_node_adopts_the_newest_configuration(self):
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
    def test_isolated_node_is_not_ready(self):
        settings = {"isolation-s": 1}
        alone = self.fleet.start_node("n1", **settings)
        other = self.fleet.start_node("n2", "gva-a", **settings)
        time.sleep(3.0)
        self.assertTrue(alone.is_ready())
        other.process.kill()
        self.fleet.set_store_faults(down=True)
        wait_until(
            lambda: not alone.is_ready(),
            12.0,
            "the isolated node reports that it is not ready",
        )
        self.fleet.set_store_faults()
        wait_until(alone.is_ready, 12.0, "readiness once the store is back")


class DrainTests(OutageCase):
    def test_drain_reaches_a_node_missing_from_the_list(self):
        """Both nodes are relays, which follow no node while the store is available."""
        first = self.fleet.start_node("n1")
        second = self.fleet.start_node("n2")
        self.fleet.nodes.pop("n2")
        self.fleet.put_list()
        [endpoint] = self.fleet.start_endpoints(1)
        file = self.fleet.folder / "arena.yaml"
        text = DECLARATION.format(timeout=1000)
        listed = f"[{{address: '{endpoint}', data_centre: lsn-a}}]"
        file.write_text(text.replace("endpoints: []", f"endpoints: {listed}"))
        self.assertEqual(self.fleet.run_cli(first, "apply", "-f", file).returncode, 0)
        time.sleep(3.5)  # The list without the second node takes effect.
        drained = self.fleet.run_cli(first, "drain", "arena", endpoint)
        self.assertEqual(drained.returncode, 0, drained.stderr)

        def is_drain_known():
            explanation = self.fleet.run_cli(second, "explain", "GET", "/boards")
            return "it is leaving" in explanation.stdout

        wait_until(is_drain_known, 6.0, "the drain notice at the second node")
