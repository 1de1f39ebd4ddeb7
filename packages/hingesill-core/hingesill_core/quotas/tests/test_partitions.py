"""One coordinator goes on in a partition in which nodes disagree on it."""

import unittest

from hingesill_core.quotas.coordinator import TAKEOVER_SECONDS
from hingesill_core.quotas.messages import QuotaRelay, QuotaReply, QuotaReport
from hingesill_core.quotas.relaying import find_next
from hingesill_core.quotas.tests.partitions import (
    CHANGED_SECONDS,
    DIFFERENT_SECONDS,
    PARTITION_SECONDS,
    Partition,
    PartitionCase,
    run_case,
)
from hingesill_core.quotas.tests.quotasimulation import NAME

# As after other faults; see `QuotaCase.assert_recovered` of `test_simulation`.
MIN_ADMITTED = 0.95
# Time in which answers decide between two coordinators, in seconds.
CONTESTED_SECONDS = 3.0
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

    def test_coordinator_beside_a_part_that_does_not_reach_it(self):
        for share in SHARES:
            self.assert_admitted(PartitionCase("two parts reach the rest", share=share))

    def test_lists_that_differ_for_long(self):
        """Neither coordinator had enough nodes, and both stopped."""
        for nodes, share in ((18, 0.2), (107, 0.2), (107, 0.25)):
            case = PartitionCase("lists differ", nodes=nodes, share=share)
            with self.subTest(case=case):
                partition = Partition(case)
                partition.run()
                self.assertLessEqual(partition.measure_arrivals(), 1.0)
                # A node that becomes the coordinator as lists change has its takeover.
                for changed_at, until in (
                    (CHANGED_SECONDS, DIFFERENT_SECONDS),
                    (DIFFERENT_SECONDS, PARTITION_SECONDS),
                ):
                    since = changed_at + TAKEOVER_SECONDS + CONTESTED_SECONDS
                    admitted = partition.measure_admitted(since, until)
                    self.assertGreaterEqual(admitted, MIN_ADMITTED)


class SubstituteTests(PartitionTests):
    """Guards against a substitute that does not know the coordinator."""

    def test_substitute_that_starts_during_the_partition(self):
        for quota in QUOTAS:
            for share in (0.0, 0.2, 0.3):
                self.assert_bound_holds(
                    PartitionCase("the substitute restarts", *quota, share)
                )

    def test_substitute_that_starts_and_is_used_later(self):
        """Its pool would be full."""
        for quota in QUOTAS:
            self.assert_bound_holds(
                PartitionCase("an idle substitute restarts", *quota, 0.2)
            )

    def test_earlier_node_that_starts_in_the_other_part(self):
        """The coordinator never has that node in its list."""
        for quota in QUOTAS:
            for share in (0.0, 0.2, 0.3):
                self.assert_bound_holds(
                    PartitionCase("an earlier node starts", *quota, share)
                )


class RelayTests(PartitionTests):
    """Guards against refusals inside the quota at nodes that do not reach it."""

    def test_nodes_of_the_other_part_get_their_tokens(self):
        """The bound was kept by refusing all requests of that part."""
        for name in ("two parts reach the rest", "the substitute restarts"):
            for quota in QUOTAS:
                for share in (0.1, 0.3):
                    self.assert_admitted(PartitionCase(name, *quota, share, load=0.8))

    def test_nodes_whose_coordinator_is_not_accepted_get_their_tokens(self):
        for nodes in (18, 107):
            case = PartitionCase("lists differ", nodes, share=0.2, load=0.8)
            with self.subTest(case=case):
                partition = Partition(case)
                partition.run()
                self.assertLessEqual(partition.measure_arrivals(), 1.0)
                since = CHANGED_SECONDS + TAKEOVER_SECONDS + CONTESTED_SECONDS
                admitted = partition.measure_admitted(since, DIFFERENT_SECONDS)
                self.assertGreaterEqual(admitted, MIN_ADMITTED)

    def test_relayed_messages_that_left_their_path_are_dropped(self):
        own, other = ("10.0.0.1", 80), ("10.0.0.2", 80)
        path = tuple((f"10.0.1.{n}", 80) for n in range(4))
        report = QuotaReport(NAME, 1, 1)
        for relay, sender, node in (
            (QuotaRelay(report, path), other, path[2]),
            (QuotaRelay(report, path), path[1], own),
            (QuotaRelay(report, path), path[0], path[1]),
            (QuotaRelay(report, path[:3]), path[1], path[2]),
            (QuotaRelay(QuotaReply(NAME, 1, 1), path), path[1], path[2]),
        ):
            with self.subTest(relay), self.assertRaises(ValueError):
                find_next(relay, sender, node)


if __name__ == "__main__":
    unittest.main()
