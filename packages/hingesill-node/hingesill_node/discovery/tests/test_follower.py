"""Tests of following a store with the failures that its documentation describes."""

import unittest
from collections import deque

import eventlet
from msgspec.structs import replace

from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    Changes,
    DeclaredConfiguration,
    DeclaredService,
    EndpointRecord,
    HistoryGone,
    Snapshot,
    StoreRestored,
)
from hingesill_core.store import StoreFailure
from hingesill_node.discovery.follower import (
    SHORT_WATCH_PERIOD_SECONDS,
    SHORT_WATCH_SECONDS,
    WATCH_SECONDS,
    Follower,
)

FAILED = StoreFailure("status 503")


def build_declared(version):
    return DeclaredConfiguration(version, (DeclaredService("arena", "/health", 9),), ())


def build_snapshot(revision, version=1, instances=("i1",)):
    endpoints = {
        name: EndpointRecord(name, "arena", "10.0.0.1:80", "a", 3) for name in instances
    }
    return Snapshot(Position(0, revision), build_declared(version), endpoints)


class ScriptedSource:
    """A source with scripted answers; a watch without one waits."""

    def __init__(self, reads=(), waits=()):
        self.reads = deque(reads)
        self.waits = deque(waits)
        self.position = Position()
        self.waited_from = []

    def read(self, may_be_stale=False):
        return self.reads.popleft() if self.reads else FAILED

    def wait(self, after, seconds):
        self.waited_from.append(after)
        if self.waits:
            return self.waits.popleft()
        eventlet.sleep(5.0)
        return FAILED

    def check(self):
        return self.position


class SilentSource(ScriptedSource):
    """A source whose watches return nothing, not even after their wait."""

    ANSWER_SECONDS = 1.0

    def wait(self, after, seconds):
        eventlet.sleep(seconds + self.ANSWER_SECONDS)
        return FAILED


class NoPeers:
    def fetch_newer(self, directory):
        return None

    def fetch_newer_at_start(self, read):
        return []


class OnePeer(NoPeers):
    def __init__(self, snapshot):
        self.snapshot = snapshot

    def fetch_newer(self, directory):
        return self.snapshot


class FollowerCase(unittest.TestCase):
    def build(self, source, peers=None):
        self.published = []
        return Follower(
            source,
            peers or NoPeers(),
            lambda directory: self.published.append(directory.declared.version),
        )

    def advance(self, follower, times):
        for _ in range(times):
            follower._advance()


class FollowerTests(FollowerCase):
    def test_a_watch_continues_from_the_read_position(self):
        source = ScriptedSource(
            [build_snapshot(5)], [Changes(Position(0, 7), build_declared(2))]
        )
        follower = self.build(source)
        self.advance(follower, 2)
        self.assertEqual(self.published, [1, 2])
        self.assertEqual(source.waited_from, [Position(0, 5)])
        self.assertEqual(follower.directory.position, Position(0, 7))

    def test_dropped_history_leads_to_a_full_read(self):
        reads = [build_snapshot(5), build_snapshot(9, 4)]
        follower = self.build(ScriptedSource(reads, [HistoryGone()]))
        self.advance(follower, 3)
        self.assertEqual(self.published, [1, 4])

    def test_a_closed_watch_is_no_outage(self):
        reads = [build_snapshot(5, 1, ("i1", "i2")), build_snapshot(6, 1, ("i1",))]
        follower = self.build(ScriptedSource(reads, [FAILED]))
        self.advance(follower, 3)
        self.assertTrue(follower.is_store_available)
        self.assertEqual(list(follower.directory.endpoints), ["i1"])

    def test_removal_of_entries_missing_after_an_outage_is_deferred(self):
        reads = [
            build_snapshot(5, 1, ("i1", "i2")),
            FAILED,
            build_snapshot(6, 1, ("i1",)),
        ]
        follower = self.build(ScriptedSource(reads, [FAILED]))
        self.advance(follower, 4)
        self.assertEqual(sorted(follower.directory.endpoints), ["i1", "i2"])

    def test_a_stale_read_is_not_applied(self):
        reads = [build_snapshot(5, 3), build_snapshot(4, 2), build_snapshot(6, 4)]
        follower = self.build(ScriptedSource(reads, [HistoryGone()]))
        self.advance(follower, 4)
        self.assertEqual(self.published, [3, 4])

    def test_a_broken_watch_is_interrupted_and_a_full_read_follows(self):
        reads = [build_snapshot(5, 1), build_snapshot(9, 2)]
        source = ScriptedSource(reads)
        source.position = Position(0, 9)
        follower = self.build(source)
        self.advance(follower, 1)
        waiting = eventlet.spawn(self.advance, follower, 2)
        eventlet.sleep(0.01)
        follower.watch.since -= 1.0
        follower._check(source.check())
        with eventlet.Timeout(1.0):
            waiting.wait()
        self.assertEqual(self.published, [1, 2])
        self.assertTrue(follower.is_store_available)

    def test_a_watch_that_is_silent_from_its_start_ends_soon(self):
        source = SilentSource([build_snapshot(5, 1), build_snapshot(9, 2)])
        follower = self.build(source)
        with eventlet.Timeout(2.0):
            self.advance(follower, 3)
        self.assertEqual(self.published, [1, 2])

    def test_watches_are_long_some_time_after_a_read(self):
        now = [100.0]
        source = ScriptedSource(
            [build_snapshot(5, 1)], [Changes(Position(0, 7)), Changes(Position(0, 8))]
        )
        seconds = []
        wait = source.wait
        source.wait = lambda after, wanted: seconds.append(wanted) or wait(
            after, wanted
        )
        follower = self.build(source)
        follower.clock = lambda: now[0]
        self.advance(follower, 2)
        now[0] += SHORT_WATCH_PERIOD_SECONDS
        self.advance(follower, 1)
        self.assertEqual(seconds, [SHORT_WATCH_SECONDS, WATCH_SECONDS])

    def test_a_failed_check_ends_the_watch_as_an_outage(self):
        source = ScriptedSource([build_snapshot(5, 1)])
        follower = self.build(source)
        self.advance(follower, 1)
        waiting = eventlet.spawn(self.advance, follower, 1)
        eventlet.sleep(0.01)
        follower._check(FAILED)
        with eventlet.Timeout(1.0):
            waiting.wait()
        self.assertFalse(follower.is_store_available)

    def test_a_peer_supplies_changes_while_the_store_is_unavailable(self):
        peers = OnePeer(build_snapshot(12, 8))
        follower = self.build(ScriptedSource([build_snapshot(5, 1)]), peers)
        self.advance(follower, 1)
        follower.is_store_available = False
        follower._query_peer()
        self.assertEqual(self.published, [1, 8])

    def test_a_peer_that_is_behind_changes_nothing(self):
        peers = OnePeer(build_snapshot(4, 1, ()))
        follower = self.build(ScriptedSource([build_snapshot(5, 1)]), peers)
        self.advance(follower, 1)
        follower.is_store_available = False
        follower._query_peer()
        self.assertEqual(list(follower.directory.endpoints), ["i1"])


def build_restored(revision, version=1, instances=("i1",), era=2):
    """Return a snapshot of a store that was restored from an older copy."""
    snapshot = build_snapshot(revision, version, instances)
    return replace(snapshot, position=Position(era, revision))


class RestoredStoreTests(FollowerCase):
    """The store is restored from an older copy, with a lower revision."""

    def follow(self, reads, waits):
        follower = self.build(ScriptedSource([build_snapshot(81, 24), *reads], waits))
        self.advance(follower, 1)
        return follower

    def test_a_watch_reports_the_restore(self):
        follower = self.follow([build_restored(65, 21)], [StoreRestored(2)])
        self.advance(follower, 2)
        self.assertEqual(follower.directory.position, Position(2, 65))
        self.assertEqual(self.published, [24, 24])
        restores = follower.published_directory.counters.list_counts("store_restores")
        self.assertEqual(restores, [("", "", 1)])

    def test_after_an_outage(self):
        reads = [FAILED, build_restored(65, 21)]
        changes = Changes(Position(2, 66), build_declared(27))
        follower = self.follow(reads, [FAILED, changes])
        self.advance(follower, 4)
        self.assertEqual(self.published[-1], 27)

    def test_a_check_ends_a_watch_that_was_not_notified(self):
        follower = self.follow([build_restored(65, 21)], [])
        follower.source.position = Position(2, 64)
        waiting = eventlet.spawn(self.advance, follower, 2)
        eventlet.sleep(0.01)
        follower._check(follower.source.check())
        with eventlet.Timeout(1.0):
            waiting.wait()
        self.assertEqual(follower.directory.position, Position(2, 65))

    def test_a_stale_check_of_an_earlier_era_is_ignored(self):
        follower = self.follow([build_restored(65, 21)], [StoreRestored(2)])
        self.advance(follower, 2)
        waiting = eventlet.spawn(self.advance, follower, 1)
        eventlet.sleep(0.01)
        follower.watch.since -= 1.0
        follower._check(Position(1, 90))
        eventlet.sleep(0.01)
        self.assertTrue(follower.is_synced)
        waiting.kill()

    def test_entries_missing_after_a_restore_without_an_outage(self):
        follower = self.follow([build_restored(65, 21, ())], [StoreRestored(2)])
        self.advance(follower, 2)
        self.assertEqual(list(follower.directory.endpoints), ["i1"])

    def test_a_peer_cut_off_from_the_store_supplies_a_lost_version(self):
        follower = self.build(
            ScriptedSource([build_restored(65, 21)]), OnePeer(build_snapshot(81, 24))
        )
        self.advance(follower, 1)
        follower.is_store_available = False
        follower._query_peer()
        self.assertEqual(self.published, [21, 24])
        self.assertEqual(follower.directory.position, Position(2, 65))
