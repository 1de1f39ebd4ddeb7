"""Follows the store by a watch, a relay's stream, or queries to other nodes.

Each change of the store ends the watch of every client, and each call has a cost. So a
few nodes of each data centre, the relays, watch the store for all others. A follower
that loses its relay switches to another one, or to the store if there is none.
"""

import random
import time

import eventlet

from hingesill_core.discovery.records import (
    FORMAT,
    Changes,
    HistoryGone,
    StoreRestored,
)
from hingesill_core.store import StoreFailure
from hingesill_node.discovery.frames import FrameKind
from hingesill_node.discovery.publisheddirectory import PublishedDirectory
from hingesill_node.discovery.relayclient import RelayLost
from hingesill_node.discovery.storebackoff import StoreBackoff
from hingesill_node.discovery.storewatch import StoreWatch
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Follower"]

# A waiting watch is one call, so long waits are cheap; the store allows 30 s.
WATCH_SECONDS = 25.0
# Time after a full read in which watches are short, and their length, in seconds: the
# store may have dropped its history meanwhile, so that such a watch stays silent, and a
# stale check does not find what it missed.
SHORT_WATCH_PERIOD_SECONDS = 3.0
SHORT_WATCH_SECONDS = 0.5
# Interval at which a node without a relay looks for one, in seconds.
RELAY_SEARCH_SECONDS = 3.0
# Pause after a change, so that the next call returns several changes of a series. A
# fifth of the time within which a change must be in force.
CHANGE_BATCH_SECONDS = 0.4
# Interval of a cheap call that detects a broken connection; a watch would not.
CHECK_INTERVAL_SECONDS = 1.0
# Minimum age of a watch before a later position of the store shows that the watch is
# broken, in seconds.
SILENT_WATCH_SECONDS = 0.5
# A relay's checks are also its heartbeats to followers.
RELAY_CHECK_INTERVAL_SECONDS = 0.4
# Silence of a relay after which a node reads the store itself, in seconds.
MAX_SILENCE_SECONDS = 1.4
# The same if a running relay reported that it lost the store; a further delay follows
# (`storebackoff.SHORT_RELAY_HEAD_START_SECONDS`).
MAX_SILENCE_WITH_LIVE_RELAYS_SECONDS = 1.0
RELAY_PAUSE_SECONDS = 0.05
# Pause after an unexpected exception.
FAULT_PAUSE_SECONDS = 0.5
# Mean pause between attempts to follow relays while the store is unavailable.
OUTAGE_PAUSE_SECONDS = 0.6
# A starting node repeats its first read until it and another node are listed, at most
# for this time.
MAX_BOOTSTRAP_SECONDS = 1.5
BOOTSTRAP_PAUSE_SECONDS = 0.4
# Interval at which other nodes are queried while the store is unavailable, in seconds.
PEER_QUERY_SECONDS = 0.3
# Queries in progress at a time.
MAX_PEER_QUERIES = 4


class Follower:
    """Keeps a directory in sync with the store, directly or through a relay.

    Parameters
    ----------
    source : DirectorySource
        The store.
    peers : PeerClient
        Queries other nodes while neither the store nor a relay is available.
    publish : callable
        Called with the directory after each change.
    choice : RelayChoice or None
        Selects the relay to follow; None to always watch the store.
    relays : RelayClient or None
        Reads a relay's stream.
    clock : callable
        Monotonic seconds.
    counters : Counters or None
        See `PublishedDirectory`.

    Attributes
    ----------
    published_directory : PublishedDirectory
        The node's directory.
    """

    def __init__(
        self,
        source,
        peers,
        publish,
        choice=None,
        relays=None,
        clock=time.monotonic,
        counters=None,
    ):
        self.source = source
        self.peers = peers
        self.choice = choice
        self.relays = relays
        self.clock = clock
        self.published_directory = PublishedDirectory(publish, clock, counters)
        self.directory = self.published_directory.directory
        self.feed = self.published_directory.feed
        self.watch = StoreWatch(clock)
        self.is_store_available = True
        self.is_synced = False
        self.followed_relay = ""
        self.last_contact_at = clock()
        self._started_at = clock()
        self._is_bootstrapped = choice is None
        # Set once another node was queried or a relay has sent its snapshot: a first
        # read may be seconds old, or from a copy that lacks an accepted declaration.
        self.is_confirmed = choice is None
        self.store_backoff = StoreBackoff(None if choice is None else choice.rng)
        # Whether the relay that was lost last ended or refused the stream itself.
        self._are_relays_alive = False
        # Whether a relay of an earlier build sent a declaration that may be incomplete.
        # Contact with such relays must not keep this node from reading the store.
        self._is_relay_incomplete = False
        self._last_read_at = float("-inf")
        self._relay_search_at = float("-inf")

    def start(self):
        """Start to follow the store in green threads."""
        eventlet.spawn(self._follow)
        eventlet.spawn(self._check_periodically)
        eventlet.spawn(self._query_peers_periodically)

    def replace_source(self, source):
        """Switch to another address of the store."""
        self.source = source
        self._interrupt()

    def stop_relaying(self):
        """Stop serving followers, as a planned shutdown has begun."""
        self.feed.shut_down("the node stops")

    def is_initialized(self):
        """Return whether the directory suffices to serve requests."""
        directory = self.directory
        is_known = directory.declared is not None and bool(directory.endpoints)
        return is_known and self.is_confirmed

    def find_relay(self):
        """Return the NodeRecord of the relay that is followed, or None."""
        return (
            self.directory.nodes.get(self.followed_relay)
            if self.followed_relay
            else None
        )

    def is_active_relay(self):
        """Return whether this node is a relay that is in sync with the store."""
        return self.is_synced and self.feed.is_open

    def get_contact_age(self):
        """Return the seconds since the last contact with the store or another node."""
        return self.clock() - self.last_contact_at

    def _follow(self):
        while True:
            try:
                self._step()
            except Exception as error:
                # An unexpected exception must not stop the node from following.
                self.is_synced = False
                log_event(Event.FOLLOWER_FAULT, error=repr(error))
                eventlet.sleep(FAULT_PAUSE_SECONDS)

    def _step(self):
        """Call the store if a call is due, else follow a relay."""
        if not self._is_bootstrapped:
            self._bootstrap()
            return
        relay = None if self._is_store_due() else self._choose_relay()
        if relay is not None:
            self._follow_relay(relay)
        elif self.clock() < self.store_backoff.until:
            eventlet.sleep(RELAY_PAUSE_SECONDS)
        elif self.is_synced or self._is_store_due():
            self._advance()
        else:
            eventlet.sleep(RELAY_PAUSE_SECONDS)

    def _bootstrap(self):
        """Read the store, possibly stale, until it lists this node and another one.

        Notes
        -----
        A node that knows no other one has nobody to query when it loses the store.
        Nodes that start together register at the same time, so it reads again before it
        serves requests.

        A read that may be stale costs a tenth of a consistent one. Other nodes supply
        what it lacks before this node serves requests: nodes that start just after the
        store was restored from an older copy would answer 404 for routes that are in
        force at all others. The relay or the watch that follows supplies later changes.
        """
        if self.clock() < self.store_backoff.until:
            eventlet.sleep(RELAY_PAUSE_SECONDS)
            return
        answer = self.source.read(may_be_stale=True)
        if isinstance(answer, StoreFailure):
            self._record_outage(answer)
            self._pause()
            self.is_confirmed = self.is_confirmed or self._has_waited_at_start()
            return
        self.last_contact_at = self.clock()
        for snapshot in self._fetch_newer_at_start(answer):
            if self.directory.can_apply(snapshot):
                self.directory.merge_snapshot(snapshot, self.clock())
        self.published_directory.publish_changes()
        is_listed = self.choice.own.name in self.directory.nodes
        if (is_listed and self.is_confirmed) or self._has_waited_at_start():
            self._is_bootstrapped = True
        else:
            eventlet.sleep(BOOTSTRAP_PAUSE_SECONDS * random.uniform(0.8, 1.2))

    def _fetch_newer_at_start(self, read):
        """Return the read snapshot and those of other nodes, ordered by position."""
        newer = self.peers.fetch_newer_at_start(read)
        knows_others = any(name != self.choice.own.name for name in read.nodes)
        if knows_others or self._has_waited_at_start():
            self.is_confirmed = True
        return sorted([read, *newer], key=lambda snapshot: snapshot.position)

    def _has_waited_at_start(self):
        """Return whether this node has looked for other nodes long enough."""
        return self.clock() - self._started_at > MAX_BOOTSTRAP_SECONDS

    def _choose_relay(self):
        if self.choice is None:
            return None
        return self.choice.choose(self.directory.nodes, self.clock())

    def _is_relay(self):
        """Return whether this node is a relay, or follows no relays."""
        return self.choice is None or self.choice.is_relay(self.directory.nodes)

    def _is_store_due(self):
        """Return whether to call the store now, even if relays can be tried.

        Notes
        -----
        Relays that have lost the store refuse followers, and the store may be available
        again for all nodes but them. So the store is called too, however many relays
        could be tried.
        """
        now = self.clock()
        if now < self.store_backoff.until:
            return False
        if self._is_relay():
            return True
        if self.is_synced:
            return now < self._relay_search_at
        if self._is_relay_incomplete:
            return True
        patience = MAX_SILENCE_SECONDS
        if self._are_relays_alive:
            patience = MAX_SILENCE_WITH_LIVE_RELAYS_SECONDS
        return self.store_backoff.is_read_pending or self.get_contact_age() >= patience

    def _follow_relay(self, relay):
        """Apply a relay's frames until it fails or this node becomes a relay.

        Notes
        -----
        The directory stays in sync with the store until the relay sends its snapshot,
        so that a relay which refuses followers does not end the watch. The changes of a
        relay that was behind start at its own position. They lack records that were
        added and removed before it caught up, so that an evacuation which was withdrawn
        would stay in force. Once the relay has caught up, its snapshot is requested
        again.
        """
        catch_up_position = None
        try:
            for frame in self.relays.follow(relay):
                if frame.kind is FrameKind.WHOLE:
                    catch_up_position = self._find_catch_up_position(frame.content)
                self._handle_frame(relay, frame)
                if self._is_relay():
                    return
                if has_caught_up(frame, catch_up_position):
                    log_event(Event.RELAY_CAUGHT_UP, relay=relay.name)
                    return
        except RelayLost as error:
            self.choice.record_failure(relay, self.clock())
            self._are_relays_alive = error.is_alive
            self._relay_search_at = self.clock() + RELAY_SEARCH_SECONDS
            if self.followed_relay:
                log_event(Event.RELAY_LOST, relay=relay.name, detail=str(error))
            elif not self.is_synced and not self.is_store_available:
                self._pause_during_outage()
        finally:
            self.followed_relay = ""

    def _pause_during_outage(self):
        """Pause between relays, but not past the time of the next call to the store."""
        pause = OUTAGE_PAUSE_SECONDS * random.uniform(0.5, 1.5)
        remaining = self.store_backoff.until - self.clock()
        eventlet.sleep(min(pause, max(remaining, RELAY_PAUSE_SECONDS)))

    def _find_catch_up_position(self, snapshot):
        """Return the Position that a relay that is behind must reach, or None."""
        known = self.directory.position
        return known if snapshot.position < known else None

    def _handle_frame(self, relay, frame):
        now = self.clock()
        self.last_contact_at = now
        if frame.return_age is not None:
            self.directory.record_return(now - frame.return_age)
        if frame.content is not None and not self.directory.can_apply(frame.content):
            self._is_relay_incomplete = frame.content.format < FORMAT
            raise RelayLost("its declaration does not match the known organisations")
        if frame.kind is FrameKind.WHOLE:
            self._start_stream(relay, frame.content)
        elif frame.kind is FrameKind.CHANGES:
            self.published_directory.apply(self.directory.apply_changes, frame.content)
        self.published_directory.publish_changes()

    def _start_stream(self, relay, snapshot):
        known, received = self.directory.position, snapshot.position
        log_event(
            Event.RELAY_FOUND, relay=relay.name, held=str(known), told=str(received)
        )
        self.is_synced = False
        self.feed.close("the node follows a relay")
        self.followed_relay = relay.name
        self.choice.record_success(relay)
        self.is_store_available = True
        self.store_backoff.record_update()
        self.is_confirmed = True
        # A relay may be behind: its snapshot is requested again once it has caught up.
        if not self.published_directory.apply(self.directory.apply_snapshot, snapshot):
            self.directory.merge_snapshot(snapshot, self.clock())

    def _advance(self):
        """Make one call to the store and handle its answer."""
        if not self.is_synced and not self._may_read():
            return
        answer = self._watch() if self.is_synced else self.source.read()
        if answer is None:
            return
        if isinstance(answer, HistoryGone):
            self.is_synced = False
            log_event(Event.HISTORY_GONE, position=str(self.directory.position))
        elif isinstance(answer, StoreRestored):
            self.is_synced = False
        elif isinstance(answer, StoreFailure):
            self._handle_failure(answer)
        elif isinstance(answer, Changes):
            self._record_answer()
            self.store_backoff.record_answer()
            self._apply_changes(answer)
        else:
            self._record_answer()
            self._apply_snapshot(answer)

    def _may_read(self):
        """Return whether this node may make a full read of the store now.

        Notes
        -----
        A follower that finds the store available again lets the relays read it first,
        as they send the result to all others. The check that detects it costs a tenth
        of a read.
        """
        if self.store_backoff.consume_pending_read():
            return True
        answer = self.source.check()
        if isinstance(answer, StoreFailure):
            self._record_outage(answer)
            self._pause()
            return False
        self.last_contact_at = self.clock()
        if self._is_relay() or (self.is_store_available and not self._are_relays_alive):
            return True
        self.choice.reset_failures()
        self.store_backoff.yield_to_relays(self.clock(), not self.is_store_available)
        return False

    def _watch(self):
        """Return the answer of a watch, or None if this node interrupted it."""
        seconds = WATCH_SECONDS if self._is_relay() else RELAY_SEARCH_SECONDS
        if self.clock() - self._last_read_at < SHORT_WATCH_PERIOD_SECONDS:
            seconds = SHORT_WATCH_SECONDS
        answer = self.watch.wait(self.source, self.directory.position, seconds)
        was_interrupted = not self.is_synced
        return None if was_interrupted else answer

    def _interrupt(self):
        """Interrupt the current watch; a full read follows."""
        self.is_synced = False
        self.watch.interrupt()

    def _handle_failure(self, failure):
        """Read again after a first failure; handle a further one as an outage."""
        was_synced, self.is_synced = self.is_synced, False
        if was_synced:
            log_event(Event.WATCH_CUT, detail=failure.reason)
            return
        self._record_outage(failure)
        self._pause()

    def _pause(self):
        """Back off from the store; relays may be tried during the pause."""
        nodes = len(self.directory.nodes)
        self.store_backoff.pause(self._is_relay(), nodes, self.clock())

    def _record_outage(self, failure):
        if self.is_store_available:
            log_event(Event.STORE_LOST, detail=failure.reason)
        self.is_store_available = False
        self.feed.close("the store does not answer")

    def _record_answer(self):
        now = self.clock()
        self.last_contact_at = now
        if not self.is_store_available:
            self.is_store_available = True
            self.directory.record_return(now)
            log_event(Event.STORE_BACK, position=str(self.directory.position))

    def _apply_changes(self, changes):
        if changes.position == self.directory.position:
            return
        self.published_directory.apply(self.directory.apply_changes, changes)
        self.published_directory.publish_changes()
        eventlet.sleep(CHANGE_BATCH_SECONDS)

    def _apply_snapshot(self, snapshot):
        if self.directory.is_from_later_era(snapshot.position):
            # The outage may have been too short for any call to fail.
            self.directory.record_return(self.clock())
        if not self.published_directory.apply(self.directory.apply_snapshot, snapshot):
            known, read = self.directory.position, snapshot.position
            log_event(Event.STORE_BEHIND, held=str(known), read=str(read))
            self._pause()
            return
        self.store_backoff.record_answer()
        self.is_synced = True
        declared = self.directory.declared
        has_organisations = declared is not None and declared.organisations is not None
        if self._is_relay_incomplete and not has_organisations:
            # The relays' declaration turned out to be complete.
            self.choice.reset_failures()
            self._relay_search_at = float("-inf")
        self._is_relay_incomplete = False
        self._last_read_at = self.clock()
        self.published_directory.publish_changes()
        if self._is_relay():
            self.feed.open()

    def _check_periodically(self):
        """Detect within a second or two that the store is unreachable."""
        while True:
            pause = (
                RELAY_CHECK_INTERVAL_SECONDS
                if self.feed.is_open
                else CHECK_INTERVAL_SECONDS
            )
            eventlet.sleep(pause * random.uniform(0.8, 1.2))
            if self.is_synced:
                self._check(self.source.check())

    def _check(self, answer):
        """Handle a failure as an outage, and a later position as a broken watch.

        Notes
        -----
        A watch may not be notified that the store was restored from an older copy: it
        waits for changes after a revision that the store assigns again. An answer of an
        earlier era is stale and changes nothing.
        """
        if not self.is_synced:
            return
        if isinstance(answer, StoreFailure):
            self._record_outage(answer)
            self._interrupt()
            return
        self.last_contact_at = self.clock()
        known = self.directory.position
        is_restored = self.directory.is_from_later_era(answer)
        is_broken = answer > known and self.watch.has_waited(SILENT_WATCH_SECONDS)
        if is_restored or is_broken:
            log_event(Event.WATCH_DEAF, held=str(known), told=str(answer))
            self._interrupt()
            return
        self.feed.send_heartbeat()

    def _query_peers_periodically(self):
        """Query other nodes during an outage; a silent one does not delay the next."""
        queries = eventlet.GreenPool(MAX_PEER_QUERIES)
        while True:
            eventlet.sleep(PEER_QUERY_SECONDS * random.uniform(0.8, 1.2))
            if not self.is_store_available:
                queries.spawn_n(self._query_peer)

    def _query_peer(self):
        """Merge another node's snapshot if it is newer."""
        snapshot = self.peers.fetch_newer(self.directory)
        if snapshot is None or not self.directory.can_apply(snapshot):
            return
        self.last_contact_at = self.clock()
        if self.published_directory.apply(self.directory.merge_snapshot, snapshot):
            log_event(Event.LEARNT_FROM_PEER, position=str(snapshot.position))
            self.published_directory.publish_changes()


def has_caught_up(frame, catch_up_position):
    """Return whether a relay that was behind has reached its follower's position."""
    if frame.kind is not FrameKind.CHANGES:
        return False
    return catch_up_position is not None and catch_up_position <= frame.content.position
