"""Tests of what is remembered of endings."""

import unittest
from itertools import permutations

from hingesill_core.crashes.attribution import EVENT_SECONDS
from hingesill_core.crashes.history import (
    MEMORY_SECONDS,
    MOST_ENDINGS,
    MOST_REQUESTS,
    CrashHistory,
    EndpointCrash,
)


class EndingTests(unittest.TestCase):
    def setUp(self):
        self.history = CrashHistory()

    def test_one_end_that_several_nodes_saw_counts_once(self):
        self.assertTrue(self.history.record_crash("bad", EndpointCrash("i1", 10.0)))
        self.assertFalse(self.history.record_crash("bad", EndpointCrash("i1", 10.2)))

    def test_another_life_under_the_same_identity_counts_again(self):
        self.history.record_crash("bad", EndpointCrash("i1", 10.0))
        self.assertTrue(self.history.record_crash("bad", EndpointCrash("i1", 12.0)))
        self.assertEqual(len(self.history.get_crashes("bad")), 2)

    def test_an_answer_takes_back_what_was_before_it(self):
        self.history.record_crash("one", EndpointCrash("i1", 10.0))
        self.history.record_crash("one", EndpointCrash("i2", 12.0))
        self.assertTrue(self.history.record_answer("one", 11.0))
        self.assertEqual(self.history.get_crashes("one"), (EndpointCrash("i2", 12.0),))
        self.assertFalse(self.history.record_crash("one", EndpointCrash("i3", 10.5)))

    def test_the_order_of_what_is_told_does_not_matter(self):
        steps = [
            ("record_crash", EndpointCrash("i1", 10.0)),
            ("record_crash", EndpointCrash("i2", 12.0)),
            ("record_answer", 11.0),
            ("record_crash", EndpointCrash("i1", 13.0)),
        ]
        results = set()
        for order in permutations(steps):
            history = CrashHistory()
            for name, content in order:
                getattr(history, name)("one", content)
            results.add(frozenset(history.get_crashes("one")))
        self.assertEqual(
            results, {frozenset({EndpointCrash("i2", 12.0), EndpointCrash("i1", 13.0)})}
        )

    def test_that_it_is_answered_again_is_no_news(self):
        self.history.record_crash("one", EndpointCrash("i1", 10.0))
        self.assertTrue(self.history.record_answer("one", 11.0))
        self.assertFalse(self.history.record_answer("one", 12.0))


class BoundTests(unittest.TestCase):
    def fill(self, *times):
        history = CrashHistory()
        for number, at in enumerate(times):
            history.record_crash("bad", EndpointCrash(f"i{number}", at))
        return history, sorted(ending.at for ending in history.get_crashes("bad"))

    def test_too_many_endings_keep_the_first_and_the_last(self):
        _, kept = self.fill(*range(20), 40)
        self.assertEqual(len(kept), MOST_ENDINGS)
        self.assertEqual((kept[0], kept[-1]), (0, 40))

    def test_they_leave_no_gap_where_there_was_none(self):
        _, kept = self.fill(*(number / 10 for number in range(21)))
        gaps = [later - at for at, later in zip(kept, kept[1:])]
        self.assertLess(max(gaps), EVENT_SECONDS)

    def test_one_that_was_dropped_is_no_news_when_it_is_told_again(self):
        history, kept = self.fill(1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.7, 4.0)
        for number, at in enumerate((1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.7, 4.0)):
            self.assertFalse(
                history.record_crash("bad", EndpointCrash(f"i{number}", at))
            )
        self.assertIn(4.0, kept)

    def test_requests_with_most_endings_stay(self):
        history = CrashHistory()
        for endpoint in ("i1", "i2"):
            history.record_crash("bad", EndpointCrash(endpoint, 1.0))
        for number in range(2 * MOST_REQUESTS):
            history.record_crash(f"r{number}", EndpointCrash("i3", 1.0))
        self.assertEqual(len(history), MOST_REQUESTS)
        self.assertIn("bad", history)

    def test_all_is_forgotten_in_time(self):
        history = CrashHistory()
        history.record_crash("bad", EndpointCrash("i1", 1.0))
        history.record_answer("one", 1.0)
        history.forget(1.0 + MEMORY_SECONDS)
        self.assertEqual(len(history), 0)
