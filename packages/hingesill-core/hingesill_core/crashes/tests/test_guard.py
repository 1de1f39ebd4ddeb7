"""Tests of the start and the end of quarantines."""

import random
import unittest

from hingesill_core.crashes.guard import SOURCE_STORE, CrashGuard, QuarantineStarted
from hingesill_core.crashes.messages import GossipItem, GossipKind
from hingesill_core.crashes.quarantine import (
    PROBATION_SECONDS,
    QUARANTINE_SECONDS,
    SHORT_QUARANTINE_SECONDS,
    QuarantinedRequest,
)

BAD = "a-bad"
UNRELATED = "a-unrelated"


class GuardCase(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.guard = CrashGuard(random.Random(1), self.changes.append)

    def crash(self, *crashes, fingerprint=BAD):
        """Record crashes, given as endpoint and time."""
        for endpoint, at in crashes:
            self.guard.record_crash((fingerprint,), endpoint, at)

    def get_quarantine_seconds(self, now, fingerprint=BAD):
        """Return the remaining seconds of a quarantine; 0 without one."""
        quarantined = self.guard.find_quarantine((fingerprint,), now)
        return 0.0 if quarantined is None else quarantined.until - now


class QuarantineTests(GuardCase):
    def test_two_crashes_start_no_quarantine(self):
        self.crash(("i1", 1.0), ("i2", 3.0))
        self.assertEqual(self.get_quarantine_seconds(3.0), 0.0)

    def test_three_crashes_of_one_event_start_a_provisional_quarantine(self):
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 1.2))
        self.assertAlmostEqual(
            self.get_quarantine_seconds(1.2), SHORT_QUARANTINE_SECONDS
        )
        self.assertEqual(
            self.get_quarantine_seconds(1.2 + SHORT_QUARANTINE_SECONDS), 0.0
        )

    def test_further_crash_confirms_the_quarantine(self):
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 1.2), ("i4", 2.5))
        self.assertEqual(self.get_quarantine_seconds(2.5), QUARANTINE_SECONDS)

    def test_three_crashes_of_two_events_start_a_confirmed_quarantine(self):
        self.crash(("i1", 1.0), ("i2", 1.1), ("i1", 5.0))
        self.assertEqual(self.get_quarantine_seconds(5.0), QUARANTINE_SECONDS)

    def test_many_of_one_event_do_not_hide_the_next_event(self):
        """Ten endpoints crash within half a second and one more later.

        If the ten fill the memory of a request and later crashes are not recorded, the
        quarantine stays provisional: in one of six simulations the request was sent
        nine more times and 19 endpoints crashed.
        """
        self.crash(*((f"i{number}", 4.5 + number / 20) for number in range(10)))
        self.crash(("i11", 6.4))
        self.assertGreater(self.get_quarantine_seconds(6.4), 60.0)

    def test_request_with_the_same_crashes_keeps_quarantines_provisional(self):
        for name in (BAD, UNRELATED):
            self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 5.0), fingerprint=name)
        self.assertEqual(
            self.get_quarantine_seconds(5.0, UNRELATED), SHORT_QUARANTINE_SECONDS
        )

    def test_most_crashes_nearby_happened_without_the_request(self):
        for number in range(8):
            self.crash((f"e{number}", 1.0 + number / 4), fingerprint=f"a-{number}")
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 3.0))
        self.assertEqual(self.get_quarantine_seconds(3.0), SHORT_QUARANTINE_SECONDS)
        self.crash(("i4", 4.5), ("i5", 6.0))
        self.assertEqual(self.get_quarantine_seconds(6.0), QUARANTINE_SECONDS)

    def test_confirmed_quarantine_explains_the_crashes_of_others(self):
        self.crash(("i1", 1.0), ("i2", 3.0), ("i3", 5.0), ("i4", 5.1))
        own = (("i1", 1.0), ("i2", 3.0), ("i3", 5.0))
        self.crash(*own, fingerprint=UNRELATED)
        self.assertGreater(self.get_quarantine_seconds(5.0), SHORT_QUARANTINE_SECONDS)
        self.assertEqual(
            self.get_quarantine_seconds(5.0, UNRELATED), SHORT_QUARANTINE_SECONDS
        )


class ReleaseTests(GuardCase):
    def setUp(self):
        super().setUp()
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 5.0))

    def test_answer_releases_the_request(self):
        self.guard.record_answer((BAD,), 5.1)
        self.assertEqual(self.get_quarantine_seconds(5.1), 0.0)
        self.assertEqual(self.changes[-1].reason, "answered")

    def test_late_report_of_an_answer_between_crashes_releases_the_request(self):
        item = GossipItem(GossipKind.ANSWERED, (BAD,), age=4.0)
        self.guard.apply_item(item, 6.0)
        self.assertEqual(self.get_quarantine_seconds(6.0), 0.0)

    def test_answer_before_the_crashes_releases_nothing(self):
        self.guard.apply_item(GossipItem(GossipKind.ANSWERED, (BAD,), age=5.5), 6.0)
        self.assertGreater(self.get_quarantine_seconds(6.0), SHORT_QUARANTINE_SECONDS)

    def test_quarantine_expires_and_one_crash_renews_it(self):
        later = 5.0 + QUARANTINE_SECONDS + 1.0
        self.guard.remove_expired(later)
        self.assertEqual(self.get_quarantine_seconds(later), 0.0)
        self.crash(("i4", later))
        self.assertEqual(self.get_quarantine_seconds(later), 2 * QUARANTINE_SECONDS)

    def test_probation_expires(self):
        self.guard.remove_expired(5.0 + QUARANTINE_SECONDS + PROBATION_SECONDS + 1.0)
        self.assertTrue(self.guard.is_idle)


class ScopeTests(GuardCase):
    """The scope that crashes endpoints is found."""

    def record(self, caller, endpoint, at):
        self.guard.record_crash((f"a-{caller}", "b-content"), endpoint, at)

    def test_narrowest_scope_with_all_crashes_is_quarantined(self):
        for endpoint, at in (("i1", 1.0), ("i2", 1.1), ("i3", 5.0)):
            self.record("one", endpoint, at)
        self.assertEqual(self.get_quarantine_seconds(5.0, "a-one"), QUARANTINE_SECONDS)
        self.assertEqual(self.get_quarantine_seconds(5.0, "b-content"), 0.0)

    def test_content_from_many_callers_is_quarantined(self):
        for number, at in enumerate((1.0, 3.0, 5.0)):
            self.record(f"caller{number}", f"i{number}", at)
        self.assertEqual(
            self.get_quarantine_seconds(5.0, "b-content"), QUARANTINE_SECONDS
        )
        quarantined = self.guard.find_quarantine(("a-new", "b-content"), 5.0)
        self.assertIsNotNone(quarantined)

    def test_answer_to_another_caller_keeps_the_callers_quarantine(self):
        for endpoint, at in (("i1", 1.0), ("i2", 1.1)):
            self.record("one", endpoint, at)
        self.guard.record_answer(("a-two", "b-content"), 2.0)
        self.record("one", "i3", 5.0)
        self.assertEqual(self.get_quarantine_seconds(5.0, "a-one"), QUARANTINE_SECONDS)
        self.assertEqual(self.get_quarantine_seconds(5.0, "b-content"), 0.0)


class RetryTests(GuardCase):
    def test_no_third_send_while_the_check_of_the_second_endpoint_runs(self):
        self.assertTrue(self.guard.may_send_again((BAD,), 1.0, pending=1))
        self.crash(("i1", 1.0), ("i2", 1.1))
        self.assertFalse(self.guard.may_send_again((BAD,), 1.1, pending=1))

    def test_request_on_probation_is_sent_once(self):
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 1.2))
        self.assertFalse(self.guard.may_send_again((BAD,), 2.5, pending=1))


class FleetTests(GuardCase):
    """Items of one node are applied by another."""

    def send_items(self, other, now):
        for item in self.guard.list_items(now):
            other.apply_item(item, now)

    def test_crashes_of_several_nodes_are_added_up(self):
        other = CrashGuard(random.Random(2))
        other.record_crash((BAD,), "i3", 5.0)
        self.crash(("i1", 1.0), ("i2", 1.1))
        self.send_items(other, 5.5)
        self.assertIsNotNone(other.find_quarantine((BAD,), 5.5))

    def test_starting_node_receives_quarantines(self):
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 5.0))
        other = CrashGuard(random.Random(2))
        self.send_items(other, 10.0)
        quarantined = other.find_quarantine((BAD,), 10.0)
        self.assertAlmostEqual(quarantined.until, 5.0 + QUARANTINE_SECONDS)

    def test_quarantine_from_the_store_is_not_gossiped(self):
        request = QuarantinedRequest(1.0, 500.0, 1)
        self.guard.apply_quarantine(BAD, request, SOURCE_STORE)
        self.assertEqual(self.get_quarantine_seconds(100.0), 400.0)
        self.assertFalse(self.guard.gossip)
        self.assertIsInstance(self.changes[-1], QuarantineStarted)

    def test_older_quarantine_does_not_undo_an_answer(self):
        self.crash(("i1", 1.0), ("i2", 1.1), ("i3", 5.0))
        self.guard.record_answer((BAD,), 6.0)
        self.guard.apply_quarantine(
            BAD, QuarantinedRequest(1.0, 500.0, 1), SOURCE_STORE
        )
        self.assertEqual(self.get_quarantine_seconds(7.0), 0.0)
        self.assertTrue(self.guard.is_cleared(BAD))
