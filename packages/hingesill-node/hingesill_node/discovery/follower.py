"""Keeps a node's directory up to date: from the store, or else from peers."""

import random
import time

import eventlet
from greenlet import GreenletExit

from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.records import Changes, HistoryGone
from hingesill_core.store import StoreFailure
from hingesill_node.control.backoff import Backoff
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Follower"]

# A waiting watch is one call, so long waits are cheap; the store allows 30 s.
WATCH_SECONDS = 25.0
# Changes come in series; one call then brings several. Two fifths of the time
# within which a change has to be in force.
SERIES_SECONDS = 0.8
# A watch on a path that was cut says nothing, so a cheap call tells of cuts.
CHECK_SECONDS = 1.0
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0
# While the store does not answer other nodes are asked so often.
PEER_SECONDS = 0.5


class Follower:
    """Reads, watches and publishes what the store holds.

    Parameters
    ----------
    source : DirectorySource
        The store.
    peers : PeerClient
        Asked while the store does not answer.
    publish : callable
        Called with the directory after each change.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, source, peers, publish, clock=time.monotonic):
        self.source = source
        self.peers = peers
        self.publish = publish
        self.clock = clock
        self.directory = Directory()
        self.store_answers = True
        self.is_synced = False
        self.heard_at = clock()
        self._backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, random.Random())
        self._published = 0
        self._watching_since = None
        self._watching = None

    def start(self):
        """Begin to follow, in green threads."""
        eventlet.spawn(self._follow)
        eventlet.spawn(self._check_often)
        eventlet.spawn(self._ask_peers_often)

    def move(self, source):
        """Follow another address of the store from now on."""
        self.source = source
        self._interrupt()

    def is_settled(self):
        """Tell whether requests can be served by what is known."""
        return self.directory.declared is not None and bool(self.directory.endpoints)

    def get_silence(self):
        """Return the seconds since the store or a peer was last heard."""
        return self.clock() - self.heard_at

    def _follow(self):
        while True:
            try:
                self._advance()
            except Exception as error:
                # A fault here must not leave the node with what it knows now.
                self.is_synced = False
                log_event(Event.FOLLOWER_FAULT, error=repr(error))
                eventlet.sleep(self._backoff.get_pause())

    def _advance(self):
        """Make one call to the store and act on its answer."""
        answer = self._watch() if self.is_synced else self.source.read()
        if answer is None:
            return
        if isinstance(answer, HistoryGone):
            self.is_synced = False
            log_event(Event.HISTORY_GONE, revision=self.directory.revision)
        elif isinstance(answer, StoreFailure):
            self._note_failure(answer)
        elif isinstance(answer, Changes):
            self._note_answer()
            self._take_changes(answer)
        else:
            self._note_answer()
            self._take_snapshot(answer)

    def _watch(self):
        """Return what a watch brings, or None if this node ended it."""
        self._watching_since = self.clock()
        self._watching = eventlet.spawn(
            self.source.wait, self.directory.revision, WATCH_SECONDS
        )
        try:
            answer = self._watching.wait()
        except GreenletExit:
            answer = None
        self._watching = self._watching_since = None
        was_interrupted = not self.is_synced
        return None if was_interrupted else answer

    def _interrupt(self):
        """End the watch that is under way; all is read again then.

        Notes
        -----
        Its green thread is ended: closing the socket under it would not wake
        it, as eventlet tells a waiting thread of that only once the file
        descriptor is used again.
        """
        self.is_synced = False
        if self._watching is not None:
            self._watching.kill()

    def _note_failure(self, failure):
        """Read the whole again after a failure; a second one is an outage."""
        was_synced, self.is_synced = self.is_synced, False
        if was_synced:
            log_event(Event.WATCH_CUT, detail=failure.reason)
            return
        self._note_lost(failure)
        eventlet.sleep(self._backoff.get_pause())

    def _note_lost(self, failure):
        if self.store_answers:
            log_event(Event.STORE_LOST, detail=failure.reason)
        self.store_answers = False

    def _note_answer(self):
        now = self.clock()
        self.heard_at = now
        self._backoff.reset()
        if not self.store_answers:
            self.store_answers = True
            self.directory.note_return(now)
            log_event(Event.STORE_BACK, revision=self.directory.revision)

    def _take_changes(self, changes):
        if changes.revision == self.directory.revision:
            return
        self.directory.apply(changes, self.clock())
        self.publish_changes()
        eventlet.sleep(SERIES_SECONDS)

    def _take_snapshot(self, snapshot):
        if not self.directory.adopt(snapshot, self.clock()):
            known = self.directory.revision
            log_event(Event.STORE_BEHIND, held=known, read=snapshot.revision)
            eventlet.sleep(self._backoff.get_pause())
            return
        self.is_synced = True
        self.publish_changes()

    def publish_changes(self):
        """Publish the directory if it has changed; watch what is in doubt."""
        if self.directory.generation != self._published:
            self._published = self.directory.generation
            self.publish(self.directory)
        expiry = self.directory.get_next_expiry()
        if expiry is not None:
            delay = max(0.0, expiry - self.clock())
            eventlet.spawn_after(delay, self._expire)

    def _expire(self):
        for instance in self.directory.expire(self.clock()):
            log_event(Event.ENDPOINT_GONE, endpoint=instance, cause="missing")
        self.publish_changes()

    def _check_often(self):
        """Find out within a second or two that the store is out of reach."""
        while True:
            eventlet.sleep(CHECK_SECONDS * random.uniform(0.8, 1.2))
            if not self.is_synced:
                continue
            self._check(self.source.check())

    def _check(self, answer):
        """Take a failure as an outage, and a later revision as a deaf watch."""
        if not self.is_synced:
            return
        if isinstance(answer, StoreFailure):
            self._note_lost(answer)
            self._interrupt()
            return
        self.heard_at = self.clock()
        if answer > self.directory.revision and self._has_waited():
            log_event(
                Event.WATCH_DEAF, held=self.directory.revision, store_revision=answer
            )
            self._interrupt()

    def _has_waited(self):
        """Tell whether a watch is under way that should have brought changes."""
        since = self._watching_since
        return since is not None and self.clock() - since > CHECK_SECONDS / 2

    def _ask_peers_often(self):
        while True:
            eventlet.sleep(PEER_SECONDS * random.uniform(0.8, 1.2))
            if not self.store_answers:
                self._ask_peer()

    def _ask_peer(self):
        """Take what another node holds if it leads further."""
        snapshot = self.peers.ask(self.directory)
        if snapshot is None:
            return
        self.heard_at = self.clock()
        if snapshot.revision > self.directory.revision:
            self.directory.adopt(snapshot, self.clock())
            log_event(Event.LEARNT_FROM_PEER, revision=snapshot.revision)
            self.publish_changes()
