"""Tests of the distribution of the fleet's tokens over its nodes."""

import unittest

from hypothesis import given, strategies as st

from hingesill_core.configuration.services import SendBudget, compute_token_share

FLEETS = st.tuples(st.floats(0.5, 2000.0), st.integers(1, 1200))


class TokenShareTests(unittest.TestCase):
    @given(FLEETS)
    def test_the_sum_of_all_shares_keeps_the_bound_of_the_fleet(self, fleet):
        tokens, nodes = fleet
        shares = [
            compute_token_share(tokens, nodes, node_index)
            for node_index in range(nodes)
        ]
        self.assertLessEqual(sum(shares), tokens * (1 + 1e-9))

    @given(FLEETS)
    def test_whole_tokens_are_assigned(self, fleet):
        tokens, nodes = fleet
        shares = [
            compute_token_share(tokens, nodes, node_index)
            for node_index in range(nodes)
        ]
        self.assertGreater(sum(shares), min(tokens, nodes) - 1.001)
        self.assertTrue(all(share == 0 or share >= 1 for share in shares))

    def test_a_node_without_an_index_gets_no_partial_share(self):
        self.assertEqual(compute_token_share(100.0, 1000, None), 0.0)
        self.assertEqual(compute_token_share(100.0, 10, None), 10.0)

    def test_hedges_and_retries_share_the_bound_of_the_fleet(self):
        budget = SendBudget(0.1, 0.1, 100.0)
        bursts = [budget.compute_bursts(400, node_index) for node_index in range(400)]
        self.assertLessEqual(sum(b.hedges + b.retries for b in bursts), 100.0)
