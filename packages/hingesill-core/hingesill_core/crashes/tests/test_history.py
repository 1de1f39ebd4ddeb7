"""Tests of the history of endpoint crashes."""

import unittest
from itertools import permutations

from hingesill_core.crashes.attribution import EVENT_SECONDS
from hingesill_core.crashes.history import (
    CRASH_RETENTION_SECONDS,
    MAX_CRASHES_PER_REQUEST,
    MAX_REQUESTS,
    CrashHistory,
    EndpointCrash,
)


class CrashTests(unittest.TestCase):
    def setUp(self):
        self.history = CrashHistory()

    def test_crash_seen_by_several_nodes_counts_once(self):
        self.assertTrue(self.history.record_crash("bad", EndpointCrash("i1", 10.0)))
        self.assertFalse(self.history.record_crash("bad", EndpointCrash("i1", 10.2)))

    def test_crash_of_next_incarnation_counts_again(self):
        self.history.record_crash("bad", EndpointCrash("i1", 10.0))
        self.assertTrue(self.history.record_crash("bad", EndpointCrash("i1", 12.0)))
        self.assertEqual(len(self.history.get_crashes("bad")), 2)

    def test_answer_removes_earlier_crashes(self):
        self.history.record_crash("one", EndpointCrash("i1", 10.0))
        self.history.record_crash("one", EndpointCrash("i2", 12.0))
        self.assertTrue(self.history.record_answer("one", 11.0))
        self.assertEqual(self.history.get_crashes("one"), (EndpointCrash("i2", 12.0),))
        self.assertFalse(self.history.record_crash("one", EndpointCrash("i3", 10.5)))

    def test_order_of_records_does_not_matter(self):
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

    def test_further_answers_are_not_reported(self):
        self.history.record_crash("one", EndpointCrash("i1", 10.0))
        self.assertTrue(self.history.record_answer("one", 11.0))
        self.assertFalse(self.history.record_answer("one", 12.0))


class LimitTests(unittest.TestCase):
    def fill(self, *times):
        history = CrashHistory()
        for number, at in enumerate(times):
            history.record_crash("bad", EndpointCrash(f"i{number}", at))
        return history, sorted(crash.at for crash in history.get_crashes("bad"))

    def test_first_and_last_of_too_many_crashes_are_kept(self):
        _, kept = self.fill(*range(20), 40)
        self.assertEqual(len(kept), MAX_CRASHES_PER_REQUEST)
        self.assertEqual((kept[0], kept[-1]), (0, 40))

    def test_dropped_crashes_leave_no_gap_between_events(self):
        _, kept = self.fill(*(number / 10 for number in range(21)))
        gaps = [later - at for at, later in zip(kept, kept[1:])]
        self.assertLess(max(gaps), EVENT_SECONDS)

    def test_dropped_crash_is_not_added_again(self):
        history, kept = self.fill(1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.7, 4.0)
        for number, at in enumerate((1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.7, 4.0)):
            self.assertFalse(
                history.record_crash("bad", EndpointCrash(f"i{number}", at))
            )
        self.assertIn(4.0, kept)

    def test_requests_with_most_crashes_are_kept(self):
        history = CrashHistory()
        for endpoint in ("i1", "i2"):
            history.record_crash("bad", EndpointCrash(endpoint, 1.0))
        for number in range(2 * MAX_REQUESTS):
            history.record_crash(f"r{number}", EndpointCrash("i3", 1.0))
        self.assertEqual(len(history), MAX_REQUESTS)
        self.assertIn("bad", history)

    def test_records_expire(self):
        history = CrashHistory()
        history.record_crash("bad", EndpointCrash("i1", 1.0))
        history.record_answer("one", 1.0)
        history.remove_expired(1.0 + CRASH_RETENTION_SECONDS)
        self.assertEqual(len(history), 0)
