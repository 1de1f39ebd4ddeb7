"""Following the store: by a watch, by a relay's stream, or by asking other nodes.

Each change of the store wakes all who watch it, and each call has its price. So a
few nodes of each data centre, the relays, watch for all others. A follower that
loses its relay turns to another one, and to the store if there is none.
"""

import random
import time

import eventlet

from hingesill_core.discovery.records import Changes, HistoryGone, StoreRestored
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
FRESH_SECONDS = 3.0
FRESH_WATCH_SECONDS = 0.5
# Interval at which a node without a relay looks for one, in seconds.
LOOK_SECONDS = 3.0
# Changes come in series; one call then brings several. A fifth of the time
# within which a change has to be in force.
SERIES_SECONDS = 0.4
# A watch on a path that was cut says nothing, so a cheap call tells of cuts.
CHECK_SECONDS = 1.0
# Time after which a silent watch is checked against the store, in seconds.
DEAF_SECONDS = 0.5
# A relay's checks are also its heartbeats.
RELAY_CHECK_SECONDS = 0.4
# Silence of a relay after which a node reads the store itself, in seconds.
PATIENCE_SECONDS = 1.4
# The same where relays report that they lost the store: they get a further delay
# (`storepauses.RELAYS_SOON_SECONDS`).
PATIENCE_WITH_LIVING_SECONDS = 1.0
RELAY_PAUSE = 0.05
# After a fault of this module's own.
FAULT_PAUSE = 0.5
# Between two tries of relays that have lost the store as well.
OUTAGE_PAUSE = 0.6
# A node that starts reads until its own entry and those of others are there.
START_SECONDS = 1.5
START_PAUSE = 0.4
# Interval at which other nodes are queried while the store does not answer, in seconds.
PEER_SECONDS = 0.3


class Follower:
    """Follows the store, or a relay that does.

    Parameters
    ----------
    source : DirectorySource
        The store.
    peers : PeerClient
        Asked while neither the store nor a relay answers.
    publish : callable
        Called with the directory after each change.
    choice : RelayChoice or None
        Whom to follow; None to watch the store always.
    relays : RelayClient or None
        Reads a relay's stream.
    clock : callable
        Monotonic seconds.
    counters : Counters or None
        See `PublishedDirectory`.

    Attributes
    ----------
    held : PublishedDirectory
        What this node holds.
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
        self.held = PublishedDirectory(publish, clock, counters)
        self.directory = self.held.directory
        self.feed = self.held.feed
        self.watch = StoreWatch(clock)
        self.is_store_available = True
        self.is_synced = False
        self.follows = ""
        self.heard_at = clock()
        self._started_at = clock()
        self._has_begun = choice is None
        # What a read tells may be seconds old, or a copy that lacks what was accepted:
        # another node has been asked, or a relay has told of it.
        self.is_sure = choice is None
        self.pauses = StoreBackoff()
        # The relay that was lost last has said so itself.
        self._relays_live = False
        self._read_at = float("-inf")
        self._look_from = float("-inf")

    def start(self):
        """Begin to follow, in green threads."""
        eventlet.spawn(self._follow)
        eventlet.spawn(self._check_often)
        eventlet.spawn(self._ask_peers_often)

    def move(self, source):
        """Follow another address of the store from now on."""
        self.source = source
        self._interrupt()

    def leave(self):
        """Serve no other node any more: a planned stop has begun."""
        self.feed.end("the node stops")

    def is_initialized(self):
        """Tell whether requests can be served by what is known."""
        directory = self.directory
        is_known = directory.declared is not None and bool(directory.endpoints)
        return is_known and self.is_sure

    def find_relay(self):
        """Return the NodeRecord of the relay that is followed, or None."""
        return self.directory.nodes.get(self.follows) if self.follows else None

    def is_watching_for_others(self):
        """Tell whether this node is a relay that follows the store now."""
        return self.is_synced and self.feed.is_open

    def get_silence(self):
        """Return the seconds since the store, a relay or a peer was last heard."""
        return self.clock() - self.heard_at

    def _follow(self):
        while True:
            try:
                self._step()
            except Exception as error:
                # A fault here must not leave the node with what it knows now.
                self.is_synced = False
                log_event(Event.FOLLOWER_FAULT, error=repr(error))
                eventlet.sleep(FAULT_PAUSE)

    def _step(self):
        """Make a call to the store if that is due, else follow a relay."""
        if not self._has_begun:
            self._begin()
            return
        relay = None if self._is_store_due() else self._choose_relay()
        if relay is not None:
            self._follow_relay(relay)
        elif self.clock() < self.pauses.until:
            eventlet.sleep(RELAY_PAUSE)
        elif self.is_synced or self._is_store_due():
            self._advance()
        else:
            eventlet.sleep(RELAY_PAUSE)

    def _begin(self):
        """Read, maybe stale, until it is known which nodes there are.

        Notes
        -----
        A read that may be stale costs a tenth. What it lacks is told by other nodes
        before this one serves by it: nodes that start just after the store has come
        back from an older copy would answer 404 for routes that are in force at all
        others. The relay or the watch that follows tells the rest.
        """
        if self.clock() < self.pauses.until:
            eventlet.sleep(RELAY_PAUSE)
            return
        answer = self.source.read(may_be_stale=True)
        if isinstance(answer, StoreFailure):
            self._note_lost(answer)
            self._pause()
            return
        self.heard_at = self.clock()
        for snapshot in self._ask_before_start(answer):
            self.directory.learn(snapshot, self.clock())
        self.held.publish_changes()
        waited = self.clock() - self._started_at
        if self.choice.own.name in self.directory.nodes or waited > START_SECONDS:
            self._has_begun = True
        else:
            eventlet.sleep(START_PAUSE * random.uniform(0.8, 1.2))

    def _ask_before_start(self, read):
        """Return what was read with what other nodes hold, the earliest first."""
        told = self.peers.ask_before_start(read)
        self.is_sure = True
        return sorted([read, *told], key=lambda snapshot: snapshot.position)

    def _choose_relay(self):
        if self.choice is None:
            return None
        return self.choice.choose(self.directory.nodes, self.clock())

    def _is_relay(self):
        """Tell whether this node watches the store for others, or for itself alone."""
        return self.choice is None or self.choice.is_relay(self.directory.nodes)

    def _is_store_due(self):
        """Tell whether the store is asked now, whatever relays there are.

        Notes
        -----
        Relays that have lost the store take nobody, and the store may be back for
        all but them: so it gets its turn, however many relays could be tried.
        """
        now = self.clock()
        if now < self.pauses.until:
            return False
        if self._is_relay():
            return True
        if self.is_synced:
            return now < self._look_from
        patience = PATIENCE_SECONDS
        if self._relays_live:
            patience = PATIENCE_WITH_LIVING_SECONDS
        return self.pauses.has_unread_return or self.get_silence() >= patience

    def _follow_relay(self, relay):
        """Take a relay's word until it fails or this node is a relay itself.

        Notes
        -----
        What is known from the store stays in force until the relay has told more,
        so that a relay which takes nobody does not end the watch. The changes of a
        relay that was behind lead on from what it held: what came and went meanwhile
        is not among them, so that an evacuation which was taken back would stay in
        force. Once it has caught up, all that it holds is asked for again.
        """
        behind_until = None
        try:
            for frame in self.relays.follow(relay):
                if frame.kind is FrameKind.WHOLE:
                    behind_until = self._find_gap(frame.content)
                self._take_frame(relay, frame)
                if self._is_relay():
                    return
                if has_caught_up(frame, behind_until):
                    log_event(Event.RELAY_CAUGHT_UP, relay=relay.name)
                    return
        except RelayLost as error:
            self.choice.record_failure(relay, self.clock())
            self._relays_live = error.lives
            self._look_from = self.clock() + LOOK_SECONDS
            if self.follows:
                log_event(Event.RELAY_LOST, relay=relay.name, detail=str(error))
            elif not self.is_synced and not self.is_store_available:
                eventlet.sleep(OUTAGE_PAUSE * random.uniform(0.5, 1.5))
        finally:
            self.follows = ""

    def _find_gap(self, snapshot):
        """Return the Position that a relay which is behind has to reach, or None."""
        held = self.directory.position
        return held if snapshot.position < held else None

    def _take_frame(self, relay, frame):
        now = self.clock()
        self.heard_at = now
        if frame.return_age is not None:
            self.directory.record_return(now - frame.return_age)
        if frame.kind is FrameKind.WHOLE:
            self._begin_stream(relay, frame.content)
        elif frame.kind is FrameKind.CHANGES:
            self.held.take(self.directory.apply, frame.content)
        self.held.publish_changes()

    def _begin_stream(self, relay, snapshot):
        held, told = self.directory.position, snapshot.position
        log_event(Event.RELAY_FOUND, relay=relay.name, held=str(held), told=str(told))
        self.is_synced = False
        self.feed.close("the node follows a relay")
        self.follows = relay.name
        self.choice.record_success(relay)
        self.is_store_available = True
        self.pauses.record_update()
        self.is_sure = True
        # One that is behind is no fault: it is asked again once it has caught up.
        if not self.held.take(self.directory.adopt, snapshot):
            self.directory.learn(snapshot, self.clock())

    def _advance(self):
        """Make one call to the store and act on its answer."""
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
            self._note_failure(answer)
        elif isinstance(answer, Changes):
            self._note_answer()
            self.pauses.record_answer()
            self._take_changes(answer)
        else:
            self._note_answer()
            self._take_snapshot(answer)

    def _may_read(self):
        """Tell whether it is this node's turn to read the whole store now.

        Notes
        -----
        A follower that finds the store back lets the relays read it: they tell all
        others of it. The cheap call that finds it out costs a tenth of a read.
        """
        if self.pauses.take_turn():
            return True
        answer = self.source.check()
        if isinstance(answer, StoreFailure):
            self._note_lost(answer)
            self._pause()
            return False
        self.heard_at = self.clock()
        if self._is_relay() or (self.is_store_available and not self._relays_live):
            return True
        self.choice.forget_failures()
        self.pauses.let_relays_go_first(self.clock(), not self.is_store_available)
        return False

    def _watch(self):
        """Return what a watch brings, or None if this node ended it."""
        seconds = WATCH_SECONDS if self._is_relay() else LOOK_SECONDS
        if self.clock() - self._read_at < FRESH_SECONDS:
            seconds = FRESH_WATCH_SECONDS
        answer = self.watch.wait(self.source, self.directory.position, seconds)
        was_interrupted = not self.is_synced
        return None if was_interrupted else answer

    def _interrupt(self):
        """End the watch that is under way; all is read again then."""
        self.is_synced = False
        self.watch.interrupt()

    def _note_failure(self, failure):
        """Read the whole again after a failure; a second one is an outage."""
        was_synced, self.is_synced = self.is_synced, False
        if was_synced:
            log_event(Event.WATCH_CUT, detail=failure.reason)
            return
        self._note_lost(failure)
        self._pause()

    def _pause(self):
        """Leave the store alone for a while; relays may be tried meanwhile."""
        nodes = len(self.directory.nodes)
        self.pauses.pause(self._is_relay(), nodes, self.clock())

    def _note_lost(self, failure):
        if self.is_store_available:
            log_event(Event.STORE_LOST, detail=failure.reason)
        self.is_store_available = False
        self.feed.close("the store does not answer")

    def _note_answer(self):
        now = self.clock()
        self.heard_at = now
        if not self.is_store_available:
            self.is_store_available = True
            self.directory.record_return(now)
            log_event(Event.STORE_BACK, position=str(self.directory.position))

    def _take_changes(self, changes):
        if changes.position == self.directory.position:
            return
        self.held.take(self.directory.apply, changes)
        self.held.publish_changes()
        eventlet.sleep(SERIES_SECONDS)

    def _take_snapshot(self, snapshot):
        if self.directory.is_restored_by(snapshot.position):
            # It may have been away too briefly for any call to fail.
            self.directory.record_return(self.clock())
        if not self.held.take(self.directory.adopt, snapshot):
            held, read = self.directory.position, snapshot.position
            log_event(Event.STORE_BEHIND, held=str(held), read=str(read))
            self._pause()
            return
        self.pauses.record_answer()
        self.is_synced = True
        self._read_at = self.clock()
        self.held.publish_changes()
        if self._is_relay():
            self.feed.open()

    def _check_often(self):
        """Find out within a second or two that the store is out of reach."""
        while True:
            pause = RELAY_CHECK_SECONDS if self.feed.is_open else CHECK_SECONDS
            eventlet.sleep(pause * random.uniform(0.8, 1.2))
            if self.is_synced:
                self._check(self.source.check())

    def _check(self, answer):
        """Take a failure as an outage, and a later position as a deaf watch.

        Notes
        -----
        A watch may not be told that the store came back from an older copy: it waits
        for what comes after a revision that is given out again. An answer of an earlier
        era is a stale one, and no news.
        """
        if not self.is_synced:
            return
        if isinstance(answer, StoreFailure):
            self._note_lost(answer)
            self._interrupt()
            return
        self.heard_at = self.clock()
        held = self.directory.position
        is_restored = self.directory.is_restored_by(answer)
        is_deaf = answer > held and self.watch.has_waited(DEAF_SECONDS)
        if is_restored or is_deaf:
            log_event(Event.WATCH_DEAF, held=str(held), told=str(answer))
            self._interrupt()
            return
        self.feed.beat()

    def _ask_peers_often(self):
        while True:
            eventlet.sleep(PEER_SECONDS * random.uniform(0.8, 1.2))
            if not self.is_store_available:
                self._ask_peer()

    def _ask_peer(self):
        """Take what another node holds if it leads further."""
        snapshot = self.peers.ask(self.directory)
        if snapshot is None:
            return
        self.heard_at = self.clock()
        if self.held.take(self.directory.learn, snapshot):
            log_event(Event.LEARNT_FROM_PEER, position=str(snapshot.position))
            self.held.publish_changes()


def has_caught_up(frame, behind_until):
    """Tell whether changes lead a relay that was behind to what its follower holds."""
    if frame.kind is not FrameKind.CHANGES:
        return False
    return behind_until is not None and behind_until <= frame.content.position
