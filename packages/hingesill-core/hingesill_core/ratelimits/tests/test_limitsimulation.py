"""Fleets of all sizes keep the limits that endpoints name, and use them.

The bound is one and a half times what a limit allows in 4 s, and 5; the aim tested here
is one and a quarter. Without grants, with a part for each node, 0.07 of a limit of 2.5
is used by 300 nodes and 0.29 with nine tenths of the callers at one of 6 nodes; with
them 1.00 and 1.00. With a token for each node 300 would come at once after a rest.
"""

import unittest

from hingesill_core.ratelimits.tests.limitsimulation import (
    WINDOW_SECONDS,
    LimitSimulation,
    Scenario,
)

SIZES = (1, 6, 18, 96, 300)
LIMITS = (0.0, 0.1, 0.5, 2.5, 30.0)
CASES = [(nodes, limit) for nodes in SIZES for limit in LIMITS]
CASES += [(1100, 0.5), (1100, 30.0)]
# Luck of several plays, where one play is too short for a mean.
SEEDS = range(1, 9)
# Bound of the play's own work.
MOST_RATE = 400.0
SETTLED_SECONDS = 2.0
FACTOR, MORE = 1.25, 5


def compute_rate(limit):
    """Return three times the requests that ten endpoints take, within a bound."""
    return max(1.0, min(MOST_RATE, 30.0 * limit))


def play(nodes, limit, seed=1, **figures):
    """Return a LimitSimulation of a scenario in which all nodes know of the limits."""
    played = LimitSimulation(
        Scenario(nodes, limit, compute_rate(limit), **figures), seed
    )
    played.name(limit)
    played.run()
    return played


class LimitCase(unittest.TestCase):
    def assert_kept(self, played, limit, since=0.0):
        allowed = FACTOR * limit * WINDOW_SECONDS + MORE
        self.assertLessEqual(played.count_worst(since), allowed)


class SizeTests(LimitCase):
    def test_the_limit_holds_and_is_used_with_even_traffic(self):
        for nodes, limit in CASES:
            with self.subTest(nodes=nodes, limit=limit):
                played = play(nodes, limit)
                self.assert_kept(played, limit)
                if limit >= 0.5:
                    self.assertGreater(played.measure_use(SETTLED_SECONDS), 0.85)

    def test_and_with_nine_tenths_of_the_traffic_at_one_node(self):
        for nodes, limit in CASES:
            with self.subTest(nodes=nodes, limit=limit):
                played = play(nodes, limit, busy_share=0.9)
                self.assert_kept(played, limit)
                if limit >= 0.5:
                    self.assertGreater(played.measure_use(SETTLED_SECONDS), 0.6)

    def test_where_nodes_are_neither_busy_nor_idle(self):
        """Used from 2 s on, the least of four plays each.

        With requests counted over 1 s and grants that were good for 0.4 s 0.85, 0.87
        and 0.83, over 2 s and for 0.6 s 0.95, 0.87 and 0.91.
        """
        for nodes, limit, rate in ((18, 3.0, 90.0), (18, 3.0, 40.0), (96, 30.0, 390.0)):
            for seed in SEEDS[:4]:
                with self.subTest(nodes=nodes, rate=rate, seed=seed):
                    played = LimitSimulation(Scenario(nodes, limit, rate), seed)
                    played.name(limit)
                    played.run()
                    self.assert_kept(played, limit)
                    self.assertGreater(played.measure_use(SETTLED_SECONDS), 0.85)

    def test_nothing_is_saved_up_while_callers_rest(self):
        for nodes, limit in CASES:
            with self.subTest(nodes=nodes, limit=limit):
                self.assert_kept(play(nodes, limit, rest=(8.0, 16.0)), limit)

    def test_one_request_a_minute_at_each_node_and_then_a_burst(self):
        for nodes in (300, 1100):
            scenario = Scenario(nodes, 0.5, nodes / 60, rest=(10.0, 16.0))
            played = LimitSimulation(scenario)
            played.name(0.5)
            played.run()
            self.assert_kept(played, 0.5)

    def test_a_limit_costs_few_datagrams(self):
        for nodes, limit in CASES:
            with self.subTest(nodes=nodes, limit=limit):
                played = play(nodes, limit)
                a_second = played.datagrams / nodes / played.scenario.seconds
                self.assertLessEqual(a_second, 4.0)

    def test_requests_are_refused_at_once(self):
        played = play(18, 2.5)
        refused = sorted(
            seconds for node in played.nodes.values() for seconds in node.refused_after
        )
        self.assertLess(refused[len(refused) // 2], 0.02)


class FaultTests(LimitCase):
    """What holds where nodes don't hear each other."""

    def test_datagrams_are_lost(self):
        for loss in (0.03, 0.3, 1.0):
            with self.subTest(loss=loss):
                self.assert_kept(play(18, 3.0, loss=loss), 3.0)

    def test_one_in_thirty_datagrams_is_lost_and_the_limit_is_used(self):
        played = play(18, 3.0, loss=0.03)
        self.assertGreater(played.measure_use(SETTLED_SECONDS), 0.8)

    def test_the_coordinator_ends(self):
        """Used in the 7 s after the list of nodes lacks it, the least of eight plays.

        With requests counted over 1 s and grants that were good for 0.4 s 0.73, over
        2 s and for 0.6 s 0.88.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_end_of_the_coordinator(seed)

    def check_end_of_the_coordinator(self, seed):
        played = LimitSimulation(Scenario(18, 3.0, 90.0, seconds=8.0), seed)
        played.name(3.0)
        played.run()
        first = next(iter(played.nodes.values())).limits.coordinators[0]
        played.nodes[first].is_alive = False
        played.run()
        self.assert_kept(played, 3.0)
        # The second one grants half.
        self.assertGreater(played.measure_use(10.0), 0.35)
        left = [address for address in played.nodes if address != first]
        played.list_nodes(left, left)
        since = played.now + 1.0
        played.run()
        self.assert_kept(played, 3.0)
        self.assertGreater(played.measure_use(since), 0.85)

    def test_nodes_believe_in_different_fleets(self):
        """Two parts of the fleet have each a coordinator of their own."""
        played = LimitSimulation(Scenario(18, 3.0, 90.0, seconds=3.0))
        played.name(3.0)
        played.run()
        addresses = list(played.nodes)
        played.list_nodes(addresses[:9], addresses[:9])
        played.list_nodes(addresses[9:], addresses[9:])
        played.run(seconds=2.0)
        played.list_nodes(addresses)
        played.run()
        bound = 1.5 * 3.0 * WINDOW_SECONDS + MORE
        self.assertLessEqual(played.count_worst(), bound)

    def test_nodes_that_know_no_other_take_their_part_by_chance(self):
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                self.assert_kept(play(nodes, 3.0, shares_only=True), 3.0)

    def test_a_node_that_stood_still_wakes_with_nothing(self):
        played = play(6, 3.0, seconds=4.0)
        held = [node.limits.grant_client.held for node in played.nodes.values()]
        self.assertGreater(sum(grants.count(played.now) for grants in held), 0)
        played.now += 5.0
        self.assertEqual(sum(grants.count(played.now) for grants in held), 0)


class ChangeTests(LimitCase):
    """What was granted while an endpoint took more."""

    def test_a_limit_that_falls_holds_at_once(self):
        for nodes in (1, 6, 18):
            with self.subTest(nodes=nodes):
                scenario = Scenario(nodes, 30.0, 400.0, endpoints=2, seconds=6.0)
                played = LimitSimulation(scenario)
                played.name(30.0)
                played.run()
                fell = played.now
                played.name(1.0)
                played.run()
                self.assert_kept(played, 1.0, fell)

    def test_a_limit_that_rises_is_used_at_once(self):
        played = LimitSimulation(Scenario(6, 3.0, 90.0, endpoints=2, seconds=6.0))
        played.name(0.1)
        played.run()
        rose = played.now
        played.name(3.0)
        played.run()
        self.assertGreater(played.measure_use(rose), 0.8)


class ViewTests(LimitCase):
    """Nodes see endpoints differently; the coordinator serves all of them."""

    def setUp(self):
        self.played = LimitSimulation(Scenario(6, 3.0, 90.0, endpoints=2))
        self.played.name(3.0)
        first = next(iter(self.played.nodes.values())).limits.coordinators[0]
        self.coordinator = self.played.nodes[first].limits

    def test_endpoints_that_the_coordinator_does_not_reach_are_used_by_others(self):
        self.coordinator.usable = lambda endpoint, now: False
        self.played.run()
        self.assertGreater(self.played.measure_use(SETTLED_SECONDS), 0.85)

    def test_an_endpoint_that_it_takes_for_well_and_ill_by_turns(self):
        self.coordinator.usable = lambda endpoint, now: int(now * 20) % 2 == 0
        self.played.run()
        self.assert_kept(self.played, 3.0)

    def test_a_node_gets_no_grants_at_endpoints_that_it_does_not_reach(self):
        for node in self.played.nodes.values():
            node.limits.usable = lambda endpoint, now: endpoint != "i0"
        self.played.run()
        self.assertEqual(self.played.arrivals["i0"], [])
        self.assertGreater(len(self.played.arrivals["i1"]), 0.8 * 3.0 * 20.0)


class NewsTests(LimitCase):
    """How nodes come to know of a limit, and of its end."""

    def spread(self, nodes, loss=0.0):
        scenario = Scenario(nodes, 3.0, 90.0, endpoints=2, loss=loss)
        played = LimitSimulation(scenario)
        first = next(iter(played.nodes))
        played.pass_time(1.0)
        played.name(3.0, [first])
        return played, first

    def count_knowing(self, played):
        return sum(len(node.limits.limited) == 2 for node in played.nodes.values())

    def test_one_node_that_was_told_tells_all(self):
        for nodes in (6, 18, 300):
            with self.subTest(nodes=nodes):
                played, _ = self.spread(nodes)
                played.pass_time(7.0)
                self.assertGreaterEqual(self.count_knowing(played), 0.99 * nodes)

    def test_the_end_of_a_need_too(self):
        played, first = self.spread(18)
        played.pass_time(7.0)
        played.name(None, [first])
        played.pass_time(13.0)
        limited = [node.limits.limited for node in played.nodes.values()]
        self.assertEqual(limited, [{}] * 18)

    def test_news_end(self):
        played, _ = self.spread(18)
        played.pass_time(12.0)
        before = played.datagrams
        played.pass_time(20.0)
        self.assertEqual(played.datagrams, before)

    def test_a_node_that_starts_learns_of_limits_from_others(self):
        """Not by sending: it would be told by the first answers, all others by none."""
        for nodes in (6, 18, 300):
            with self.subTest(nodes=nodes):
                played, first = self.spread(nodes)
                played.pass_time(12.0)
                started = [played.start_node(a) for a in list(played.nodes)[-5:]]
                played.list_nodes(list(played.nodes), [n.address for n in started])
                played.pass_time(14.0)
                limited = [set(node.limits.limited) for node in started]
                self.assertEqual(limited, [{"i0", "i1"}] * 5)

    def test_a_node_that_starts_asks_for_a_while_only(self):
        played, _ = self.spread(18)
        played.pass_time(12.0)
        started = played.start_node(next(iter(played.nodes)))
        played.list_nodes(list(played.nodes), [started.address])
        played.pass_time(16.0)
        before = played.datagrams
        played.pass_time(20.0)
        self.assertEqual(played.datagrams, before)
