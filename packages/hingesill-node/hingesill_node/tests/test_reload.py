"""Tests of the reload of settings in a running node."""

import unittest

from hingesill_core.findings import Findings
from hingesill_node.reload import Reloader
from hingesill_node.settings import Settings


class ReloadTests(unittest.TestCase):
    def setUp(self):
        self.applied = []
        self.loaded = Settings(name="n1")
        self.reloader = Reloader(Settings(name="n1"), lambda: self.loaded, self.apply)

    def apply(self, settings):
        self.applied.append(settings)
        return ["queue_limit"]

    def test_unchanged_settings_are_not_applied(self):
        self.reloader.reload(requested=True)
        self.assertEqual(self.applied, [])

    def test_a_new_name_is_not_a_change(self):
        self.loaded = Settings(name="n2")
        self.reloader.reload(requested=False)
        self.assertEqual(self.applied, [])

    def test_a_change_is_applied_once(self):
        self.loaded = Settings(name="n1", queue_limit=7)
        self.reloader.reload(requested=False)
        self.reloader.reload(requested=False)
        self.assertEqual([s.queue_limit for s in self.applied], [7])

    def test_invalid_settings_leave_the_old_ones_in_force(self):
        findings = Findings()
        findings.add("boot.toml", "is no TOML")
        self.loaded = findings
        self.reloader.reload(requested=True)
        self.assertEqual(self.applied, [])
        self.assertEqual(self.reloader.settings.name, "n1")
