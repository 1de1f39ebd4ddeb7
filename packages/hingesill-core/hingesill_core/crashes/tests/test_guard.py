"""Tests of when a request is held back, and when it is let go."""

import random
import unittest

from hingesill_core.crashes.guard import SOURCE_STORE, CrashGuard, QuarantineStarted
from hingesill_core.crashes.messages import GossipItem, GossipKind
from hingesill_core.crashes.quarantine import (
    QUARANTINE_SECONDS,
    SHORT_QUARANTINE_SECONDS,
    TRIAL_SECONDS,
    QuarantinedRequest,
)

BAD = "a-bad"
COMPANION = "a-companion"


class GuardCase(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.guard = CrashGuard(random.Random(1), self.changes.append)

    def end(self, *endings, fingerprint=BAD):
        """Note endings, given as endpoint and time."""
        for endpoint, at in endings:
            self.guard.record_crash((fingerprint,), endpoint, at)

    def get_seconds(self, now, fingerprint=BAD):
        """Return for how long a request is held back; 0 if it is not."""
        held = self.guard.find_quarantine((fingerprint,), now)
        return 0.0 if held is None else held.until - now


class HoldTests(GuardCase):
    def test_two_endings_hold_nothing_back(self):
        self.end(("i1", 1.0), ("i2", 3.0))
        self.assertEqual(self.get_seconds(3.0), 0.0)

    def test_three_of_one_event_hold_it_back_for_a_moment(self):
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 1.2))
        self.assertAlmostEqual(self.get_seconds(1.2), SHORT_QUARANTINE_SECONDS)
        self.assertEqual(self.get_seconds(1.2 + SHORT_QUARANTINE_SECONDS), 0.0)

    def test_a_further_one_after_that_holds_it_back_for_long(self):
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 1.2), ("i4", 2.5))
        self.assertEqual(self.get_seconds(2.5), QUARANTINE_SECONDS)

    def test_three_of_two_events_hold_it_back_for_long(self):
        self.end(("i1", 1.0), ("i2", 1.1), ("i1", 5.0))
        self.assertEqual(self.get_seconds(5.0), QUARANTINE_SECONDS)

    def test_many_of_one_event_do_not_hide_the_next_event(self):
        """Ten end within half a second, which filled the memory; one more ends later.

        The later ones were not noted: the hold stayed one of a moment, and in one of
        six plays of a day the request was sent nine times more, 19 ended in all.
        """
        self.end(*((f"i{number}", 4.5 + number / 20) for number in range(10)))
        self.end(("i11", 6.4))
        self.assertGreater(self.get_seconds(6.4), 60.0)

    def test_a_companion_that_cannot_be_told_from_it(self):
        for name in (BAD, COMPANION):
            self.end(("i1", 1.0), ("i2", 1.1), ("i3", 5.0), fingerprint=name)
        self.assertEqual(self.get_seconds(5.0, COMPANION), SHORT_QUARANTINE_SECONDS)

    def test_most_endings_around_are_not_its_own(self):
        for number in range(8):
            self.end((f"e{number}", 1.0 + number / 4), fingerprint=f"a-{number}")
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 3.0))
        self.assertEqual(self.get_seconds(3.0), SHORT_QUARANTINE_SECONDS)
        self.end(("i4", 4.5), ("i5", 6.0))
        self.assertEqual(self.get_seconds(6.0), QUARANTINE_SECONDS)

    def test_what_is_held_back_explains_the_endings_of_others(self):
        self.end(("i1", 1.0), ("i2", 3.0), ("i3", 5.0), ("i4", 5.1))
        own = (("i1", 1.0), ("i2", 3.0), ("i3", 5.0))
        self.end(*own, fingerprint=COMPANION)
        self.assertGreater(self.get_seconds(5.0), SHORT_QUARANTINE_SECONDS)
        self.assertEqual(self.get_seconds(5.0, COMPANION), SHORT_QUARANTINE_SECONDS)


class ReleaseTests(GuardCase):
    def setUp(self):
        super().setUp()
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 5.0))

    def test_an_answer_lets_it_go(self):
        self.guard.record_answer((BAD,), 5.1)
        self.assertEqual(self.get_seconds(5.1), 0.0)
        self.assertEqual(self.changes[-1].reason, "answered")

    def test_so_does_one_between_its_endings_that_is_told_late(self):
        told = GossipItem(GossipKind.ANSWERED, (BAD,), age=4.0)
        self.guard.apply_item(told, 6.0)
        self.assertEqual(self.get_seconds(6.0), 0.0)

    def test_one_from_before_them_does_not(self):
        self.guard.apply_item(GossipItem(GossipKind.ANSWERED, (BAD,), age=5.5), 6.0)
        self.assertGreater(self.get_seconds(6.0), SHORT_QUARANTINE_SECONDS)

    def test_the_hold_ends_by_itself_and_one_ending_renews_it(self):
        later = 5.0 + QUARANTINE_SECONDS + 1.0
        self.guard.forget(later)
        self.assertEqual(self.get_seconds(later), 0.0)
        self.end(("i4", later))
        self.assertEqual(self.get_seconds(later), 2 * QUARANTINE_SECONDS)

    def test_nothing_is_left_after_the_trial(self):
        self.guard.forget(5.0 + QUARANTINE_SECONDS + TRIAL_SECONDS + 1.0)
        self.assertTrue(self.guard.is_idle)


class BreadthTests(GuardCase):
    """What of a request ends endpoints is found out."""

    def note(self, caller, endpoint, at):
        self.guard.record_crash((f"a-{caller}", "b-content"), endpoint, at)

    def test_the_narrowest_that_explains_all_is_held_back(self):
        for endpoint, at in (("i1", 1.0), ("i2", 1.1), ("i3", 5.0)):
            self.note("one", endpoint, at)
        self.assertEqual(self.get_seconds(5.0, "a-one"), QUARANTINE_SECONDS)
        self.assertEqual(self.get_seconds(5.0, "b-content"), 0.0)

    def test_the_content_if_it_comes_from_many_callers(self):
        for number, at in enumerate((1.0, 3.0, 5.0)):
            self.note(f"caller{number}", f"i{number}", at)
        self.assertEqual(self.get_seconds(5.0, "b-content"), QUARANTINE_SECONDS)
        held = self.guard.find_quarantine(("a-new", "b-content"), 5.0)
        self.assertIsNotNone(held)

    def test_an_answer_to_another_caller_leaves_the_caller_held_back(self):
        for endpoint, at in (("i1", 1.0), ("i2", 1.1)):
            self.note("one", endpoint, at)
        self.guard.record_answer(("a-two", "b-content"), 2.0)
        self.note("one", "i3", 5.0)
        self.assertEqual(self.get_seconds(5.0, "a-one"), QUARANTINE_SECONDS)
        self.assertEqual(self.get_seconds(5.0, "b-content"), 0.0)


class RetryTests(GuardCase):
    def test_a_third_endpoint_is_not_tried_before_the_second_was_looked_at(self):
        self.assertTrue(self.guard.may_send_again((BAD,), 1.0, pending=1))
        self.end(("i1", 1.0), ("i2", 1.1))
        self.assertFalse(self.guard.may_send_again((BAD,), 1.1, pending=1))

    def test_one_on_trial_is_sent_once(self):
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 1.2))
        self.assertFalse(self.guard.may_send_again((BAD,), 2.5, pending=1))


class FleetTests(GuardCase):
    """What one node tells, another one takes."""

    def tell(self, other, now):
        for told in self.guard.list_items(now):
            other.apply_item(told, now)

    def test_endings_of_several_nodes_are_added_up(self):
        other = CrashGuard(random.Random(2))
        other.record_crash((BAD,), "i3", 5.0)
        self.end(("i1", 1.0), ("i2", 1.1))
        self.tell(other, 5.5)
        self.assertIsNotNone(other.find_quarantine((BAD,), 5.5))

    def test_one_that_starts_is_told_what_is_held_back(self):
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 5.0))
        other = CrashGuard(random.Random(2))
        self.tell(other, 10.0)
        held = other.find_quarantine((BAD,), 10.0)
        self.assertAlmostEqual(held.until, 5.0 + QUARANTINE_SECONDS)

    def test_what_the_store_tells_is_not_passed_on(self):
        request = QuarantinedRequest(1.0, 500.0, 1)
        self.guard.adopt(BAD, request, SOURCE_STORE)
        self.assertEqual(self.get_seconds(100.0), 400.0)
        self.assertFalse(self.guard.gossip)
        self.assertIsInstance(self.changes[-1], QuarantineStarted)

    def test_an_older_word_does_not_undo_an_answer(self):
        self.end(("i1", 1.0), ("i2", 1.1), ("i3", 5.0))
        self.guard.record_answer((BAD,), 6.0)
        self.guard.adopt(BAD, QuarantinedRequest(1.0, 500.0, 1), SOURCE_STORE)
        self.assertEqual(self.get_seconds(7.0), 0.0)
        self.assertTrue(self.guard.is_cleared(BAD))
