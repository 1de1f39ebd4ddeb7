"""Tests that a soak seed passes and that its checkers detect violated rules."""

import unittest

from soak.main import run_seed

# Faults: endpoint cut, silent and slow; store delayed; node killed.
SEED = 1


# A violated rule is detected only if a response is lost at the right moment, which no
# seed determines: this fault loses many responses, and several seeds are tried.
RESPONSE_FAULTS = ["answers spoiled"]
SEEDS = range(1, 6)


def is_detected(mutation):
    """Return whether one of the seeds detects a mutation."""
    return any(run_seed(seed, mutation, RESPONSE_FAULTS).violations for seed in SEEDS)


class SoakTests(unittest.TestCase):
    def test_seed_without_violations(self):
        finding = run_seed(SEED)
        self.assertEqual(finding.violations, [])
        self.assertGreater(finding.calls, 100)

    def test_repeated_move_is_detected(self):
        self.assertTrue(is_detected("repeats moves"))

    def test_false_not_run_is_detected(self):
        self.assertTrue(is_detected("lies about not run"))
