"""Tests of how a fleet shares what it may send at once."""

import unittest

from hypothesis import given, strategies as st

from hingesill_core.configuration.services import SendBudget, share_out

FLEETS = st.tuples(st.floats(0.5, 2000.0), st.integers(1, 1200))


class ShareTests(unittest.TestCase):
    @given(FLEETS)
    def test_all_nodes_together_keep_the_fleets_bound(self, fleet):
        tokens, nodes = fleet
        shares = [share_out(tokens, nodes, place) for place in range(nodes)]
        self.assertLessEqual(sum(shares), tokens * (1 + 1e-9))

    @given(FLEETS)
    def test_whole_tokens_are_used(self, fleet):
        tokens, nodes = fleet
        shares = [share_out(tokens, nodes, place) for place in range(nodes)]
        self.assertGreater(sum(shares), min(tokens, nodes) - 1.001)
        self.assertTrue(all(share == 0 or share >= 1 for share in shares))

    def test_a_node_that_knows_no_place_takes_none(self):
        self.assertEqual(share_out(100.0, 1000, None), 0.0)
        self.assertEqual(share_out(100.0, 10, None), 10.0)

    def test_hedges_and_retries_share_the_fleets_bound(self):
        budget = SendBudget(0.1, 0.1, 100.0)
        bursts = [budget.compute_bursts(400, place) for place in range(400)]
        self.assertLessEqual(sum(b.hedges + b.retries for b in bursts), 100.0)
