"""Tests of quarantines that are kept in the store."""

import unittest
from types import SimpleNamespace

from hingesill_core.crashes.quarantine import QUARANTINE_SECONDS
from hingesill_core.discovery.records import QuarantineRecord
from hingesill_core.store import StoreFailure
from hingesill_node.crashes.quarantinestore import (
    NON_RELAY_DELAY_SECONDS,
    RETRY_SECONDS,
    QuarantineStore,
)
from hingesill_node.crashes.requestguard import RequestGuard

BAD = ("a1",)
DAY = 1_700_000_000.0


class RecordingStore:
    """Records writes and deletions."""

    def __init__(self):
        self.saved = []
        self.deleted = []
        self.answer = None

    def save_quarantine(self, record, seconds):
        self.saved.append((record, seconds))
        return self.answer

    def delete_quarantine(self, fingerprint):
        self.deleted.append(fingerprint)
        return self.answer


class QuarantineStoreTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.is_relay = True
        self.store = RecordingStore()
        self.directory = SimpleNamespace(held={})
        self.guard = RequestGuard(clock=lambda: self.now)
        self.quarantine_store = self.build_quarantine_store(self.guard)

    def build_quarantine_store(self, guard):
        return QuarantineStore(
            self.store,
            self.directory,
            guard,
            lambda: self.is_relay,
            lambda: True,
            lambda: DAY + self.now,
        )

    def record_crashes(self, *times):
        for number, at in enumerate(times):
            self.guard.decisions.record_crash(BAD, f"i{number}", at)

    def confirm_quarantine(self):
        self.record_crashes(97.0, 98.5, 100.0)

    def test_relay_writes_confirmed_quarantine_at_once(self):
        self.confirm_quarantine()
        self.quarantine_store.synchronize()
        ((record, seconds),) = self.store.saved
        self.assertEqual((record.fingerprint, record.times), ("a1", 1))
        self.assertEqual(record.until, DAY + self.now + QUARANTINE_SECONDS)
        self.assertEqual(seconds, QUARANTINE_SECONDS)

    def test_provisional_quarantine_is_not_written(self):
        self.record_crashes(99.8, 99.9, 100.0)
        self.quarantine_store.synchronize()
        self.assertEqual(self.store.saved, [])

    def test_other_node_writes_if_no_relay_did(self):
        self.is_relay = False
        self.confirm_quarantine()
        self.quarantine_store.synchronize()
        self.assertEqual(self.store.saved, [])
        self.now += 2 * NON_RELAY_DELAY_SECONDS + 0.1
        self.quarantine_store.synchronize()
        self.assertEqual(len(self.store.saved), 1)

    def test_listed_quarantine_is_not_written_again(self):
        self.confirm_quarantine()
        self.directory.held = {"a1": QuarantineRecord("a1", DAY, DAY + 700.0, 1)}
        self.quarantine_store.synchronize()
        self.assertEqual(self.store.saved, [])

    def test_failed_write_is_repeated_later(self):
        self.store.answer = StoreFailure("status 503")
        self.confirm_quarantine()
        for _ in range(3):
            self.quarantine_store.synchronize()
        self.assertEqual(len(self.store.saved), 1)
        self.now += RETRY_SECONDS
        self.quarantine_store.synchronize()
        self.assertEqual(len(self.store.saved), 2)

    def test_quarantine_is_deleted_after_an_answer(self):
        self.confirm_quarantine()
        self.directory.held = {"a1": QuarantineRecord("a1", DAY + 97.0, DAY + 700.0, 1)}
        self.guard.decisions.record_answer(BAD, 101.0)
        self.quarantine_store.synchronize()
        self.assertEqual(self.store.deleted, ["a1"])

    def test_starting_node_applies_listed_quarantines(self):
        guard = RequestGuard(clock=lambda: self.now)
        store = self.build_quarantine_store(guard)
        store.take({"a1": QuarantineRecord("a1", DAY, DAY + self.now + 50.0, 1)})
        quarantined = guard.decisions.find_quarantine(BAD, self.now)
        self.assertAlmostEqual(quarantined.until, self.now + 50.0, places=3)

    def test_expired_listed_quarantine_is_not_applied(self):
        self.quarantine_store.take({"a1": QuarantineRecord("a1", DAY, DAY + 99.0, 1)})
        self.assertIsNone(self.guard.decisions.find_quarantine(BAD, self.now))
