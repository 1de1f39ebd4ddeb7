"""Tests of learning how many slots of an endpoint are worth taking."""

import unittest
from math import log

from msgspec.structs import replace

from hingesill_core.configuration.services import Route
from hingesill_core.routing.baselinelatency import MOST_RATIO, BaselineLatencies
from hingesill_core.routing.concurrencylevels import (
    FEWEST_ANSWERS,
    HALF_LIFE,
    MOST_ANSWERS,
)
from hingesill_core.routing.concurrencymodel import SETTLED_ANSWERS, ConcurrencyModel
from hingesill_core.routing.latencycurves import LatencyCurves, merge_level_profiles
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import Stage, is_good_enough
from hingesill_core.routing.profile import BaselineLatency, LevelProfile, ServiceProfile

# After the answers that `build_curves` makes, in seconds.
LATER = 6.0


def build_curves(slots, times, answers=60):
    """Return curves that took answers of each level in turn, ten a second."""
    curves = LatencyCurves()
    for turn in range(answers):
        for level, ratio in enumerate(times, 1):
            curves.note(level, slots, ratio, turn / 10)
    return curves


def build_route(name):
    """Return a route of its own path."""
    return Route("arena", "", f"/{name}/", True, True, 2.0)


class SlotCurvesTests(unittest.TestCase):
    def test_without_answers_all_slots_are_taken(self):
        self.assertEqual(LatencyCurves().get_concurrency_limit(6, LATER), 6)

    def test_endpoints_that_get_no_slower_are_filled(self):
        for slots, times in ((3, (1, 1, 1.1)), (6, (1, 1, 1, 1.05, 1.1, 1.15))):
            with self.subTest(slots=slots):
                self.assertEqual(
                    build_curves(slots, times).get_concurrency_limit(slots, LATER),
                    slots,
                )

    def test_a_slow_last_slot_is_left_free(self):
        self.assertEqual(
            build_curves(3, (1, 1, 1.7)).get_concurrency_limit(3, LATER), 2
        )

    def test_all_slow_levels_are_left_free(self):
        times = (1, 1, 1, 1, 1.7, 1.7)
        self.assertEqual(build_curves(6, times).get_concurrency_limit(6, LATER), 4)

    def test_the_level_before_a_steep_one_is_found(self):
        times = (1, 1, 1, 1, 1, 1, 1.2, 3.0)
        self.assertEqual(build_curves(8, times).get_concurrency_limit(8, LATER), 6)

    def test_a_level_that_looks_faster_than_lower_ones_counts_with_them(self):
        curves = build_curves(6, (1, 1, 1, 1, 1.7, 1.7))
        for turn in range(8):
            curves.note(6, 6, 0.7, LATER)
        self.assertEqual(curves.get_concurrency_limit(6, LATER), 4)

    def test_few_answers_say_nothing(self):
        curves = build_curves(3, (1, 1, 9.0), FEWEST_ANSWERS - 1)
        self.assertEqual(curves.get_concurrency_limit(3, LATER), 3)

    def test_a_level_that_is_no_longer_used_is_tried_again(self):
        curves = build_curves(3, (1, 1, 1.7))
        later = LATER + 10 * HALF_LIFE
        for turn in range(60):
            curves.note(2, 3, 1.0, later)
        self.assertEqual(curves.get_concurrency_limit(3, LATER), 2)
        self.assertEqual(curves.get_concurrency_limit(3, later), 3)

    def test_endpoints_of_each_size_have_their_own(self):
        curves = build_curves(3, (1, 1, 1.7))
        self.assertEqual(curves.get_concurrency_limit(6, LATER), 6)

    def test_what_cannot_be_is_passed_over(self):
        curves = LatencyCurves()
        for level in (0, 4):
            curves.note(level, 3, 1.0, 0.0)
        self.assertEqual(curves.curves, {})


class UsualTimesTests(unittest.TestCase):
    def rate_all(self, seconds):
        times = BaselineLatencies()
        return [times.rate(build_route("route"), item, 0.0) for item in seconds]

    def test_the_first_answers_only_tell_what_is_usual(self):
        ratios = self.rate_all([0.2] * (FEWEST_ANSWERS + 1))
        self.assertEqual(ratios[:-1], [None] * FEWEST_ANSWERS)
        self.assertAlmostEqual(ratios[-1], 1.0)

    def test_answers_without_work_are_left_out(self):
        ratios = self.rate_all([0.2] * FEWEST_ANSWERS + [0.003, 0.0, 0.2])
        self.assertEqual(ratios[-3:-1], [None, None])
        self.assertAlmostEqual(ratios[-1], 1.0)

    def test_a_burst_of_slow_answers_is_seen_as_slow(self):
        ratios = self.rate_all([0.2] * 60 + [0.33] * 15)
        self.assertGreater(ratios[-1], 1.4)

    def test_routes_that_are_gone_are_forgotten(self):
        times = BaselineLatencies()
        for _ in range(FEWEST_ANSWERS):
            times.rate(build_route("old"), 0.2, 0.0)
            times.rate(build_route("new"), 0.2, 0.0)
        times.keep([build_route("new")])
        self.assertIsNone(times.rate(build_route("old"), 0.2, 0.0))
        self.assertIsNotNone(times.rate(build_route("new"), 0.2, 0.0))

    def test_routes_have_their_own(self):
        times = BaselineLatencies()
        for _ in range(FEWEST_ANSWERS):
            times.rate(build_route("fast"), 0.1, 0.0)
            times.rate(build_route("slow"), 1.0, 0.0)
        self.assertAlmostEqual(times.rate(build_route("slow"), 1.0, 0.0), 1.0)


class SharedCurvesTests(unittest.TestCase):
    def test_a_node_that_starts_goes_by_what_others_learnt(self):
        profile = build_curves(6, (1, 1, 1, 1, 1.7, 1.7)).list_levels(LATER)
        started = LatencyCurves()
        self.assertEqual(started.get_concurrency_limit(6, 0.0), 6)
        started.adopt(profile, 0.0)
        self.assertEqual(started.get_concurrency_limit(6, 0.0), 4)

    def test_own_answers_count_beside_what_others_learnt(self):
        started = LatencyCurves()
        started.adopt(build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 12).list_levels(6.0), 0)
        for turn in range(200):
            for level in (4, 5, 6):
                started.note(level, 6, 1.0, turn / 100)
        self.assertEqual(started.get_concurrency_limit(6, 2.0), 6)

    def test_few_answers_of_several_nodes_are_enough_together(self):
        first = build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 5)
        self.assertEqual(first.get_concurrency_limit(6, 0.5), 6)
        second = build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 5)
        second.adopt(first.list_levels(0.5), 0.5)
        third = build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 5)
        third.adopt(second.list_levels(0.5), 0.5)
        self.assertEqual(third.get_concurrency_limit(6, 0.5), 4)

    def test_what_was_told_is_not_counted_twice(self):
        curves = build_curves(3, (1, 1, 1.7), 10)
        profile = curves.list_levels(1.0)
        curves.mark_published(profile, 1.0)
        self.assertEqual(curves.get_unpublished_share(1.0), 0.0)
        self.assertEqual(curves.list_levels(1.0), profile)

    def test_other_services_of_the_node_stand_in_for_what_is_not_known(self):
        pooled = LatencyCurves()
        busy, quiet = LatencyCurves(pooled), LatencyCurves(pooled)
        for turn in range(60):
            for level, ratio in ((1, 1), (2, 1), (3, 1.7)):
                busy.note(level, 3, ratio, turn / 10)
        self.assertEqual(quiet.get_concurrency_limit(3, LATER), 2)

    def test_a_started_node_knows_of_services_by_what_others_learnt_of_all(self):
        told = build_curves(3, (1, 1, 1.7)).list_levels(LATER)
        pooled = LatencyCurves()
        quiet = LatencyCurves(pooled)
        pooled.adopt(
            merge_level_profiles([ServiceProfile(told), ServiceProfile(told)]), 0.0
        )
        self.assertEqual(quiet.get_concurrency_limit(3, 0.0), 2)


class ReportingTests(unittest.TestCase):
    """Nodes that answer little tell a relay, which tells all."""

    ROUTE = build_route("read")

    def build_knowledge(self):
        """Return what a node knows that has just started."""
        knowledge = ConcurrencyModel()
        knowledge.usual_times.keep([self.ROUTE])
        return knowledge

    def learn(self, slots, answers):
        """Let a node take answers of three levels in turn."""
        for turn in range(answers):
            level = 1 + turn % 3
            seconds = 0.34 if level == 3 else 0.2
            slots.record_answer(self.ROUTE, seconds, level, 3, turn / 10)

    def test_many_nodes_learn_what_none_could_alone(self):
        relay = self.build_knowledge()
        nodes = [self.build_knowledge() for _ in range(30)]
        for node in nodes:
            self.learn(node, 6)
            relay.merge_report(node.take_unreported(1.0), 1.0)
        self.assertTrue(relay.should_publish(1.0))
        for node in nodes:
            node.adopt(relay.build_profile(1.0), 1.0)
            self.learn(node, 6)
            relay.merge_report(node.take_unreported(2.0), 2.0)
        self.assertEqual(nodes[0].get_concurrency_limit(3, 2.0), 3)
        nodes[0].adopt(relay.build_profile(2.0), 2.0)
        self.assertEqual(nodes[0].get_concurrency_limit(3, 2.0), 2)

    def test_what_was_reported_counts_until_all_are_told(self):
        node = ConcurrencyModel()
        self.learn(node, 90)
        self.assertEqual(node.get_concurrency_limit(3, 9.0), 2)
        self.assertIsNotNone(node.take_unreported(9.0))
        self.assertIsNone(node.take_unreported(9.0))
        self.assertEqual(node.get_concurrency_limit(3, 9.5), 2)
        node.adopt(ServiceProfile(), 9.5)
        self.assertEqual(node.get_concurrency_limit(3, 9.5), 3)

    def test_settled_levels_are_told_again_only_if_they_say_something_else(self):
        half = SETTLED_ANSWERS / 2
        levels = tuple(LevelProfile(3, number, half, 0.0) for number in (1, 2, 3))
        slower = levels[:2] + (LevelProfile(3, 3, half, log(MOST_RATIO)),)
        for news, should_publish in ((levels, False), (slower, True)):
            node = ConcurrencyModel()
            node.adopt(ServiceProfile(levels), 0.0)
            node.curves.merge_report(news, 0.0)
            self.assertIs(node.should_publish(0.0), should_publish)

    def test_what_cannot_be_is_not_taken(self):
        node = ConcurrencyModel()
        levels = (LevelProfile(3, 4, 50.0, 0.0), LevelProfile(3, 0, 50.0, 0.0))
        node.merge_report(ServiceProfile(levels), 0.0)
        self.assertEqual(node.curves.list_levels(0.0), ())

    def test_one_node_counts_for_no_more_than_a_level_remembers(self):
        node = ConcurrencyModel()
        wild = (LevelProfile(3, 1, 1e9, 99.0),)
        node.merge_report(ServiceProfile(wild), 0.0)
        (level,) = node.curves.list_levels(0.0)
        self.assertEqual(level.answers, MOST_ANSWERS)
        self.assertAlmostEqual(level.mean, log(MOST_RATIO))

    def test_routes_that_are_not_declared_are_not_taken(self):
        relay = self.build_knowledge()
        told = BaselineLatency("", "", "/other/", 50.0, 0.0)
        relay.merge_report(ServiceProfile(usual_times=(told,)), 0.0)
        relay.adopt(ServiceProfile(usual_times=(told,)), 0.0)
        self.assertEqual(relay.usual_times.build(0.0), ())

    def test_a_route_with_another_limit_is_the_same_route(self):
        times = BaselineLatencies()
        for _ in range(FEWEST_ANSWERS):
            times.rate(self.ROUTE, 0.2, 0.0)
        changed = replace(self.ROUTE, timeout=5.0)
        times.keep([changed])
        self.assertIsNotNone(times.rate(changed, 0.2, 0.0))


class UsableSlotsTests(unittest.TestCase):
    def test_a_slot_beyond_the_usable_ones_is_no_free_one(self):
        report = LoadReport(2, 0.0, 0, 3)
        self.assertFalse(is_good_enough(report, Stage.ACCEPTING, 2, 2.0))
        self.assertTrue(is_good_enough(report, Stage.ACCEPTING, 3, 2.0))
