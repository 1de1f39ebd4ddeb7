"""Tests of the probe budget under replaced, paused and expired holders."""

import unittest

from hypothesis import given, settings, strategies as st

from hingesill_core.configuration.services import ProbeBudget
from hingesill_core.probing.proberate import ProbeRateLimiter, compute_probe_rate
from hingesill_core.probing.probeshare import (
    MARGIN_SECONDS,
    PROBE_SHARE_TTL_SECONDS,
    PROBE_SHARES,
    ProbeShare,
)

STEP_SECONDS = 0.05


def build_budget(per_second, window=10.0, share=0.5):
    return ProbeBudget(per_second, window, share, 0.006, "/health")


class ProbeRateTests(unittest.TestCase):
    def test_no_rate_without_budget(self):
        self.assertIsNone(compute_probe_rate(build_budget(0.0), 30))
        self.assertIsNone(compute_probe_rate(build_budget(0.1), 30))

    def test_capacity_share_limits_the_rate(self):
        generous = compute_probe_rate(build_budget(100.0), 30)
        tight = compute_probe_rate(build_budget(100.0, share=0.001), 30)
        self.assertLess(generous.interval / generous.shares, 1)
        self.assertGreater(tight.interval / tight.shares, generous.interval)

    def test_example_services_get_probes(self):
        zugzwang = build_budget(2.0, share=0.005)
        harvest = build_budget(0.2, window=30.0, share=0.001)
        self.assertIsNotNone(compute_probe_rate(zugzwang, 30))
        self.assertIsNotNone(compute_probe_rate(harvest, 21))


class ProbeShareTests(unittest.TestCase):
    def test_lease_counts_from_the_request(self):
        share = ProbeShare.acquire(0, "a", PROBE_SHARE_TTL_SECONDS, requested_at=100.0)
        self.assertTrue(
            share.is_held(100.0 + PROBE_SHARE_TTL_SECONDS - MARGIN_SECONDS - 0.5)
        )
        self.assertFalse(
            share.is_held(100.0 + PROBE_SHARE_TTL_SECONDS - MARGIN_SECONDS)
        )

    def test_new_holder_waits_an_interval(self):
        probe_rate = compute_probe_rate(build_budget(2.0), 30)
        share = ProbeShare.acquire(0, "a", PROBE_SHARE_TTL_SECONDS, requested_at=0.0)
        limiter = ProbeRateLimiter()
        self.assertFalse(
            limiter.try_acquire(share, probe_rate, probe_rate.interval - 0.01)
        )
        self.assertTrue(
            limiter.try_acquire(share, probe_rate, probe_rate.interval + 0.01)
        )

    def test_shares_beyond_the_rate_do_not_probe(self):
        probe_rate = compute_probe_rate(build_budget(0.6), 30)
        self.assertEqual(probe_rate.shares, 1)
        share = ProbeShare.acquire(1, "a", PROBE_SHARE_TTL_SECONDS, requested_at=0.0)
        self.assertFalse(
            ProbeRateLimiter().try_acquire(share, probe_rate, probe_rate.interval + 1)
        )

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.sampled_from([(0.7, 10.0), (2.0, 10.0), (5.0, 10.0), (0.5, 30.0)]),
        st.lists(
            st.tuples(st.integers(0, PROBE_SHARES - 1), st.floats(0, 40)), max_size=40
        ),
        st.integers(0, 3),
    )
    def test_no_window_exceeds_the_budget(self, declared, replacements, paused):
        """Holders are replaced at any time; some resume from a pause and send late."""
        budget = build_budget(*declared)
        probe_rate = compute_probe_rate(budget, 300)
        sent_at = []
        for number in range(PROBE_SHARES):
            deaths = sorted(at for share, at in replacements if share == number)
            sent_at += self.run_share(number, deaths, probe_rate, paused)
        sent_at.sort()
        allowed = budget.per_second * budget.window
        for index, start in enumerate(sent_at):
            window = [at for at in sent_at[index:] if at < start + budget.window]
            self.assertLessEqual(len(window), allowed)

    def run_share(self, number, deaths, probe_rate, paused):
        """Return the times at which the holders of one share send, over 60 seconds."""
        sent_at = []
        start = 0.0
        for death in [*deaths, 60.0]:
            if death < start:
                continue
            sent_at += self.run_holder(number, start, death, probe_rate)
            if paused and number < probe_rate.shares:
                sent_at.append(
                    death + paused
                )  # Checked before the pause and sent after it.
            start = death + PROBE_SHARE_TTL_SECONDS
        return sent_at

    def run_holder(self, number, start, death, probe_rate):
        limiter = ProbeRateLimiter()
        share = ProbeShare.acquire(number, "a", PROBE_SHARE_TTL_SECONDS, start)
        sent_at = []
        now = start
        while now < death:
            share.renew(PROBE_SHARE_TTL_SECONDS, now)
            if limiter.try_acquire(share, probe_rate, now):
                sent_at.append(now)
            now += STEP_SECONDS
        return sent_at
