"""A fleet of followers in one thread and in virtual time, without a network."""

import random
import threading

import eventlet
from eventlet.hubs import get_hub, use_hub
from eventlet.hubs.hub import BaseHub
from msgspec.structs import replace

from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import Changes, NodeRecord
from hingesill_core.discovery.relays import RelayChoice, list_relays
from hingesill_core.store import StoreFailure
from hingesill_node.discovery.follower import Follower
from hingesill_node.discovery.frames import FrameReader
from hingesill_node.discovery.peers import (
    MAX_QUERY_ROUNDS,
    QUERIES_PER_ROUND,
    build_known_state,
)
from hingesill_node.discovery.relayclient import STREAM_TIMEOUT_SECONDS, RelayLost
from hingesill_node.discovery.tests.test_follower import build_snapshot

ANSWER_SECONDS = 0.004
NETWORK_DELAY_SECONDS = 0.002
CALL_TIMEOUT_SECONDS = 0.7
PAGE_ITEMS = 500
STALE_CALL_COST = 0.1
DATA_CENTRES = 6
STRONG_NODES = 18
# Delay of each timer against the one created before it. eventlet fires timers of equal
# time in the order of their addresses in memory, so that equal simulations differed.
TIMER_ORDER_SECONDS = 1e-12


class VirtualHub(BaseHub):
    """An eventlet hub whose clock jumps to the next timer."""

    def __init__(self):
        self.now = 0.0
        self.timers_added = 0
        super().__init__(clock=lambda: self.now)

    def add_timer(self, timer):
        """Schedule a timer after those of the same time that were added before."""
        self.timers_added += 1
        delay = timer.seconds + self.timers_added * TIMER_ORDER_SECONDS
        scheduled_time = self.now + delay
        self.next_timers.append((scheduled_time, timer))
        return scheduled_time

    def wait(self, seconds=None):
        """Advance the virtual time."""
        self.now += max(0.0, seconds or 0.0)

    def add(self, *arguments):
        """Refuse sockets, which virtual time does not support."""
        raise AssertionError("sockets are not supported in virtual time")


def run_virtually(simulate):
    """Call a function in a thread with a virtual clock; return its result."""
    results = []

    def run():
        use_hub(VirtualHub)
        results.append(simulate())

    thread = threading.Thread(target=run)
    thread.start()
    thread.join()
    return results[0]


def read_clock():
    """Return the virtual time in seconds."""
    return get_hub().now


class FleetStore:
    """The store that all nodes call; adds up the cost of calls."""

    def __init__(self, snapshot):
        self.snapshot = snapshot
        self.refused_nodes = frozenset()
        self.ignores_calls = False
        self.cost = 0.0
        # One event for each waiting call, in the order of the calls. eventlet wakes the
        # waiters of one event in the order of their addresses in memory.
        self._waiting = []

    def charge(self, name, cost):
        """Add the cost of a call and wait for its time; return whether it is served.

        Notes
        -----
        A call that is not served costs as much as a call at full cost.
        """
        is_refused = name in self.refused_nodes
        self.cost += 1.0 if is_refused else cost
        unresponsive = is_refused and self.ignores_calls
        eventlet.sleep(CALL_TIMEOUT_SECONDS if unresponsive else ANSWER_SECONDS)
        return not is_refused

    def change(self, version):
        """Accept another declaration."""
        position = self.snapshot.position
        position = Position(position.era, position.revision + 1)
        declared = build_snapshot(position.revision, version).declared
        self.snapshot = replace(self.snapshot, position=position, declared=declared)
        self._wake()

    def refuse(self, names, silently=False):
        """Refuse or ignore the calls of some nodes; their watches are closed."""
        self.refused_nodes = frozenset(names)
        self.ignores_calls = silently
        self._wake()

    def _wake(self):
        waiting, self._waiting = self._waiting, []
        for woken in waiting:
            woken.send(None)

    def wait_for_wake(self, seconds):
        """Wait until something changes or the time has passed."""
        woken = eventlet.Event()
        self._waiting.append(woken)
        try:
            woken.wait(timeout=seconds)
        finally:
            if woken in self._waiting:
                self._waiting.remove(woken)


class NodeSource:
    """The store as one node calls it; see `DirectorySource`."""

    def __init__(self, store, name):
        self.store = store
        self.name = name

    def read(self, may_be_stale=False):
        """Return the snapshot, page by page."""
        snapshot = self.store.snapshot
        items = len(snapshot.endpoints) + len(snapshot.nodes)
        for _ in range(1 + items // PAGE_ITEMS):
            if not self.store.charge(
                self.name, STALE_CALL_COST if may_be_stale else 1.0
            ):
                return StoreFailure("status 503")
        return snapshot

    def check(self):
        """Return the revision."""
        served = self.store.charge(self.name, STALE_CALL_COST)
        return self.store.snapshot.position if served else StoreFailure("status 503")

    def wait(self, after, seconds):
        """Return the changes after a position, as soon as there are any."""
        if not self.store.charge(self.name, 1.0):
            return StoreFailure("status 503")
        if self.store.snapshot.position == after:
            self.store.wait_for_wake(seconds)
        if self.name in self.store.refused_nodes:
            return StoreFailure("the connection was closed")
        snapshot = self.store.snapshot
        return Changes(snapshot.position, snapshot.declared)


class FleetRelays:
    """A RelayClient that reads the feeds of the fleet's followers."""

    def __init__(self, fleet):
        self.fleet = fleet

    def follow(self, relay):
        """Yield the frames of a relay's stream."""
        eventlet.sleep(NETWORK_DELAY_SECONDS)
        if relay.name in self.fleet.unresponsive_nodes:
            raise RelayLost("no connection")
        subscription = self.fleet.followers[relay.name].feed.subscribe()
        if subscription is None:
            raise RelayLost("status 503", is_alive=True)
        reader = FrameReader()
        try:
            while True:
                with eventlet.Timeout(STREAM_TIMEOUT_SECONDS, RelayLost("silence")):
                    data = next(subscription, None)
                if relay.name in self.fleet.unresponsive_nodes:
                    raise RelayLost("silence")
                if data is None:
                    raise RelayLost("the stream ended", is_alive=True)
                yield from reader.feed(data)
        finally:
            subscription.close()


class FleetPeers:
    """A PeerClient that queries random nodes of the fleet."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng

    def fetch_newer(self, directory):
        """Return another node's snapshot if it is newer."""
        eventlet.sleep(NETWORK_DELAY_SECONDS)
        other = self._choose()
        return self._get_newer(other, build_known_state(directory))

    def fetch_newer_at_start(self, read):
        """Return the newer snapshot of the first node with a confirmed directory."""
        for _ in range(MAX_QUERY_ROUNDS * QUERIES_PER_ROUND):
            eventlet.sleep(NETWORK_DELAY_SECONDS)
            other = self._choose()
            if self._can_send(other):
                sent = self._get_newer(other, build_known_state(read))
                return [] if sent is None else [sent]
        return []

    def _get_newer(self, other, known):
        """Return a node's snapshot if it is newer, as `PeerApplication` does."""
        own = build_known_state(other.directory)
        is_newer = own.position > known.position or own.version > known.version
        is_sent = self._can_send(other) and is_newer
        return other.directory.build_snapshot() if is_sent else None

    def _can_send(self, other):
        return (
            other.is_confirmed
            and other.choice.own.name not in self.fleet.unresponsive_nodes
        )

    def _choose(self):
        return self.rng.choice(list(self.fleet.followers.values()))


class Fleet:
    """Nodes that follow one store.

    Parameters
    ----------
    size : int
        Number of nodes, over six data centres.
    seed : int
        Seed of the nodes' choice of relays and peers.

    Attributes
    ----------
    unresponsive_nodes : frozenset of str
        Nodes that do not respond to other nodes.
    informed_at : dict
        Time at which a node first published a version, by node and version.
    reverted : list of str
        Nodes that published an older version after a newer one.
    """

    def __init__(self, size, seed=1):
        records = {
            f"n{number:04}": NodeRecord(
                f"n{number:04}",
                f"10.0.{number // 250}.{number % 250}:1",
                f"dc{number % DATA_CENTRES}",
                2.15 if number < STRONG_NODES else 0.43,
            )
            for number in range(size)
        }
        instances = [f"i{number}" for number in range(481)]
        snapshot = replace(build_snapshot(5, 1, instances), nodes=records)
        self.store = self.build_store(snapshot)
        self.unresponsive_nodes = frozenset()
        self.informed_at = {}
        self.reverted = []
        self.followers = {}
        for number, record in enumerate(records.values()):
            rng = random.Random(seed * 10_000 + number)
            self.followers[record.name] = Follower(
                self.build_source(record.name),
                FleetPeers(self, rng),
                self._build_publish(record.name),
                RelayChoice(record, rng),
                FleetRelays(self),
                clock=read_clock,
            )

    def build_store(self, snapshot):
        """Return the store that all nodes call."""
        return FleetStore(snapshot)

    def build_source(self, name):
        """Return the store as one node calls it."""
        return NodeSource(self.store, name)

    def _build_publish(self, name):
        newest = [0]

        def publish(directory):
            version = directory.declared.version
            if version < newest[0]:
                self.reverted.append(name)
            newest[0] = version
            self.informed_at.setdefault((name, version), read_clock())

        return publish

    def start(self, late_nodes=()):
        """Start all nodes but those that start later."""
        random.seed(1)
        for name in self.followers:
            if name not in late_nodes:
                self.start_node(name)

    def start_node(self, name):
        """Start one node."""
        self.followers[name].start()

    def list_relays(self):
        """Return the names of the relays."""
        nodes = self.store.snapshot.nodes.values()
        return [relay.name for relay in list_relays(nodes)]

    def list_uninformed(self, version):
        """Return the names of nodes that have not published a version."""
        return [n for n in self.followers if (n, version) not in self.informed_at]

    def find_last(self, version):
        """Return when the last node published a version; None if some did not."""
        if self.list_uninformed(version):
            return None
        return max(t for (_, known), t in self.informed_at.items() if known == version)

    def measure_cost(self, seconds):
        """Wait for a time; return the cost of the calls during it."""
        before = self.store.cost
        eventlet.sleep(seconds)
        return self.store.cost - before
