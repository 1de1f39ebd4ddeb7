"""A node's view of the store, which never moves back to an older position."""

from msgspec import Struct, field
from msgspec.structs import replace

from hingesill_core.discovery.deferral import (
    MISSING_NODE_SECONDS,
    compute_endpoint_deferral,
    compute_evacuation_deferral,
    compute_node_deferral,
)
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import FORMAT, DeclaredConfiguration, Snapshot
from hingesill_core.discovery.recordtable import RecordTable
from hingesill_core.organisations.changes import apply_organisation_changes
from hingesill_core.routing.profile import Profile

__all__ = ["Directory"]


class Directory(Struct):
    """Known records of the store, and updates that are deferred.

    Attributes
    ----------
    position : Position
        Position of the store up to which changes are known.
    declared : DeclaredConfiguration or None
        The newest known declaration.
    profile : Profile or None
        The nodes' observations of services.
    held : dict
        QuarantineRecord by fingerprint; it is replaced, never changed.
    returned_at : float
        When the store last became available again, in seconds of the node's clock.
    """

    position: Position = Position()
    declared: DeclaredConfiguration | None = None
    profile: Profile | None = None
    held: dict = field(default_factory=dict)
    returned_at: float = float("-inf")
    _endpoints: RecordTable = field(default_factory=RecordTable)
    _nodes: RecordTable = field(default_factory=RecordTable)
    _evacuated: RecordTable = field(default_factory=RecordTable)
    _changes: int = 0
    _listed: tuple = (0, 0)
    _listed_nodes: dict = field(default_factory=dict)
    _listed_evacuated: dict = field(default_factory=dict)

    @property
    def endpoints(self):
        """EndpointRecord by instance; changed in place."""
        return self._endpoints.records

    @property
    def nodes(self):
        """NodeRecord by name; replaced, never changed."""
        return self._listed_nodes

    @property
    def evacuated(self):
        """Revision of the request by evacuated data centre; replaced, never changed."""
        return self._listed_evacuated

    @property
    def generation(self):
        """A number that grows with each change of the directory."""
        tables = (self._endpoints, self._nodes, self._evacuated)
        # Deferred removals of nodes are published, as these nodes register again.
        own = self._changes + self._nodes.deferral_generation
        return own + sum(table.generation for table in tables)

    @property
    def unlisted(self):
        """Names of known nodes whose entries a restored store lacks."""
        return self._nodes.list_unconfirmed()

    def count_deferred(self):
        """Return the number of deferred updates by kind of record."""
        return {
            "endpoints": len(self._endpoints.deferred),
            "nodes": len(self._nodes.deferred),
            "evacuations": len(self._evacuated.deferred),
        }

    def record_return(self, now):
        """Record that the store is available again after an outage."""
        self.returned_at = max(self.returned_at, now)

    def is_from_later_era(self, position):
        """Return whether a position belongs to a later era than the known one.

        Notes
        -----
        Such a position is later whatever its revision. Records of the earlier era are
        kept where the restored copy may lack them. Nodes that compared revisions alone
        would refuse all updates of a restored store, and put no later declaration in
        force.
        """
        return self.position != Position() and position.era > self.position.era

    def can_apply(self, content):
        """Return whether another node's Snapshot or Changes can be applied here.

        Notes
        -----
        A node of an earlier build drops the organisations from declarations that it
        passes on: its declaration would let all callers in without a key. It is taken
        only if it is no later than a known one without organisations, as a later one
        may be the first with organisations. Changes of
        organisations that start from other ones than the known ones would mix two
        versions.
        """
        if content.declared is None:
            return True
        if content.format < FORMAT:
            known = self.declared
            if known is None or known.organisations is not None:
                return False
            return content.declared.version <= known.version
        return self._complete_declaration(content) is not None

    def _complete_declaration(self, content):
        """Return the declaration of Changes with its organisations, None if unknown."""
        declared = content.declared
        changes = getattr(content, "organisations", None)
        known = self.declared
        if changes is None or declared is None:
            return declared
        if known is None or known.organisations is None:
            return None
        if declared.version < known.version:
            return known
        organisations = apply_organisation_changes(
            known.organisations, known.organisations_digest, changes
        )
        if organisations is None:
            return None
        return replace(declared, organisations=organisations)

    def apply_snapshot(self, snapshot, now):
        """Apply the complete content of the store; return whether it was accepted.

        Notes
        -----
        A snapshot of an earlier position is refused: a stale read must not bring back
        an endpoint that has left.
        """
        if snapshot.position < self.position:
            return False
        is_restored = self._advance(snapshot.position)
        self._replace_endpoints(snapshot.endpoints, now, is_restored)
        self._replace_nodes(snapshot, now, is_restored)
        self._replace_evacuated(snapshot.evacuated, now, is_restored)
        self._apply_declaration(snapshot.declared)
        if not (is_restored and self.profile is not None):
            self._apply_profile(snapshot.profile)
        self._replace_held(snapshot.held)
        self._rebuild_listings()
        return True

    def apply_changes(self, changes, now):
        """Apply changes after the known position; return whether they were accepted."""
        if changes.position < self.position:
            return False
        self._advance(changes.position)
        for instance, reported in changes.endpoints.items():
            self._update_endpoint(instance, reported, now, is_written=True)
        for name, reported in changes.nodes.items():
            self._nodes.update(name, reported, None, now, is_written=True)
        if changes.unlisted is not None:
            self._defer_node_removals(changes.unlisted, now)
        for name, reported in changes.evacuated.items():
            self._evacuated.update(name, reported, None, now, is_written=True)
        self._apply_declaration(self._complete_declaration(changes))
        self._apply_profile(changes.profile)
        if changes.held:
            held = {**self.held, **changes.held}
            self._replace_held({k: v for k, v in held.items() if v is not None})
        self._rebuild_listings()
        return True

    def merge_snapshot(self, snapshot, now):
        """Merge another node's snapshot; return whether it changed this directory.

        Notes
        -----
        The other node may be cut off from the store and know only an earlier era. A
        newer declaration of that era is still applied, as the restored copy may lack
        it.
        """
        before = self.generation, self.position
        if snapshot.position > self.position:
            self.apply_snapshot(snapshot, now)
        else:
            self._apply_newer_declaration(snapshot.declared)
        return before != (self.generation, self.position)

    def _advance(self, position):
        """Move to a position; return whether it belongs to a later era."""
        is_restored = self.is_from_later_era(position)
        if is_restored:
            self._changes += 1
        self.position = position
        return is_restored

    def _apply_declaration(self, declared):
        """Apply a declaration unless a later version is known.

        Notes
        -----
        A restored store may lack versions that it had accepted. They stay in force, and
        are sent to other nodes, until the store has them or later ones. A version that
        was written again with other content is applied, as it is the operator's latest
        declaration.
        """
        known = self.declared
        if declared is None or declared == known:
            return
        if known is None or declared.version >= known.version:
            self.declared = declared
            self._changes += 1

    def _apply_newer_declaration(self, declared):
        known = self.declared
        if known is None or (declared and declared.version > known.version):
            self._apply_declaration(declared)

    def _apply_profile(self, profile):
        if profile is not None and profile != self.profile:
            self.profile = profile
            self._changes += 1

    def _replace_held(self, held):
        if held != self.held:
            self.held = reuse_unchanged(self.held, held)
            self._changes += 1

    def _replace_endpoints(self, reported, now, is_restored):
        missing = self.endpoints.keys() | self._endpoints.deferred.keys()
        for instance, record in reported.items():
            self._update_endpoint(instance, record, now, is_restored=is_restored)
        for instance in missing - reported.keys():
            self._update_endpoint(instance, None, now, is_restored=is_restored)

    def _update_endpoint(
        self, instance, reported, now, is_written=False, is_restored=False
    ):
        table = self._endpoints
        known = table.records.get(instance)
        removed = table.find_removed(instance, now) if is_restored else None
        apply_at = compute_endpoint_deferral(
            known, removed, reported, self.returned_at, now, is_restored
        )
        table.update(instance, reported, apply_at, now, is_written, is_restored)

    def _replace_nodes(self, snapshot, now, is_restored):
        table = self._nodes
        for name in table.records.keys() | snapshot.nodes.keys():
            reported = snapshot.nodes.get(name)
            apply_at = compute_node_deferral(
                table.records.get(name), reported, now, is_restored
            )
            table.update(name, reported, apply_at, now, is_restored=is_restored)
        for name in snapshot.unlisted:
            table.update(name, None, now + MISSING_NODE_SECONDS, now)

    def _defer_node_removals(self, names, now):
        """Defer the removal of exactly the nodes whose removal another node defers."""
        table = self._nodes
        for name in table.deferred.keys() - set(names):
            table.update(name, table.records.get(name), None, now, is_written=True)
        for name in names:
            if name in table.records and name not in table.deferred:
                table.update(name, None, now + MISSING_NODE_SECONDS, now)

    def _replace_evacuated(self, reported, now, is_restored):
        table = self._evacuated
        for name in table.records.keys() | table.deferred.keys() | reported.keys():
            known, evacuated = table.records.get(name), reported.get(name)
            removed = table.find_removed(name, now)
            apply_at = compute_evacuation_deferral(
                known, removed, evacuated, now, is_restored
            )
            table.update(name, evacuated, apply_at, now, is_restored=is_restored)

    def _rebuild_listings(self):
        """Rebuild the dicts of nodes and evacuations if these have changed."""
        nodes, evacuated = self._nodes, self._evacuated
        listed = nodes.generation, evacuated.generation
        if listed != self._listed:
            self._listed = listed
            self._listed_nodes = dict(nodes.records)
            self._listed_evacuated = dict(evacuated.records)

    def apply_due_updates(self, now):
        """Apply the deferred updates that are due; return the endpoints removed."""
        gone = self._endpoints.apply_due_updates(now)
        self._nodes.apply_due_updates(now)
        self._evacuated.apply_due_updates(now)
        self._rebuild_listings()
        return gone

    def get_next_due_time(self):
        """Return when the next deferred update is due, or None."""
        tables = (self._endpoints, self._nodes, self._evacuated)
        times = [table.get_next_due_time() for table in tables]
        return min((time for time in times if time is not None), default=None)

    def get_return_age(self, now):
        """Return the seconds since the store was last available again, or None."""
        age = now - self.returned_at
        return None if age == float("inf") else age

    def build_snapshot(self):
        """Return the directory's content for another node."""
        return Snapshot(
            self.position,
            self.declared,
            dict(self.endpoints),
            self.nodes,
            self.profile,
            self.evacuated,
            self.held,
            self.unlisted,
        )


def reuse_unchanged(known, records):
    """Return records by name; unchanged ones keep the known object."""
    return {
        name: known[name] if known.get(name) == record else record
        for name, record in records.items()
    }
