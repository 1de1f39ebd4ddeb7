"""Tests of reading settings again while the node runs."""

import unittest

from hingesill_core.findings import Findings
from hingesill_node.reload import Reloader
from hingesill_node.settings import Settings


class ReloadTests(unittest.TestCase):
    def setUp(self):
        self.applied = []
        self.found = Settings(name="n1")
        self.reloader = Reloader(Settings(name="n1"), lambda: self.found, self.apply)

    def apply(self, settings):
        self.applied.append(settings)
        return ["queue_limit"]

    def test_what_did_not_change_is_left_alone(self):
        self.reloader.review(asked=True)
        self.assertEqual(self.applied, [])

    def test_a_new_name_is_no_change(self):
        self.found = Settings(name="n2")
        self.reloader.review(asked=False)
        self.assertEqual(self.applied, [])

    def test_a_change_is_applied_once(self):
        self.found = Settings(name="n1", queue_limit=7)
        self.reloader.review(asked=False)
        self.reloader.review(asked=False)
        self.assertEqual([s.queue_limit for s in self.applied], [7])

    def test_settings_that_are_not_valid_leave_the_old_ones_in_force(self):
        findings = Findings()
        findings.add("boot.toml", "is no TOML")
        self.found = findings
        self.reloader.review(asked=True)
        self.assertEqual(self.applied, [])
        self.assertEqual(self.reloader.settings.name, "n1")
