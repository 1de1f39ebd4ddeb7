"""Tests of following a store that fails in every way its pages describe."""

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
    FRESH_SECONDS,
    FRESH_WATCH_SECONDS,
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
    """A source whose answers a test lines up; without one a watch waits."""

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
    """A source whose watches tell nothing, not even that their time is over."""

    ANSWER_SECONDS = 1.0

    def wait(self, after, seconds):
        eventlet.sleep(seconds + self.ANSWER_SECONDS)
        return FAILED


class NoPeers:
    def ask(self, directory):
        return None

    def ask_before_start(self, read):
        return []


class OnePeer(NoPeers):
    def __init__(self, snapshot):
        self.snapshot = snapshot

    def ask(self, directory):
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
    def test_a_watch_goes_on_from_what_was_read(self):
        source = ScriptedSource(
            [build_snapshot(5)], [Changes(Position(0, 7), build_declared(2))]
        )
        follower = self.build(source)
        self.advance(follower, 2)
        self.assertEqual(self.published, [1, 2])
        self.assertEqual(source.waited_from, [Position(0, 5)])
        self.assertEqual(follower.directory.position, Position(0, 7))

    def test_forgotten_history_leads_to_a_whole_read(self):
        reads = [build_snapshot(5), build_snapshot(9, 4)]
        follower = self.build(ScriptedSource(reads, [HistoryGone()]))
        self.advance(follower, 3)
        self.assertEqual(self.published, [1, 4])

    def test_a_cut_watch_is_no_outage(self):
        reads = [build_snapshot(5, 1, ("i1", "i2")), build_snapshot(6, 1, ("i1",))]
        follower = self.build(ScriptedSource(reads, [FAILED]))
        self.advance(follower, 3)
        self.assertTrue(follower.is_store_available)
        self.assertEqual(list(follower.directory.endpoints), ["i1"])

    def test_entries_missing_after_an_outage_are_believed_for_a_while(self):
        reads = [
            build_snapshot(5, 1, ("i1", "i2")),
            FAILED,
            build_snapshot(6, 1, ("i1",)),
        ]
        follower = self.build(ScriptedSource(reads, [FAILED]))
        self.advance(follower, 4)
        self.assertEqual(sorted(follower.directory.endpoints), ["i1", "i2"])

    def test_a_stale_read_is_not_taken(self):
        reads = [build_snapshot(5, 3), build_snapshot(4, 2), build_snapshot(6, 4)]
        follower = self.build(ScriptedSource(reads, [HistoryGone()]))
        self.advance(follower, 4)
        self.assertEqual(self.published, [3, 4])

    def test_a_deaf_watch_is_ended_and_all_is_read(self):
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

    def test_a_watch_that_is_silent_from_its_start_is_given_up_soon(self):
        source = SilentSource([build_snapshot(5, 1), build_snapshot(9, 2)])
        follower = self.build(source)
        with eventlet.Timeout(2.0):
            self.advance(follower, 3)
        self.assertEqual(self.published, [1, 2])

    def test_watches_are_long_once_one_has_worked(self):
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
        now[0] += FRESH_SECONDS
        self.advance(follower, 1)
        self.assertEqual(seconds, [FRESH_WATCH_SECONDS, WATCH_SECONDS])

    def test_a_check_that_fails_ends_the_watch_as_an_outage(self):
        source = ScriptedSource([build_snapshot(5, 1)])
        follower = self.build(source)
        self.advance(follower, 1)
        waiting = eventlet.spawn(self.advance, follower, 1)
        eventlet.sleep(0.01)
        follower._check(FAILED)
        with eventlet.Timeout(1.0):
            waiting.wait()
        self.assertFalse(follower.is_store_available)

    def test_another_node_tells_while_the_store_is_away(self):
        peers = OnePeer(build_snapshot(12, 8))
        follower = self.build(ScriptedSource([build_snapshot(5, 1)]), peers)
        self.advance(follower, 1)
        follower.is_store_available = False
        follower._ask_peer()
        self.assertEqual(self.published, [1, 8])

    def test_another_node_that_is_behind_changes_nothing(self):
        peers = OnePeer(build_snapshot(4, 1, ()))
        follower = self.build(ScriptedSource([build_snapshot(5, 1)]), peers)
        self.advance(follower, 1)
        follower.is_store_available = False
        follower._ask_peer()
        self.assertEqual(list(follower.directory.endpoints), ["i1"])


def build_restored(revision, version=1, instances=("i1",), era=2):
    """Return a snapshot of a store that came back from an older copy."""
    snapshot = build_snapshot(revision, version, instances)
    return replace(snapshot, position=Position(era, revision))


class RestoredStoreTests(FollowerCase):
    """The store comes back from an older copy: a revision below what is held."""

    def follow(self, reads, waits):
        follower = self.build(ScriptedSource([build_snapshot(81, 24), *reads], waits))
        self.advance(follower, 1)
        return follower

    def test_a_watch_tells_of_the_return(self):
        follower = self.follow([build_restored(65, 21)], [StoreRestored(2)])
        self.advance(follower, 2)
        self.assertEqual(follower.directory.position, Position(2, 65))
        self.assertEqual(self.published, [24, 24])
        restores = follower.held.counters.list_counts("store_restores")
        self.assertEqual(restores, [("", "", 1)])

    def test_after_an_outage(self):
        reads = [FAILED, build_restored(65, 21)]
        changes = Changes(Position(2, 66), build_declared(27))
        follower = self.follow(reads, [FAILED, changes])
        self.advance(follower, 4)
        self.assertEqual(self.published[-1], 27)

    def test_a_check_ends_a_watch_that_was_not_told(self):
        follower = self.follow([build_restored(65, 21)], [])
        follower.source.position = Position(2, 64)
        waiting = eventlet.spawn(self.advance, follower, 2)
        eventlet.sleep(0.01)
        follower._check(follower.source.check())
        with eventlet.Timeout(1.0):
            waiting.wait()
        self.assertEqual(follower.directory.position, Position(2, 65))

    def test_a_stale_check_of_the_era_before_is_no_news(self):
        follower = self.follow([build_restored(65, 21)], [StoreRestored(2)])
        self.advance(follower, 2)
        waiting = eventlet.spawn(self.advance, follower, 1)
        eventlet.sleep(0.01)
        follower.watch.since -= 1.0
        follower._check(Position(1, 90))
        eventlet.sleep(0.01)
        self.assertTrue(follower.is_synced)
        waiting.kill()

    def test_entries_missing_after_a_return_without_an_outage(self):
        follower = self.follow([build_restored(65, 21, ())], [StoreRestored(2)])
        self.advance(follower, 2)
        self.assertEqual(list(follower.directory.endpoints), ["i1"])

    def test_another_node_that_is_cut_off_tells_what_was_accepted(self):
        follower = self.build(
            ScriptedSource([build_restored(65, 21)]), OnePeer(build_snapshot(81, 24))
        )
        self.advance(follower, 1)
        follower.is_store_available = False
        follower._ask_peer()
        self.assertEqual(self.published, [21, 24])
        self.assertEqual(follower.directory.position, Position(2, 65))
