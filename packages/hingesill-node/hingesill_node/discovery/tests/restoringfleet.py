"""A fleet in virtual time whose store is restored from an older copy of itself."""

import eventlet
from msgspec.structs import replace

from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import Changes, StoreRestored
from hingesill_core.store import LeaseGranted, LeaseLost, StoreFailure
from hingesill_node.discovery.registration import Registration
from hingesill_node.discovery.tests.test_follower import build_snapshot
from hingesill_node.discovery.tests.virtualfleet import (
    STALE_CALL_COST,
    Fleet,
    FleetStore,
    NodeSource,
    read_clock,
)

__all__ = ["RestoringFleet"]

LEASE_SECONDS = 120.0
FIRST_LEASE = 70


class RestoringStore(FleetStore):
    """A store with a history of changes and a copy; a restore assigns leases again.

    Attributes
    ----------
    is_watch_deaf : bool
        Watches from a revision that the copy lacks are not notified of a restore, and
        wait until the store has passed that revision.
    writes_at : list of float
        Times of the nodes' writes.
    """

    def __init__(self, snapshot):
        super().__init__(replace(snapshot, position=Position(1, 5)))
        self.changes = []
        self.leases = FIRST_LEASE
        self.is_watch_deaf = False
        self.writes_at = []
        self._copy = None

    def write(self, **fields):
        """Change the declaration, endpoints or nodes."""
        before = self.snapshot
        position = Position(before.position.era, before.position.revision + 1)
        changes = Changes(position, **fields)
        self.changes.append(changes)
        self.snapshot = replace(
            before,
            position=position,
            declared=changes.declared or before.declared,
            endpoints=merge(before.endpoints, changes.endpoints),
            nodes=merge(before.nodes, changes.nodes),
        )
        self._wake()

    def change(self, version):
        """Accept a declaration."""
        self.write(declared=build_snapshot(1, version).declared)

    def copy(self):
        """Make a copy of the store's content."""
        self._copy = self.snapshot, list(self.changes), self.leases

    def restore(self):
        """Restore the store from its copy, in a new era."""
        era = self.snapshot.position.era + 1
        snapshot, self.changes, self.leases = self._copy
        position = Position(era, snapshot.position.revision)
        self.snapshot = replace(snapshot, position=position)
        self.changes = list(self.changes)
        if not self.is_watch_deaf:
            self._wake()

    def list_after(self, revision):
        """Return all changes after a revision, merged."""
        found = Changes(self.snapshot.position)
        for changes in self.changes:
            if changes.position.revision > revision:
                found = replace(
                    found,
                    declared=changes.declared or found.declared,
                    endpoints={**found.endpoints, **changes.endpoints},
                    nodes={**found.nodes, **changes.nodes},
                )
        return found


class RestoringSource(NodeSource):
    """The calls of one node to a RestoringStore."""

    def wait(self, after, seconds):
        """Return the changes after a position."""
        if not self.store.charge(self.name, 1.0):
            return StoreFailure("status 503")
        until = read_clock() + seconds
        while self._has_nothing(after) and read_clock() < until:
            self.store.wait_for_wake(until - read_clock())
            if self.name in self.store.refused_nodes:
                return StoreFailure("the connection was closed")
        era = self.store.snapshot.position.era
        if era != after.era:
            return StoreRestored(era)
        return self.store.list_after(after.revision)

    def _has_nothing(self, after):
        position = self.store.snapshot.position
        if position.era != after.era and not self.store.is_watch_deaf:
            return False
        return position.revision <= after.revision

    def _write(self):
        is_served = self.store.charge(self.name, 1.0)
        if is_served:
            self.store.writes_at.append(read_clock())
        return is_served

    def enter(self, node, seconds):
        """Register a node under a new lease, with two writes."""
        if not self._write():
            return StoreFailure("status 503")
        self.store.leases += 1
        lease = f"{self.store.snapshot.position.era}/{self.store.leases}"
        if not self._write():
            return StoreFailure("status 503")
        self.store.write(nodes={node.name: node})
        return LeaseGranted(lease, seconds)

    def resume(self, node):
        """Resume an existing entry."""
        if not self.store.charge(self.name, 2 * STALE_CALL_COST):
            return StoreFailure("status 503")
        if self.store.snapshot.nodes.get(node.name) != node:
            return LeaseLost()
        return LeaseGranted(f"{self.store.snapshot.position.era}/1", LEASE_SECONDS)

    def renew(self, lease):
        """Renew a lease; a lease of an earlier era may belong to another node."""
        if not self.store.charge(self.name, STALE_CALL_COST):
            return StoreFailure("status 503")
        if int(lease.split("/")[0]) != self.store.snapshot.position.era:
            raise AssertionError(f"{self.name} renews lease {lease} of an earlier era")
        return LeaseGranted(lease, LEASE_SECONDS)


class RestoringFleet(Fleet):
    """Nodes that follow a RestoringStore and register there.

    Parameters
    ----------
    size : int
        Number of nodes.
    registration_spread_seconds : float
        Seconds over which all nodes register again.
    """

    def __init__(self, size, registration_spread_seconds):
        super().__init__(size)
        self.registrations = {
            name: Registration(
                follower.source,
                follower.choice.own,
                lambda node, f=follower: self._is_listed(f, node),
                lambda f=follower: f.is_store_available,
                lambda f=follower: f.directory.position.era,
                lambda: registration_spread_seconds,
                read_clock,
            )
            for name, follower in self.followers.items()
        }

    def build_store(self, snapshot):
        """See `Fleet`."""
        return RestoringStore(snapshot)

    def build_source(self, name):
        """See `Fleet`."""
        return RestoringSource(self.store, name)

    def _is_listed(self, follower, node):
        directory = follower.directory
        is_known = directory.nodes.get(node.name) == node
        return is_known and node.name not in directory.unlisted

    def start_node(self, name):
        """See `Fleet`; the node registers too."""
        super().start_node(name)
        eventlet.spawn(self.registrations[name].run)

    def is_registered(self):
        """Return whether the store lists all nodes."""
        return self.store.snapshot.nodes.keys() == self.followers.keys()


def merge(records, changes):
    """Return records after changes; None removes a record."""
    merged = {**records, **changes}
    return {name: record for name, record in merged.items() if record is not None}
