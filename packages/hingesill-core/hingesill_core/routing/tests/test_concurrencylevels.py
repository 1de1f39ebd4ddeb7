"""Tests of the concurrency limits estimated from response times."""

import unittest
from math import log

from msgspec.structs import replace

from hingesill_core.configuration.services import Route
from hingesill_core.routing.baselinelatency import MAX_RATIO, BaselineLatencies
from hingesill_core.routing.concurrencylevels import (
    HALF_LIFE_SECONDS,
    MAX_ANSWERS,
    MIN_ANSWERS,
)
from hingesill_core.routing.concurrencymodel import STABLE_ANSWERS, ConcurrencyModel
from hingesill_core.routing.latencycurves import LatencyCurves, merge_level_profiles
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import Stage, is_good_enough
from hingesill_core.routing.profile import BaselineLatency, LevelProfile, ServiceProfile

# Time after the answers of `build_curves`, in seconds.
LATER = 6.0


def build_curves(slots, times, answers=60):
    """Return curves with answers of each level in turn, ten a second."""
    curves = LatencyCurves()
    for step in range(answers):
        for level, ratio in enumerate(times, 1):
            curves.record(level, slots, ratio, step / 10)
    return curves


def build_route(name):
    """Return a route with its own path."""
    return Route("arena", "", f"/{name}/", True, True, 2.0)


class LatencyCurvesTests(unittest.TestCase):
    def test_without_answers_all_slots_are_used(self):
        self.assertEqual(LatencyCurves().get_concurrency_limit(6, LATER), 6)

    def test_endpoints_without_slowdown_are_filled(self):
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

    def test_a_level_faster_than_lower_ones_is_merged_with_them(self):
        curves = build_curves(6, (1, 1, 1, 1, 1.7, 1.7))
        for step in range(8):
            curves.record(6, 6, 0.7, LATER)
        self.assertEqual(curves.get_concurrency_limit(6, LATER), 4)

    def test_few_answers_are_ignored(self):
        curves = build_curves(3, (1, 1, 9.0), MIN_ANSWERS - 1)
        self.assertEqual(curves.get_concurrency_limit(3, LATER), 3)

    def test_a_level_that_is_no_longer_used_is_tried_again(self):
        curves = build_curves(3, (1, 1, 1.7))
        later = LATER + 10 * HALF_LIFE_SECONDS
        for step in range(60):
            curves.record(2, 3, 1.0, later)
        self.assertEqual(curves.get_concurrency_limit(3, LATER), 2)
        self.assertEqual(curves.get_concurrency_limit(3, later), 3)

    def test_endpoint_sizes_have_separate_limits(self):
        curves = build_curves(3, (1, 1, 1.7))
        self.assertEqual(curves.get_concurrency_limit(6, LATER), 6)

    def test_invalid_levels_are_not_recorded(self):
        curves = LatencyCurves()
        for level in (0, 4):
            curves.record(level, 3, 1.0, 0.0)
        self.assertEqual(curves.curves, {})


class BaselineLatenciesTests(unittest.TestCase):
    def compute_ratios(self, seconds):
        times = BaselineLatencies()
        return [
            times.compute_ratio(build_route("route"), item, 0.0) for item in seconds
        ]

    def test_the_first_answers_only_set_the_baseline(self):
        ratios = self.compute_ratios([0.2] * (MIN_ANSWERS + 1))
        self.assertEqual(ratios[:-1], [None] * MIN_ANSWERS)
        self.assertAlmostEqual(ratios[-1], 1.0)

    def test_answers_without_work_are_left_out(self):
        ratios = self.compute_ratios([0.2] * MIN_ANSWERS + [0.003, 0.0, 0.2])
        self.assertEqual(ratios[-3:-1], [None, None])
        self.assertAlmostEqual(ratios[-1], 1.0)

    def test_a_burst_of_slow_answers_is_detected(self):
        ratios = self.compute_ratios([0.2] * 60 + [0.33] * 15)
        self.assertGreater(ratios[-1], 1.4)

    def test_removed_routes_are_dropped(self):
        times = BaselineLatencies()
        for _ in range(MIN_ANSWERS):
            times.compute_ratio(build_route("old"), 0.2, 0.0)
            times.compute_ratio(build_route("new"), 0.2, 0.0)
        times.retain([build_route("new")])
        self.assertIsNone(times.compute_ratio(build_route("old"), 0.2, 0.0))
        self.assertIsNotNone(times.compute_ratio(build_route("new"), 0.2, 0.0))

    def test_routes_have_separate_baselines(self):
        times = BaselineLatencies()
        for _ in range(MIN_ANSWERS):
            times.compute_ratio(build_route("fast"), 0.1, 0.0)
            times.compute_ratio(build_route("slow"), 1.0, 0.0)
        self.assertAlmostEqual(times.compute_ratio(build_route("slow"), 1.0, 0.0), 1.0)


class SharedCurvesTests(unittest.TestCase):
    def test_a_new_node_uses_published_levels(self):
        profile = build_curves(6, (1, 1, 1, 1, 1.7, 1.7)).list_levels(LATER)
        started = LatencyCurves()
        self.assertEqual(started.get_concurrency_limit(6, 0.0), 6)
        started.adopt(profile, 0.0)
        self.assertEqual(started.get_concurrency_limit(6, 0.0), 4)

    def test_own_answers_are_combined_with_published_levels(self):
        started = LatencyCurves()
        started.adopt(build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 12).list_levels(6.0), 0)
        for step in range(200):
            for level in (4, 5, 6):
                started.record(level, 6, 1.0, step / 100)
        self.assertEqual(started.get_concurrency_limit(6, 2.0), 6)

    def test_few_answers_of_several_nodes_suffice_together(self):
        first = build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 5)
        self.assertEqual(first.get_concurrency_limit(6, 0.5), 6)
        second = build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 5)
        second.adopt(first.list_levels(0.5), 0.5)
        third = build_curves(6, (1, 1, 1, 1, 1.7, 1.7), 5)
        third.adopt(second.list_levels(0.5), 0.5)
        self.assertEqual(third.get_concurrency_limit(6, 0.5), 4)

    def test_published_answers_are_not_counted_twice(self):
        curves = build_curves(3, (1, 1, 1.7), 10)
        profile = curves.list_levels(1.0)
        curves.mark_published(profile, 1.0)
        self.assertEqual(curves.get_unpublished_share(1.0), 0.0)
        self.assertEqual(curves.list_levels(1.0), profile)

    def test_pooled_curves_replace_unobserved_levels(self):
        pooled = LatencyCurves()
        busy, quiet = LatencyCurves(pooled), LatencyCurves(pooled)
        for step in range(60):
            for level, ratio in ((1, 1), (2, 1), (3, 1.7)):
                busy.record(level, 3, ratio, step / 10)
        self.assertEqual(quiet.get_concurrency_limit(3, LATER), 2)

    def test_a_new_node_uses_published_levels_of_all_services(self):
        published = build_curves(3, (1, 1, 1.7)).list_levels(LATER)
        pooled = LatencyCurves()
        quiet = LatencyCurves(pooled)
        pooled.adopt(
            merge_level_profiles(
                [ServiceProfile(published), ServiceProfile(published)]
            ),
            0.0,
        )
        self.assertEqual(quiet.get_concurrency_limit(3, 0.0), 2)


class ReportingTests(unittest.TestCase):
    """Nodes with few answers report to a relay, which publishes to all nodes."""

    ROUTE = build_route("read")

    def build_model(self):
        """Return the model of a node that has just started."""
        model = ConcurrencyModel()
        model.baselines.retain([self.ROUTE])
        return model

    def record_answers(self, slots, answers):
        """Record answers of three levels in turn at a node."""
        for step in range(answers):
            level = 1 + step % 3
            seconds = 0.34 if level == 3 else 0.2
            slots.record_answer(self.ROUTE, seconds, level, 3, step / 10)

    def test_reports_of_many_nodes_give_a_limit(self):
        relay = self.build_model()
        nodes = [self.build_model() for _ in range(30)]
        for node in nodes:
            self.record_answers(node, 6)
            relay.merge_report(node.take_unreported(1.0), 1.0)
        self.assertTrue(relay.should_publish(1.0))
        for node in nodes:
            node.adopt(relay.build_profile(1.0), 1.0)
            self.record_answers(node, 6)
            relay.merge_report(node.take_unreported(2.0), 2.0)
        self.assertEqual(nodes[0].get_concurrency_limit(3, 2.0), 3)
        nodes[0].adopt(relay.build_profile(2.0), 2.0)
        self.assertEqual(nodes[0].get_concurrency_limit(3, 2.0), 2)

    def test_reported_answers_count_until_published(self):
        node = ConcurrencyModel()
        self.record_answers(node, 90)
        self.assertEqual(node.get_concurrency_limit(3, 9.0), 2)
        self.assertIsNotNone(node.take_unreported(9.0))
        self.assertIsNone(node.take_unreported(9.0))
        self.assertEqual(node.get_concurrency_limit(3, 9.5), 2)
        node.adopt(ServiceProfile(), 9.5)
        self.assertEqual(node.get_concurrency_limit(3, 9.5), 3)

    def test_stable_levels_are_published_only_with_changed_limits(self):
        half = STABLE_ANSWERS / 2
        levels = tuple(LevelProfile(3, number, half, 0.0) for number in (1, 2, 3))
        slower = levels[:2] + (LevelProfile(3, 3, half, log(MAX_RATIO)),)
        for report, should_publish in ((levels, False), (slower, True)):
            node = ConcurrencyModel()
            node.adopt(ServiceProfile(levels), 0.0)
            node.curves.merge_report(report, 0.0)
            self.assertIs(node.should_publish(0.0), should_publish)

    def test_invalid_reported_levels_are_ignored(self):
        node = ConcurrencyModel()
        levels = (LevelProfile(3, 4, 50.0, 0.0), LevelProfile(3, 0, 50.0, 0.0))
        node.merge_report(ServiceProfile(levels), 0.0)
        self.assertEqual(node.curves.list_levels(0.0), ())

    def test_a_report_counts_for_at_most_the_maximum_answers(self):
        node = ConcurrencyModel()
        invalid = (LevelProfile(3, 1, 1e9, 99.0),)
        node.merge_report(ServiceProfile(invalid), 0.0)
        (level,) = node.curves.list_levels(0.0)
        self.assertEqual(level.answers, MAX_ANSWERS)
        self.assertAlmostEqual(level.mean, log(MAX_RATIO))

    def test_undeclared_routes_are_ignored(self):
        relay = self.build_model()
        published = BaselineLatency("", "", "/other/", 50.0, 0.0)
        relay.merge_report(ServiceProfile(usual_times=(published,)), 0.0)
        relay.adopt(ServiceProfile(usual_times=(published,)), 0.0)
        self.assertEqual(relay.baselines.build(0.0), ())

    def test_a_route_with_another_limit_is_the_same_route(self):
        times = BaselineLatencies()
        for _ in range(MIN_ANSWERS):
            times.compute_ratio(self.ROUTE, 0.2, 0.0)
        changed = replace(self.ROUTE, timeout=5.0)
        times.retain([changed])
        self.assertIsNotNone(times.compute_ratio(changed, 0.2, 0.0))


class ConcurrencyLimitTests(unittest.TestCase):
    def test_a_slot_above_the_limit_is_not_free(self):
        report = LoadReport(2, 0.0, 0, 3)
        self.assertFalse(is_good_enough(report, Stage.ACCEPTING, 2, 2.0))
        self.assertTrue(is_good_enough(report, Stage.ACCEPTING, 3, 2.0))
