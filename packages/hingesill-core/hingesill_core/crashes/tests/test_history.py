"""Tests of what is remembered of endings."""

import unittest
from itertools import permutations

from hingesill_core.crashes.history import (
    MEMORY_SECONDS,
    MOST_REQUESTS,
    Ending,
    EndingHistory,
)


class EndingTests(unittest.TestCase):
    def setUp(self):
        self.history = EndingHistory()

    def test_one_end_that_several_nodes_saw_counts_once(self):
        self.assertTrue(self.history.note_ending("bad", Ending("i1", 10.0)))
        self.assertFalse(self.history.note_ending("bad", Ending("i1", 10.2)))

    def test_another_life_under_the_same_identity_counts_again(self):
        self.history.note_ending("bad", Ending("i1", 10.0))
        self.assertTrue(self.history.note_ending("bad", Ending("i1", 12.0)))
        self.assertEqual(len(self.history.get_endings("bad")), 2)

    def test_an_answer_takes_back_what_was_before_it(self):
        self.history.note_ending("one", Ending("i1", 10.0))
        self.history.note_ending("one", Ending("i2", 12.0))
        self.assertTrue(self.history.note_answer("one", 11.0))
        self.assertEqual(self.history.get_endings("one"), (Ending("i2", 12.0),))
        self.assertFalse(self.history.note_ending("one", Ending("i3", 10.5)))

    def test_the_order_of_what_is_told_does_not_matter(self):
        steps = [
            ("note_ending", Ending("i1", 10.0)),
            ("note_ending", Ending("i2", 12.0)),
            ("note_answer", 11.0),
            ("note_ending", Ending("i1", 13.0)),
        ]
        results = set()
        for order in permutations(steps):
            history = EndingHistory()
            for name, content in order:
                getattr(history, name)("one", content)
            results.add(frozenset(history.get_endings("one")))
        self.assertEqual(results, {frozenset({Ending("i2", 12.0), Ending("i1", 13.0)})})

    def test_that_it_is_answered_again_is_no_news(self):
        self.history.note_ending("one", Ending("i1", 10.0))
        self.assertTrue(self.history.note_answer("one", 11.0))
        self.assertFalse(self.history.note_answer("one", 12.0))


class BoundTests(unittest.TestCase):
    def test_requests_with_most_endings_stay(self):
        history = EndingHistory()
        for endpoint in ("i1", "i2"):
            history.note_ending("bad", Ending(endpoint, 1.0))
        for number in range(2 * MOST_REQUESTS):
            history.note_ending(f"r{number}", Ending("i3", 1.0))
        self.assertEqual(len(history), MOST_REQUESTS)
        self.assertIn("bad", history)

    def test_all_is_forgotten_in_time(self):
        history = EndingHistory()
        history.note_ending("bad", Ending("i1", 1.0))
        history.note_answer("one", 1.0)
        history.forget(1.0 + MEMORY_SECONDS)
        self.assertEqual(len(history), 0)
