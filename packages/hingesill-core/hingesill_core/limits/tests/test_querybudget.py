"""Tests of a node's share of the fleet's probe budget."""

import unittest

from hingesill_core.configuration.services import ProbeBudget
from hingesill_core.limits.querybudget import QueryBudget


class AskBudgetTests(unittest.TestCase):
    def test_no_window_exceeds_its_share(self):
        budget = QueryBudget()
        budget.set_service_budget("a", ProbeBudget(40.0, 10.0, 1.0, 0.001, "/h"), 4)
        times = [
            step / 100
            for step in range(4000)
            if budget.acquire(1, step / 100)
            for _ in "x"
        ]
        for start in times:
            inside = sum(start <= at < start + 10.0 for at in times)
            self.assertLessEqual(inside, 100)

    def test_a_new_process_can_query_at_once(self):
        budget = QueryBudget()
        budget.set_service_budget("a", ProbeBudget(40.0, 10.0, 1.0, 0.001, "/h"), 4)
        self.assertEqual(budget.acquire(3, 0.0), 3)

    def test_reserved_queries_are_left(self):
        """Requests without a prospect used the queries that others needed."""
        budget = QueryBudget()
        budget.set_service_budget("a", ProbeBudget(40.0, 10.0, 1.0, 0.001, "/h"), 4)
        self.assertEqual(budget.acquire(9, 0.0, reserve=3), 2)
        self.assertEqual(budget.acquire(9, 0.0, reserve=3), 0)
        self.assertEqual(budget.acquire(9, 0.0), 3)

    def test_at_most_half_of_the_capacity_is_reserved(self):
        budget = QueryBudget(rate=1.0, burst=4.0, tokens=4.0)
        self.assertEqual(budget.acquire(9, 0.0, reserve=100), 2)
