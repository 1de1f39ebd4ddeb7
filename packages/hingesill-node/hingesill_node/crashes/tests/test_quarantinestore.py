"""Tests of holds that are kept in the store."""

import unittest
from types import SimpleNamespace

from hingesill_core.crashes.quarantine import QUARANTINE_SECONDS
from hingesill_core.discovery.records import QuarantineRecord
from hingesill_core.store import StoreFailure
from hingesill_node.crashes.quarantinestore import (
    OTHERS_WAIT_SECONDS,
    RETRY_SECONDS,
    QuarantineStore,
)
from hingesill_node.crashes.requestguard import RequestGuard

BAD = ("a1",)
DAY = 1_700_000_000.0


class RecordingStore:
    """Notes what is written."""

    def __init__(self):
        self.held = []
        self.let_gone = []
        self.answer = None

    def save_quarantine(self, record, seconds):
        self.held.append((record, seconds))
        return self.answer

    def delete_quarantine(self, fingerprint):
        self.let_gone.append(fingerprint)
        return self.answer


class HoldStoreTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.is_relay = True
        self.store = RecordingStore()
        self.directory = SimpleNamespace(held={})
        self.guard = RequestGuard(clock=lambda: self.now)
        self.holds = self.build_holds(self.guard)

    def build_holds(self, guard):
        return QuarantineStore(
            self.store,
            self.directory,
            guard,
            lambda: self.is_relay,
            lambda: True,
            lambda: DAY + self.now,
        )

    def end(self, *times):
        for number, at in enumerate(times):
            self.guard.decisions.record_crash(BAD, f"i{number}", at)

    def save_quarantine(self):
        self.end(97.0, 98.5, 100.0)

    def test_a_relay_writes_a_long_hold_at_once(self):
        self.save_quarantine()
        self.holds.review()
        ((record, seconds),) = self.store.held
        self.assertEqual((record.fingerprint, record.times), ("a1", 1))
        self.assertEqual(record.until, DAY + self.now + QUARANTINE_SECONDS)
        self.assertEqual(seconds, QUARANTINE_SECONDS)

    def test_a_short_one_is_not_written(self):
        self.end(99.8, 99.9, 100.0)
        self.holds.review()
        self.assertEqual(self.store.held, [])

    def test_another_node_writes_if_no_relay_did(self):
        self.is_relay = False
        self.save_quarantine()
        self.holds.review()
        self.assertEqual(self.store.held, [])
        self.now += 2 * OTHERS_WAIT_SECONDS + 0.1
        self.holds.review()
        self.assertEqual(len(self.store.held), 1)

    def test_one_that_is_listed_is_not_written_again(self):
        self.save_quarantine()
        self.directory.held = {"a1": QuarantineRecord("a1", DAY, DAY + 700.0, 1)}
        self.holds.review()
        self.assertEqual(self.store.held, [])

    def test_one_that_failed_is_written_again_later(self):
        self.store.answer = StoreFailure("status 503")
        self.save_quarantine()
        for _ in range(3):
            self.holds.review()
        self.assertEqual(len(self.store.held), 1)
        self.now += RETRY_SECONDS
        self.holds.review()
        self.assertEqual(len(self.store.held), 2)

    def test_one_that_was_answered_is_removed(self):
        self.save_quarantine()
        self.directory.held = {"a1": QuarantineRecord("a1", DAY + 97.0, DAY + 700.0, 1)}
        self.guard.decisions.record_answer(BAD, 101.0)
        self.holds.review()
        self.assertEqual(self.store.let_gone, ["a1"])

    def test_a_node_that_starts_takes_what_is_listed(self):
        guard = RequestGuard(clock=lambda: self.now)
        holds = self.build_holds(guard)
        holds.take({"a1": QuarantineRecord("a1", DAY, DAY + self.now + 50.0, 1)})
        held = guard.decisions.find_quarantine(BAD, self.now)
        self.assertAlmostEqual(held.until, self.now + 50.0, places=3)

    def test_a_listed_one_whose_time_is_over_holds_nothing_back(self):
        self.holds.take({"a1": QuarantineRecord("a1", DAY, DAY + 99.0, 1)})
        self.assertIsNone(self.guard.decisions.find_quarantine(BAD, self.now))
