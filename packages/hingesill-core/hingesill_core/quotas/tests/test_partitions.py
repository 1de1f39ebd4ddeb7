"""One coordinator goes on in a partition in which nodes disagree on it."""

import unittest

from hingesill_core.quotas.tests.partitions import PartitionCase, run_case

# All that a bucket of the fleet admits, but for the requests of the cut's first moments.
MIN_ADMITTED = 0.95
QUOTAS = ((18, 164, 5), (18, 164, 164), (107, 164, 164))
SHARES = (0.2, 0.25, 0.3)


class PartitionTests(unittest.TestCase):
    def assert_bound_holds(self, case):
        with self.subTest(case=case):
            self.assertLessEqual(run_case(case).arrivals, 1.0)

    def assert_admitted(self, case):
        with self.subTest(case=case):
            result = run_case(case)
            self.assertLessEqual(result.arrivals, 1.0)
            self.assertGreaterEqual(result.admitted, MIN_ADMITTED)


class CoordinatorTests(PartitionTests):
    """Guards against a coordinator that stops though most nodes accept it."""

    def test_nodes_that_do_not_answer_are_not_the_only_ones_probed(self):
        for share in SHARES:
            for seed in (1, 2):
                self.assert_admitted(
                    PartitionCase("a part is cut off", share=share, seed=seed)
                )

    def test_lists_that_differ_for_long(self):
        """Neither coordinator had enough nodes, and both stopped."""
        for nodes, share in ((18, 0.2), (107, 0.2), (107, 0.25)):
            self.assert_admitted(
                PartitionCase("lists differ", nodes=nodes, share=share)
            )


class SubstituteTests(PartitionTests):
    """Guards against a substitute that does not know the coordinator."""

    def test_substitute_that_starts_during_the_partition(self):
        for quota in QUOTAS:
            for share in (0.0, 0.2, 0.3):
                self.assert_bound_holds(
                    PartitionCase("the substitute restarts", *quota, share)
                )


if __name__ == "__main__":
    unittest.main()
