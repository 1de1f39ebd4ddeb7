"""Tests of the change log with faults at each call of the store."""

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

MANY_TRIES = 50


class FaultyStore:
    """A store in memory that can lose writes or the responses to them."""

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
        """Apply the dropped writes late; return their results."""
        delayed, self.delayed = self.delayed, []
        return [self.put(*arguments) for arguments in delayed]


def build_request(operation, expected=0, document="{}", service="arena"):
    """Return a ChangeRequest for one service."""
    change = ServiceChange(service, document)
    return ChangeRequest(operation, "ann", (change,), (expected,))


def build_countdown(number):
    """Return a function that returns True a given number of times."""
    remaining = [number]

    def is_in_time():
        remaining[0] -= 1
        return remaining[0] >= 0

    return is_in_time


class ChangeLogTests(unittest.TestCase):
    def setUp(self):
        self.store = FaultyStore()
        self.log = ChangeLog(self.store, "team")
        self.replica = Replica()

    def append(self, request, replica=None, tries=MANY_TRIES):
        replica = self.replica if replica is None else replica
        return self.log.append(replica, request, build_countdown(tries))

    def test_an_accepted_change_reaches_another_replica(self):
        self.assertEqual(self.append(build_request("op-1")), Accepted(1))
        other = Replica()
        outcome = self.log.catch_up(other, self.log.read_tail())
        self.assertIs(outcome, Applied.APPLIED)
        self.assertEqual(other.services["arena"].document, "{}")
        self.assertEqual(other.chain, self.replica.chain)

    def test_a_write_with_a_lost_response_is_read_back(self):
        self.store.lose_answers = 1
        self.assertEqual(self.append(build_request("op-1")), Accepted(1, repeated=True))
        self.assertEqual(self.log.read_tail().revision, 1)

    def test_a_dropped_write_is_repeated(self):
        self.store.drop_writes = 1
        self.assertEqual(self.append(build_request("op-1")), Accepted(1))
        self.assertEqual(self.store.deliver_delayed(), [VersionConflict()])
        self.assertEqual(self.log.read_tail().revision, 1)

    def test_unknown_while_the_store_is_unreachable_after_a_write(self):
        self.store.lose_answers = 1
        result = self.append(build_request("op-1"), tries=0)
        self.assertIs(result.reason, Rejection.UNKNOWN)
        self.assertEqual(self.append(build_request("op-1")), Accepted(1, repeated=True))

    def test_unavailable_without_a_write(self):
        self.store.down = True
        result = self.append(build_request("op-1"))
        self.assertIs(result.reason, Rejection.UNAVAILABLE)

    def test_an_operation_takes_effect_once(self):
        self.append(build_request("op-1"))
        self.append(build_request("op-2", expected=1))
        self.assertEqual(self.append(build_request("op-1")), Accepted(1, repeated=True))
        self.assertEqual(self.log.read_tail().revision, 2)

    def test_concurrent_operators_conflict(self):
        other = Replica()
        self.append(build_request("op-1"))
        result = self.append(build_request("op-2"), other)
        self.assertEqual(result, Rejected(Rejection.CONFLICT, "arena"))

    def test_tombstone_has_a_version(self):
        self.append(build_request("op-1"))
        self.append(build_request("op-2", expected=1, document=None))
        self.assertEqual(self.replica.get_version("arena"), 2)
        result = self.append(build_request("op-3", expected=0))
        self.assertIs(result.reason, Rejection.CONFLICT)

    def test_a_long_log_is_sealed_and_read_from_the_start(self):
        for number in range(200):
            request = build_request(f"op-{number}", expected=number, document="x" * 200)
            self.assertIsInstance(self.append(request), Accepted)
        self.assertGreater(len(self.store.values), 3)
        other = Replica()
        self.log.catch_up(other, self.log.read_tail())
        self.assertEqual(other.revision, 200)

    def test_a_snapshot_replaces_segments(self):
        for number in range(100):
            self.append(
                build_request(f"op-{number}", expected=number, document="x" * 200)
            )
        self.assertEqual(self.log.snapshots.save(self.replica), Snapshot())
        for key in [key for key in self.store.values if "segment" in key]:
            del self.store.values[key]
        other = Replica()
        self.log.catch_up(other, self.log.read_tail())
        self.assertEqual(other.revision, 100)

    def test_the_size_of_the_store_is_bounded(self):
        sizes = []
        for number in range(400):
            self.append(
                build_request(f"op-{number}", expected=number, document="x" * 200)
            )
            if number % 50 == 49:
                before = self.log.snapshots.save(self.replica)
                self.log.truncate_before(before)
                sizes.append(len(self.store.values))
        self.assertLessEqual(max(sizes), 8, sizes)
        other = Replica()
        self.log.catch_up(other, self.log.read_tail())
        self.assertEqual(other.revision, 400)

    def test_a_restored_store_is_detected(self):
        self.append(build_request("op-1"))
        earlier_copy = dict(self.store.values)
        self.append(build_request("op-2", expected=1))
        self.store.values = earlier_copy
        outcome = self.log.catch_up(self.replica, self.log.read_tail())
        self.assertIs(outcome, Applied.OLDER)
        result = self.append(build_request("op-3", expected=2))
        self.assertIs(result.reason, Rejection.STORE_BEHIND)
        self.assertEqual(self.replica.revision, 2)

    def test_a_fork_of_a_restored_store_is_detected(self):
        self.append(build_request("op-1"))
        earlier_copy = dict(self.store.values)
        self.append(build_request("op-2", expected=1))
        self.store.values = earlier_copy
        self.append(build_request("op-x", expected=1, document="other"), Replica())
        outcome = self.log.catch_up(self.replica, self.log.read_tail())
        self.assertIs(outcome, Applied.FORKED)
        self.assertEqual(self.replica.services["arena"].document, "{}")
