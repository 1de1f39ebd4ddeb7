"""What callers get in the heaviest minutes, played without a network."""

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
    work=0.2,
    limit=4.0,
)
MOVE = Kind(
    Route("arena", "", "/m/", False, True, 3.0, target=0.6, rank=1, most_sends=2),
    share=0.2,
    work=0.26,
    limit=6.0,
)
RATING = Kind(
    Route("arena", "", "/t/", True, True, 5.0, target=1.2, rank=2, most_sends=3),
    share=0.2,
    work=0.5,
    limit=10.0,
)
EXPORT = Kind(
    Route("arena", "", "/e/", True, True, 6.0, target=2.0, rank=2, most_sends=3),
    share=0.15,
    work=0.79,
    limit=12.0,
)
KINDS = (READ, MOVE, RATING, EXPORT)
# 120 endpoints with three slots; 350 requests a second take half of these.
CALM = Workload(312, 120, KINDS, 350.0, 10.0, sends=SENDS)


class HeavyLoadCase(unittest.TestCase):
    """Plays a load and looks at the callers of a time."""

    def play(self, load, begin=0.0, end=float("inf")):
        """Play; keep the requests that were sent from begin to end."""
        self.played = Simulation(load, SEED)
        requests = self.played.run()
        self.requests = [r for r in requests if begin <= r.sent_at < end]
        return self.played

    def share_in_time(self, *kinds):
        """Return the share of requests that were answered within their target."""
        return self.played.find_share(lambda r: r.is_in_time(), self.choose(*kinds))

    def share_answered(self, *kinds):
        """Return the share of requests that were answered at all."""
        chosen = self.choose(*kinds)
        return self.played.find_share(lambda r: r.answered_at is not None, chosen)

    def choose(self, *kinds):
        """Return the requests of some kinds, of all if none is named."""
        return [r for r in self.requests if not kinds or r.kind in kinds]

    def assert_within_budget(self, slack=SLACK):
        """Check that no window sees more extra sends than the fleet may make."""
        for extra, requests in self.played.list_windows(WINDOW):
            self.assertLessEqual(extra, RETRY_SHARE * requests + slack)

    def assert_nobody_starved(self, difference):
        """Check that no kind is answered in time far less often than all."""
        share = self.share_in_time()
        for kind in KINDS:
            self.assertGreater(self.share_in_time(kind), share - difference)


class BudgetTests(HeavyLoadCase):
    """Nodes save up all they may; then all connections break, and each repeatable
    request would be sent again.

    Most extra sends in a window at 1,104 nodes: 595 of 508 allowed when each could save
    up a whole token; 95 since 160 of them can.
    """

    def play_losses(self, nodes, slack):
        sends = SendBudget(0.0, 0.75 * RETRY_SHARE, 0.8 * slack)
        broken = FaultPeriod(130.0, 150.0, broken=1.0)
        load = replace(CALM, nodes=nodes, rate=60.0, seconds=145.0, spells=(broken,))
        self.play(replace(load, sends=sends), 130.0)

    def test_a_fleet_keeps_its_budget_at_every_size(self):
        for nodes, slack in ((17, 62.0), (312, 430.0), (1104, 200.0)):
            with self.subTest(nodes=nodes):
                self.play_losses(nodes, slack)
                self.assert_within_budget(slack)
                self.assertGreater(len(self.played.extra_sends), 0.3 * slack)


class SilentEndpointsTests(HeavyLoadCase):
    """For 9 s 60% of the endpoints lose 30% of their answers without a sign, and the
    others work 12 times slower.

    Share of the repeatable requests that were answered, means of six seeds at 3, 17 and
    312 nodes: 0.883, 0.960 and 0.929 when a second send was tried once and left a token
    for retries that a node of a large fleet never had; 0.880, 0.964 and 0.950 if tried
    each 0.25 s and no token left where a node saves up one at most; 0.883, 0.962 and
    0.934 since nodes report what they learn of slots.
    """

    # Nodes, the fleet's slack, and the least share to be answered. With three nodes
    # somebody waits at each all the time, and those who have no endpoint go first.
    SIZES = ((3, 45.0, 0.85), (17, 62.0, 0.95), (99, 164.0, 0.93), (312, 430.0, 0.92))
    SPELLS = (
        FaultPeriod(3.0, 12.0, 0.0, 0.6, lost=0.3),
        FaultPeriod(3.0, 12.0, 0.6, 1.0, slowness=12.0),
    )

    def test_repeatable_requests_do_not_sit_on_silent_endpoints(self):
        for nodes, slack, least in self.SIZES:
            with self.subTest(nodes=nodes):
                sends = SendBudget(0.0, 0.75 * RETRY_SHARE, 0.8 * slack)
                load = replace(
                    CALM,
                    nodes=nodes,
                    rate=250.0,
                    seconds=14.0,
                    spells=self.SPELLS,
                    sends=sends,
                )
                self.play(load, 3.0, 12.0)
                answered = self.share_answered(READ, RATING, EXPORT)
                self.assertGreater(answered, least)
                self.assert_within_budget(slack)


class UnequalCallersTests(HeavyLoadCase):
    """First tries bring 0.85 to 1 of their kind's time, so that less than the longest
    does not tell who came back.

    In time of a burst of 1.5, two seeds: 0.932 and 0.961 while all were measured by
    the longest, 0.968 and 0.971 without any guess, 0.957 and 0.982 now. In the two
    seconds after a loss of all nodes for 1.1 s: 0.931 and 0.952, 0.948 and 0.962, 0.960
    and 0.977.
    """

    def test_first_tries_do_not_wait_behind_others(self):
        load = replace(CALM, nodes=95, seconds=6.0, least_time=0.85)
        self.play(load, 2.0)
        self.assertGreater(self.share_in_time(), 0.99)
        self.assert_nobody_starved(0.02)

    def test_a_burst(self):
        load = replace(CALM, nodes=95, seconds=9.0, least_time=0.85, impatient=0.3)
        self.play(replace(load, bursts=((4.0, 8.0, 1.5),)), 4.0, 8.0)
        self.assertGreater(self.share_in_time(), 0.9)


class LossOfAllNodesTests(HeavyLoadCase):
    """All nodes are lost and come back knowing nothing, with the callers' backlog."""

    def test_callers_are_served_again_at_once(self):
        for seconds in (1.1, 1.6):
            with self.subTest(seconds=seconds):
                end = 4.0 + seconds
                load = replace(CALM, seconds=9.0, outages=((4.0, end),))
                self.play(load, end, end + 2.0)
                self.assertGreater(self.share_in_time(), 0.85)
                self.assertGreater(self.share_answered(), 0.99)
                self.assert_nobody_starved(0.1)


class BurstTests(HeavyLoadCase):
    """More callers come than two of three slots can serve, and 30% repeat at once.

    With the third slot taken work takes 1.7 times as long, so that less is done. A node
    of 312 answers one request a second and does not find that out alone: of the
    requests of a burst of 1.6, 1.8 and 2.0, 0.954, 0.843 and 0.699 were in time; 0.998,
    0.958 and 0.895 since nodes report what they learn to relays.
    """

    LOADS = ((1.6, 0.98), (1.8, 0.93), (2.0, 0.85))

    def play_burst(self, factor, nodes=312):
        burst = (14.0, 18.0, factor)
        load = replace(CALM, nodes=nodes, seconds=20.0, bursts=(burst,), impatient=0.3)
        self.play(load, 14.0, 18.0)

    def test_a_burst(self):
        for factor, least in self.LOADS:
            with self.subTest(factor=factor):
                self.play_burst(factor)
                self.assertGreater(self.share_in_time(), least)
                self.assertGreater(self.share_answered(), 0.97)
                self.assert_nobody_starved(0.15)


class ColdEndpointsTests(HeavyLoadCase):
    """A quarter of the endpoints comes back cold, works at half its pace for 3 s and
    bears 2.5 requests a second each, just before a burst of callers of whom 30% repeat
    at once.

    Most requests that a cold endpoint got within a second, of 11.75 that are allowed,
    three seeds: 7 without the limit and 3 with it in a burst of 1.8, of which 0.681 to
    0.736 and 0.640 to 0.717 were in time; 55 to 80 and 6 to 7 where the cold ones fail
    nine in ten requests at once, 0.672 to 0.762 and 0.574 to 0.595 in time, 0.910 to
    0.917 and 0.989 to 0.996 answered. Where all are cold 0.390 to 0.501 were in time
    without it and 0.191 to 0.206 with it: that is what the bound costs.
    """

    COLD = FaultPeriod(3.0, 6.0, 0.0, 0.25, slowness=2.0, cold=True)
    ALLOWED = 2.5 * 1.5 + 8.0

    def play_return(self, factor, cold):
        load = replace(
            CALM,
            nodes=95,
            seconds=6.5,
            spells=(cold,),
            bursts=((3.2, 6.5, factor),),
            impatient=0.3,
            warm_up_rate=2.5,
        )
        self.play(load, 3.0, 6.0)

    def test_they_get_no_more_than_they_bear(self):
        for factor, least in ((1.0, 0.95), (1.8, 0.55)):
            with self.subTest(factor=factor):
                self.play_return(factor, self.COLD)
                self.assertLessEqual(self.played.count_most_at_cold(), 5)
                self.assertGreater(self.share_in_time(), least)

    def test_where_all_are_cold_they_are_used(self):
        self.play_return(1.0, replace(self.COLD, last=1.0))
        self.assertLessEqual(self.played.count_most_at_cold(), self.ALLOWED)
        self.assertGreater(self.share_answered(), 0.8)

    def test_cold_endpoints_that_fail_at_once(self):
        self.play_return(1.8, replace(self.COLD, shed=0.9))
        self.assertLessEqual(self.played.count_most_at_cold(), self.ALLOWED)


class DownEndpointsTests(HeavyLoadCase):
    """A tenth of the endpoints is down for a second, says so, and breaks off each
    request; or most say so though they are well.

    Answered of calm time and of a burst of 1.4, three seeds: 0.964 to 0.979 and 0.956
    to 0.965 when the word was not looked at, all since it is. In time where 0.3 and 0.8
    of the endpoints say so and are well: 0.991 to 0.997 and 0.992 to 1, now 0.965 to
    0.972 and 0.937 to 0.982.
    """

    DOWN = FaultPeriod(3.0, 4.0, 0.0, 0.1, down=True, ill=True)

    def play_spell(self, spell, factor=1.0):
        burst = (3.0, 4.0, factor)
        load = replace(CALM, nodes=95, seconds=5.0, spells=(spell,), bursts=(burst,))
        self.play(load, 3.0, 4.0)

    def test_they_draw_no_requests(self):
        for factor, least in ((1.0, 0.98), (1.4, 0.95)):
            with self.subTest(factor=factor):
                self.play_spell(self.DOWN, factor)
                self.assertGreater(self.share_in_time(), least)

    def test_most_say_so_though_they_are_well(self):
        self.play_spell(FaultPeriod(3.0, 4.0, 0.0, 0.8, ill=True))
        self.assertGreater(self.share_in_time(), 0.9)


class SheddingTests(HeavyLoadCase):
    """Half of the endpoints refuse half of their requests at once, or all do.

    In time where all refuse 0.55, means of eight seeds: 0.886, of the moves 0.880, when
    the refused came back after 0.05 to 0.1 s; 0.892 and 0.891 after 0.01 to 0.02 s.
    """

    def test_half_of_the_endpoints_shed(self):
        spell = FaultPeriod(3.0, 9.0, 0.0, 0.5, shed=0.55)
        self.play(replace(CALM, seconds=12.0, spells=(spell,)), 3.0, 9.0)
        self.assertGreater(self.share_in_time(), 0.95)
        self.assert_within_budget()
        self.assert_nobody_starved(0.1)

    def test_all_endpoints_shed(self):
        spell = FaultPeriod(3.0, 7.0, shed=0.55)
        load = replace(CALM, nodes=95, seconds=7.5, spells=(spell,))
        self.play(replace(load, sends=SendBudget(0.0, 0.15, 126.0)), 3.0, 7.0)
        self.assertGreater(self.share_in_time(), 0.7)
