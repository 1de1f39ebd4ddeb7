"""Tests of which word of an endpoint counts."""

import unittest

from hingesill_core.ratelimits.reportedlimits import LimitBook, ReportedLimit


def say(per_second, earliest, latest, born=1):
    return ReportedLimit("i1", born, per_second, earliest, latest)


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.book = LimitBook()

    def take(self, *words):
        for report in words:
            self.book.take(report)
        return self.book.limited.get("i1")

    def test_a_later_word_counts(self):
        self.assertEqual(self.take(say(3.0, 0.0, 0.1), say(5.0, 0.2, 0.3)), 5.0)
        self.assertIsNone(self.take(say(None, 0.4, 0.5)))
        self.assertEqual(self.book.limited, {})

    def test_an_answer_that_comes_late_brings_no_older_word_back(self):
        self.take(say(3.0, 1.0, 1.1), say(None, 2.0, 2.1))
        self.assertIsNone(self.take(say(3.0, 0.9, 1.9)))

    def test_an_answer_that_was_under_way_does_not_end_a_need(self):
        self.assertEqual(self.take(say(3.0, 1.0, 1.1), say(None, 0.5, 1.2)), 3.0)
        self.assertIsNone(self.take(say(None, 1.15, 1.3)))

    def test_of_two_words_whose_order_is_not_certain_the_stricter_counts(self):
        self.assertEqual(self.take(say(3.0, 1.0, 1.5), say(2.0, 1.2, 1.4)), 2.0)
        self.assertEqual(self.take(say(4.0, 1.3, 1.6)), 2.0)

    def test_many_answers_at_once_do_not_keep_a_need_that_is_over(self):
        self.take(say(3.0, 0.0, 0.1))
        for begun in (0.05, 0.08, 0.09):
            self.take(say(None, begun, begun + 0.2))
        self.assertIsNone(self.take(say(None, 0.11, 0.25)))

    def test_a_limit_ends_with_the_life(self):
        self.take(say(3.0, 1.0, 1.1))
        self.assertEqual(len(self.book.keep({"i1": 2})), 1)
        self.assertEqual(self.book.limited, {})

    def test_a_word_of_an_earlier_life_changes_nothing(self):
        self.take(say(3.0, 1.0, 1.1, born=2))
        self.assertEqual(self.take(say(None, 2.0, 2.1, born=1)), 3.0)
        self.assertEqual(self.take(say(9.0, 2.0, 2.1, born=3)), 9.0)

    def test_endpoints_without_a_need_take_no_memory(self):
        self.assertFalse(self.book.take(say(None, 0.0, 0.1)))
        self.assertIsNone(self.book.get("i1"))

    def test_what_is_no_longer_named_is_forgotten(self):
        self.take(say(3.0, 0.0, 0.1), say(None, 0.2, 0.3))
        self.book.forget(30.0)
        self.assertIsNotNone(self.book.get("i1"))
        self.book.forget(100.0)
        self.assertIsNone(self.book.get("i1"))
