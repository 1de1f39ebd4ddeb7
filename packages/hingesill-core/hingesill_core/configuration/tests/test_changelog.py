"""Tests of the change log in the store, with faults at each of its calls."""

import unittest

from hingesill_core.configuration.changelog import (
    Accepted,
    ChangeLog,
    ChangeRequest,
    Rejected,
    Rejection,
)
from hingesill_core.configuration.log import ServiceChange
from hingesill_core.configuration.snapshots import Snapshot
from hingesill_core.configuration.state import Applied, Replica
from hingesill_core.store import (
    KeyMissing,
    StoreFailure,
    Value,
    VersionConflict,
    Written,
)

UNLIMITED = 50


class FaultyStore:
    """A store in memory whose writes can lose their answer or their effect."""

    def __init__(self):
        self.values = {}
        self.counter = 0
        self.lose_answers = 0
        self.drop_writes = 0
        self.down = False
        self.delayed = []

    def get(self, key):
        return StoreFailure("down") if self.down else self.values.get(key, KeyMissing())

    def put(self, key, data, expected):
        if self.down:
            return StoreFailure("down")
        if self.drop_writes:
            self.drop_writes -= 1
            self.delayed.append((key, data, expected))
            return StoreFailure("dropped", True)
        if self.values.get(key, KeyMissing()).version != expected:
            return VersionConflict()
        self.counter += 1
        self.values[key] = Value(data, self.counter)
        if self.lose_answers:
            self.lose_answers -= 1
            return StoreFailure("lost", True)
        return Written()

    def delete(self, key):
        self.values.pop(key, None)
        return Written()

    def deliver_delayed(self):
        """Let the dropped writes arrive after all."""
        delayed, self.delayed = self.delayed, []
        return [self.put(*arguments) for arguments in delayed]


def ask(operation, expected=0, document="{}", service="arena"):
    """Return a request to change one service."""
    change = ServiceChange(service, document)
    return ChangeRequest(operation, "ann", (change,), (expected,))


def count_down(number):
    """Return a function that is true that many times."""
    left = [number]

    def is_in_time():
        left[0] -= 1
        return left[0] >= 0

    return is_in_time


class ChangeLogTests(unittest.TestCase):
    def setUp(self):
        self.store = FaultyStore()
        self.log = ChangeLog(self.store, "team")
        self.replica = Replica()

    def append(self, request, replica=None, tries=UNLIMITED):
        replica = self.replica if replica is None else replica
        return self.log.append(replica, request, count_down(tries))

    def test_accepted_change_is_read_by_another(self):
        self.assertEqual(self.append(ask("op-1")), Accepted(1))
        other = Replica()
        outcome = self.log.catch_up(other, self.log.read_tail())
        self.assertIs(outcome, Applied.APPLIED)
        self.assertEqual(other.services["arena"].document, "{}")
        self.assertEqual(other.chain, self.replica.chain)

    def test_lost_answer_is_read_back(self):
        self.store.lose_answers = 1
        self.assertEqual(self.append(ask("op-1")), Accepted(1, repeated=True))
        self.assertEqual(self.log.read_tail().revision, 1)

    def test_dropped_write_is_written_again(self):
        self.store.drop_writes = 1
        self.assertEqual(self.append(ask("op-1")), Accepted(1))
        self.assertEqual(self.store.deliver_delayed(), [VersionConflict()])
        self.assertEqual(self.log.read_tail().revision, 1)

    def test_unknown_when_the_store_stays_away(self):
        self.store.lose_answers = 1
        verdict = self.append(ask("op-1"), tries=0)
        self.assertIs(verdict.reason, Rejection.UNKNOWN)
        self.assertEqual(self.append(ask("op-1")), Accepted(1, repeated=True))

    def test_unavailable_when_nothing_was_written(self):
        self.store.down = True
        verdict = self.append(ask("op-1"))
        self.assertIs(verdict.reason, Rejection.UNAVAILABLE)

    def test_same_operation_takes_effect_once(self):
        self.append(ask("op-1"))
        self.append(ask("op-2", expected=1))
        self.assertEqual(self.append(ask("op-1")), Accepted(1, repeated=True))
        self.assertEqual(self.log.read_tail().revision, 2)

    def test_racing_operators_conflict(self):
        other = Replica()
        self.append(ask("op-1"))
        verdict = self.append(ask("op-2"), other)
        self.assertEqual(verdict, Rejected(Rejection.CONFLICT, "arena"))

    def test_tombstone_has_a_version(self):
        self.append(ask("op-1"))
        self.append(ask("op-2", expected=1, document=None))
        self.assertEqual(self.replica.get_version("arena"), 2)
        verdict = self.append(ask("op-3", expected=0))
        self.assertIs(verdict.reason, Rejection.CONFLICT)

    def test_long_log_is_sealed_and_read_from_the_start(self):
        for number in range(200):
            request = ask(f"op-{number}", expected=number, document="x" * 200)
            self.assertIsInstance(self.append(request), Accepted)
        self.assertGreater(len(self.store.values), 3)
        other = Replica()
        self.log.catch_up(other, self.log.read_tail())
        self.assertEqual(other.revision, 200)

    def test_snapshot_takes_the_place_of_segments(self):
        for number in range(100):
            self.append(ask(f"op-{number}", expected=number, document="x" * 200))
        self.assertEqual(self.log.snapshots.save(self.replica), Snapshot())
        for key in [key for key in self.store.values if "segment" in key]:
            del self.store.values[key]
        other = Replica()
        self.log.catch_up(other, self.log.read_tail())
        self.assertEqual(other.revision, 100)

    def test_store_does_not_grow_for_ever(self):
        sizes = []
        for number in range(400):
            self.append(ask(f"op-{number}", expected=number, document="x" * 200))
            if number % 50 == 49:
                before = self.log.snapshots.save(self.replica)
                self.log.truncate_before(before)
                sizes.append(len(self.store.values))
        self.assertLessEqual(max(sizes), 8, sizes)
        other = Replica()
        self.log.catch_up(other, self.log.read_tail())
        self.assertEqual(other.revision, 400)

    def test_restored_store_is_recognised(self):
        self.append(ask("op-1"))
        early = dict(self.store.values)
        self.append(ask("op-2", expected=1))
        self.store.values = early
        outcome = self.log.catch_up(self.replica, self.log.read_tail())
        self.assertIs(outcome, Applied.OLDER)
        verdict = self.append(ask("op-3", expected=2))
        self.assertIs(verdict.reason, Rejection.STORE_BEHIND)
        self.assertEqual(self.replica.revision, 2)

    def test_fork_of_a_restored_store_is_recognised(self):
        self.append(ask("op-1"))
        early = dict(self.store.values)
        self.append(ask("op-2", expected=1))
        self.store.values = early
        self.append(ask("op-x", expected=1, document="other"), Replica())
        outcome = self.log.catch_up(self.replica, self.log.read_tail())
        self.assertIs(outcome, Applied.FORKED)
        self.assertEqual(self.replica.services["arena"].document, "{}")
