"""Tests of the probe budget: no schedule of holders, pauses and lapses breaks it."""

import unittest

from hypothesis import given, settings, strategies as st

from hingesill_core.configuration.services import ProbeBudget
from hingesill_core.probing.proberate import ProbeRateLimiter, compute_probe_rate
from hingesill_core.probing.probeshare import (
    MARGIN,
    PROBE_SHARE_TTL_SECONDS,
    PROBE_SHARES,
    ProbeShare,
)

STEP = 0.05


def build_budget(per_second, window=10.0, share=0.5):
    return ProbeBudget(per_second, window, share, 0.006, "/health")


class PaceTests(unittest.TestCase):
    def test_no_budget_no_probe(self):
        self.assertIsNone(compute_probe_rate(build_budget(0.0), 30))
        self.assertIsNone(compute_probe_rate(build_budget(0.1), 30))

    def test_capacity_share_bounds_too(self):
        generous = compute_probe_rate(build_budget(100.0), 30)
        tight = compute_probe_rate(build_budget(100.0, share=0.001), 30)
        self.assertLess(generous.interval / generous.shares, 1)
        self.assertGreater(tight.interval / tight.shares, generous.interval)

    def test_examples_get_probes(self):
        zugzwang = build_budget(2.0, share=0.005)
        harvest = build_budget(0.2, window=30.0, share=0.001)
        self.assertIsNotNone(compute_probe_rate(zugzwang, 30))
        self.assertIsNotNone(compute_probe_rate(harvest, 21))


class ShareTests(unittest.TestCase):
    def test_lease_counts_from_the_question(self):
        share = ProbeShare.acquire(0, "a", PROBE_SHARE_TTL_SECONDS, asked_at=100.0)
        self.assertTrue(share.is_held(100.0 + PROBE_SHARE_TTL_SECONDS - MARGIN - 0.5))
        self.assertFalse(share.is_held(100.0 + PROBE_SHARE_TTL_SECONDS - MARGIN))

    def test_new_holder_waits_an_interval(self):
        pace = compute_probe_rate(build_budget(2.0), 30)
        share = ProbeShare.acquire(0, "a", PROBE_SHARE_TTL_SECONDS, asked_at=0.0)
        pacer = ProbeRateLimiter()
        self.assertFalse(pacer.take(share, pace, pace.interval - 0.01))
        self.assertTrue(pacer.take(share, pace, pace.interval + 0.01))

    def test_shares_beyond_the_pace_do_not_probe(self):
        pace = compute_probe_rate(build_budget(0.6), 30)
        self.assertEqual(pace.shares, 1)
        share = ProbeShare.acquire(1, "a", PROBE_SHARE_TTL_SECONDS, asked_at=0.0)
        self.assertFalse(ProbeRateLimiter().take(share, pace, pace.interval + 1))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.sampled_from([(0.7, 10.0), (2.0, 10.0), (5.0, 10.0), (0.5, 30.0)]),
        st.lists(
            st.tuples(st.integers(0, PROBE_SHARES - 1), st.floats(0, 40)), max_size=40
        ),
        st.integers(0, 3),
    )
    def test_no_window_passes_the_budget(self, declared, replacements, paused):
        """Holders die and are replaced at any time; some wake up and send late."""
        budget = build_budget(*declared)
        pace = compute_probe_rate(budget, 300)
        sent = []
        for number in range(PROBE_SHARES):
            deaths = sorted(at for share, at in replacements if share == number)
            sent += self.run_share(number, deaths, pace, paused)
        sent.sort()
        allowed = budget.per_second * budget.window
        for index, start in enumerate(sent):
            window = [at for at in sent[index:] if at < start + budget.window]
            self.assertLessEqual(len(window), allowed)

    def run_share(self, number, deaths, pace, paused):
        """Return when the holders of one share send, for 60 seconds."""
        sent = []
        start = 0.0
        for death in [*deaths, 60.0]:
            if death < start:
                continue
            sent += self.run_holder(number, start, death, pace)
            if paused and number < pace.shares:
                sent.append(death + paused)  # Checked before the pause, sent after.
            start = death + PROBE_SHARE_TTL_SECONDS
        return sent

    def run_holder(self, number, start, death, pace):
        pacer = ProbeRateLimiter()
        share = ProbeShare.acquire(number, "a", PROBE_SHARE_TTL_SECONDS, start)
        sent = []
        now = start
        while now < death:
            share.renew(PROBE_SHARE_TTL_SECONDS, now)
            if pacer.take(share, pace, now):
                sent.append(now)
            now += STEP
        return sent
