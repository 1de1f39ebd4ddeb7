"""Outcomes of callers under heavy load and faults, simulated without a network."""

import unittest

from msgspec.structs import replace

from hingesill_core.configuration.services import Route, SendBudget
from hingesill_core.routing.tests.loadsimulation import Simulation
from hingesill_core.routing.tests.workloads import FaultPeriod, Kind, Workload

SEED = 1
SLACK = 430.0
RETRY_SHARE = 0.2
WINDOW = 10.0
SENDS = SendBudget(0.0, 0.75 * RETRY_SHARE, 0.8 * SLACK)

READ = Kind(
    Route("arena", "", "/r/", True, True, 2.0, target=0.5, rank=2, most_sends=3),
    share=0.45,
    service_time=0.2,
    limit=4.0,
)
MOVE = Kind(
    Route("arena", "", "/m/", False, True, 3.0, target=0.6, rank=1, most_sends=2),
    share=0.2,
    service_time=0.26,
    limit=6.0,
)
RATING = Kind(
    Route("arena", "", "/t/", True, True, 5.0, target=1.2, rank=2, most_sends=3),
    share=0.2,
    service_time=0.5,
    limit=10.0,
)
EXPORT = Kind(
    Route("arena", "", "/e/", True, True, 6.0, target=2.0, rank=2, most_sends=3),
    share=0.15,
    service_time=0.79,
    limit=12.0,
)
KINDS = (READ, MOVE, RATING, EXPORT)
# 120 endpoints with three slots; 350 requests a second use half of these.
CALM = Workload(312, 120, KINDS, 350.0, 10.0, sends=SENDS)


class HeavyLoadCase(unittest.TestCase):
    """Simulates a workload and evaluates the requests of a period."""

    def simulate(self, workload, begin=0.0, end=float("inf")):
        """Run a simulation; keep the requests that were sent from begin to end."""
        self.simulation = Simulation(workload, SEED)
        requests = self.simulation.run()
        self.requests = [r for r in requests if begin <= r.sent_at < end]
        return self.simulation

    def share_in_time(self, *kinds):
        """Return the share of requests that were answered within their target."""
        return self.simulation.compute_share(
            lambda r: r.is_in_time(), self.choose(*kinds)
        )

    def share_answered(self, *kinds):
        """Return the share of requests that were answered."""
        chosen = self.choose(*kinds)
        return self.simulation.compute_share(
            lambda r: r.answered_at is not None, chosen
        )

    def choose(self, *kinds):
        """Return the requests of the given kinds, or all requests."""
        return [r for r in self.requests if not kinds or r.kind in kinds]

    def assert_within_budget(self, slack=SLACK):
        """Check that no window has more extra sends than the fleet's budget."""
        for extra, requests in self.simulation.list_windows(WINDOW):
            self.assertLessEqual(extra, RETRY_SHARE * requests + slack)

    def assert_no_kind_starved(self, difference):
        """Check that no kind is answered in time far less often than all."""
        share = self.share_in_time()
        for kind in KINDS:
            self.assertGreater(self.share_in_time(kind), share - difference)


class BudgetTests(HeavyLoadCase):
    """All connections break while the nodes' token buckets are full, and each
    repeatable request would be sent again.

    When each of 1,104 nodes could save up a whole token, a window had 595 extra sends
    of 508 allowed; when 160 of them can, it has 95.
    """

    def simulate_losses(self, nodes, slack):
        sends = SendBudget(0.0, 0.75 * RETRY_SHARE, 0.8 * slack)
        broken = FaultPeriod(130.0, 150.0, broken=1.0)
        workload = replace(
            CALM, nodes=nodes, rate=60.0, seconds=145.0, spells=(broken,)
        )
        self.simulate(replace(workload, sends=sends), 130.0)

    def test_fleets_of_all_sizes_stay_within_the_budget(self):
        for nodes, slack in ((17, 62.0), (312, 430.0), (1104, 200.0)):
            with self.subTest(nodes=nodes):
                self.simulate_losses(nodes, slack)
                self.assert_within_budget(slack)
                self.assertGreater(len(self.simulation.extra_sends), 0.3 * slack)


class SilentEndpointsTests(HeavyLoadCase):
    """For 9 s 60% of the endpoints lose 30% of their answers without any sign, and the
    others are 12 times slower.

    Answered shares of the repeatable requests, means of six seeds at 3, 17 and 312
    nodes: 0.883, 0.960 and 0.929 with a single hedge attempt that left a token for
    retries, which a node of a large fleet never had; 0.880, 0.964 and 0.950 with an
    attempt each 0.25 s and no token left where a node saves up one at most; 0.883,
    0.962 and 0.934 with reports of observations between nodes.
    """

    # Nodes, the fleet's slack, and the minimum share to be answered. With three nodes
    # requests are always queued at each, and those without an endpoint are sent first.
    SIZES = ((3, 45.0, 0.85), (17, 62.0, 0.95), (99, 164.0, 0.93), (312, 430.0, 0.92))
    FAULT_PERIODS = (
        FaultPeriod(3.0, 12.0, 0.0, 0.6, lost=0.3),
        FaultPeriod(3.0, 12.0, 0.6, 1.0, slowness=12.0),
    )

    def test_repeatable_requests_do_not_wait_at_silent_endpoints(self):
        for nodes, slack, min_share in self.SIZES:
            with self.subTest(nodes=nodes):
                sends = SendBudget(0.0, 0.75 * RETRY_SHARE, 0.8 * slack)
                workload = replace(
                    CALM,
                    nodes=nodes,
                    rate=250.0,
                    seconds=14.0,
                    spells=self.FAULT_PERIODS,
                    sends=sends,
                )
                self.simulate(workload, 3.0, 12.0)
                answered = self.share_answered(READ, RATING, EXPORT)
                self.assertGreater(answered, min_share)
                self.assert_within_budget(slack)


class UnequalCallersTests(HeavyLoadCase):
    """First attempts declare 0.85 to 1 of their kind's time, so that less than the
    longest time does not identify repeated attempts.

    Shares in time with two seeds, when all are compared with the longest time, without
    an estimate, and with the learned share: 0.932 and 0.961, 0.968 and 0.971, 0.957 and
    0.982 in a burst of 1.5; 0.931 and 0.952, 0.948 and 0.962, 0.960 and 0.977 in the
    two seconds after an outage of all nodes of 1.1 s.
    """

    def test_first_attempts_do_not_wait_behind_others(self):
        workload = replace(CALM, nodes=95, seconds=6.0, min_time_share=0.85)
        self.simulate(workload, 2.0)
        self.assertGreater(self.share_in_time(), 0.99)
        self.assert_no_kind_starved(0.02)

    def test_a_burst(self):
        workload = replace(
            CALM, nodes=95, seconds=9.0, min_time_share=0.85, impatient_share=0.3
        )
        self.simulate(replace(workload, bursts=((4.0, 8.0, 1.5),)), 4.0, 8.0)
        self.assertGreater(self.share_in_time(), 0.9)


class LossOfAllNodesTests(HeavyLoadCase):
    """All nodes fail and return without state, with the callers' backlog."""

    def test_callers_are_served_again_at_once(self):
        for seconds in (1.1, 1.6):
            with self.subTest(seconds=seconds):
                end = 4.0 + seconds
                workload = replace(CALM, seconds=9.0, outages=((4.0, end),))
                self.simulate(workload, end, end + 2.0)
                self.assertGreater(self.share_in_time(), 0.85)
                self.assertGreater(self.share_answered(), 0.99)
                self.assert_no_kind_starved(0.1)


class BurstTests(HeavyLoadCase):
    """The load exceeds what two of three slots can serve, and 30% of the callers retry
    at once.

    With the third slot in use requests take 1.7 times as long, so the throughput falls.
    A node of 312 answers one request a second and cannot detect that alone: in bursts
    of 1.6, 1.8 and 2.0 the shares in time were 0.954, 0.843 and 0.699 without reports
    of observations to relays, and 0.998, 0.958 and 0.895 with them.
    """

    BURSTS = ((1.6, 0.98), (1.8, 0.93), (2.0, 0.85))

    def simulate_burst(self, factor, nodes=312):
        burst = (14.0, 18.0, factor)
        workload = replace(
            CALM, nodes=nodes, seconds=20.0, bursts=(burst,), impatient_share=0.3
        )
        self.simulate(workload, 14.0, 18.0)

    def test_a_burst(self):
        for factor, min_share in self.BURSTS:
            with self.subTest(factor=factor):
                self.simulate_burst(factor)
                self.assertGreater(self.share_in_time(), min_share)
                self.assertGreater(self.share_answered(), 0.97)
                self.assert_no_kind_starved(0.15)


class ColdEndpointsTests(HeavyLoadCase):
    """A quarter of the endpoints returns cold just before a burst of callers of whom
    30% retry at once. Cold endpoints work at half their speed for 3 s and can serve 2.5
    requests a second each.

    In a burst of 1.8, where cold endpoints fail nine in ten requests at once, they got
    55 to 80 requests within a second without the limit and 6 to 7 with it, of 11.75
    allowed (three seeds); without failures 7 and 3. The limit has a cost: in time were
    0.681 to 0.736 without and 0.640 to 0.717 with it, with failures 0.672 to 0.762 and
    0.574 to 0.595 (answered 0.910 to 0.917 and 0.989 to 0.996), and where all endpoints
    are cold 0.390 to 0.501 and 0.191 to 0.206.
    """

    COLD = FaultPeriod(3.0, 6.0, 0.0, 0.25, slowness=2.0, cold=True)
    ALLOWED = 2.5 * 1.5 + 8.0

    def simulate_return(self, factor, cold):
        workload = replace(
            CALM,
            nodes=95,
            seconds=6.5,
            spells=(cold,),
            bursts=((3.2, 6.5, factor),),
            impatient_share=0.3,
            warm_up_rate=2.5,
        )
        self.simulate(workload, 3.0, 6.0)

    def test_cold_endpoints_are_not_overloaded(self):
        for factor, min_share in ((1.0, 0.95), (1.8, 0.55)):
            with self.subTest(factor=factor):
                self.simulate_return(factor, self.COLD)
                self.assertLessEqual(self.simulation.count_max_at_cold(), 5)
                self.assertGreater(self.share_in_time(), min_share)

    def test_cold_endpoints_are_used_if_all_are_cold(self):
        self.simulate_return(1.0, replace(self.COLD, last=1.0))
        self.assertLessEqual(self.simulation.count_max_at_cold(), self.ALLOWED)
        self.assertGreater(self.share_answered(), 0.8)

    def test_cold_endpoints_that_fail_at_once(self):
        self.simulate_return(1.8, replace(self.COLD, shed=0.9))
        self.assertLessEqual(self.simulation.count_max_at_cold(), self.ALLOWED)


class DownEndpointsTests(HeavyLoadCase):
    """A tenth of the endpoints is down for a second, reports so, and breaks the
    connection of each request; or most report so though they are healthy.

    Answered shares in normal load and in a burst of 1.4, three seeds: 0.964 to 0.979
    and 0.956 to 0.965 when the report was ignored, 1 when it is used. Shares in time
    where 0.3 and 0.8 of the endpoints report so and are healthy: 0.991 to 0.997 and
    0.992 to 1 when it was ignored, 0.965 to 0.972 and 0.937 to 0.982 when it is used.
    """

    DOWN = FaultPeriod(3.0, 4.0, 0.0, 0.1, down=True, unhealthy=True)

    def simulate_fault(self, fault, factor=1.0):
        burst = (3.0, 4.0, factor)
        workload = replace(
            CALM, nodes=95, seconds=5.0, spells=(fault,), bursts=(burst,)
        )
        self.simulate(workload, 3.0, 4.0)

    def test_down_endpoints_attract_no_requests(self):
        for factor, min_share in ((1.0, 0.98), (1.4, 0.95)):
            with self.subTest(factor=factor):
                self.simulate_fault(self.DOWN, factor)
                self.assertGreater(self.share_in_time(), min_share)

    def test_most_endpoints_report_unhealthy_though_healthy(self):
        self.simulate_fault(FaultPeriod(3.0, 4.0, 0.0, 0.8, unhealthy=True))
        self.assertGreater(self.share_in_time(), 0.9)


class SheddingTests(HeavyLoadCase):
    """Half of the endpoints refuse half of their requests at once, or all do.

    Shares in time where all refuse 0.55, means of eight seeds: 0.886 with a Retry-After
    of 0.05 to 0.1 s (moves 0.880), 0.892 with 0.01 to 0.02 s (moves 0.891).
    """

    def test_half_of_the_endpoints_shed(self):
        fault = FaultPeriod(3.0, 9.0, 0.0, 0.5, shed=0.55)
        self.simulate(replace(CALM, seconds=12.0, spells=(fault,)), 3.0, 9.0)
        self.assertGreater(self.share_in_time(), 0.95)
        self.assert_within_budget()
        self.assert_no_kind_starved(0.1)

    def test_all_endpoints_shed(self):
        fault = FaultPeriod(3.0, 7.0, shed=0.55)
        workload = replace(CALM, nodes=95, seconds=7.5, spells=(fault,))
        self.simulate(replace(workload, sends=SendBudget(0.0, 0.15, 126.0)), 3.0, 7.0)
        self.assertGreater(self.share_in_time(), 0.7)
