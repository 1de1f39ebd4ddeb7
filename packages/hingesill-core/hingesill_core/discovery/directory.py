"""The newest declaration and endpoints that a node knows; it never goes back."""

from msgspec import Struct, field

from hingesill_core.discovery.deferral import (
    NODE_RETURN_SECONDS,
    compute_endpoint_deferral,
    compute_evacuation_deferral,
    compute_node_deferral,
)
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import DeclaredConfiguration, Snapshot
from hingesill_core.discovery.recordtable import RecordTable
from hingesill_core.routing.profile import Profile

__all__ = ["Directory"]


class Directory(Struct):
    """What is believed, and what is in doubt.

    Attributes
    ----------
    position : Position
        Changes of the store up to here are known.
    declared : Declared or None
        The newest declaration seen.
    profile : Profile or None
        What nodes have learnt of the services.
    held : dict
        QuarantineRecord by fingerprint; it is replaced, never changed.
    returned_at : float
        When the store last came back, in seconds of the node's clock.
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
        """By evacuated data centre, the revision of the request; replaced."""
        return self._listed_evacuated

    @property
    def generation(self):
        """A number that grows with each change of what is believed."""
        kinds = (self._endpoints, self._nodes, self._evacuated)
        # Nodes are told whether their entries are doubted: they enter themselves again.
        own = self._changes + self._nodes.doubted
        return own + sum(kind.generation for kind in kinds)

    @property
    def unlisted(self):
        """Names of nodes that are believed though a restored store lacks them."""
        return self._nodes.list_missing()

    def count_doubts(self):
        """Return how many words of the store are doubted now, by kind."""
        return {
            "endpoints": len(self._endpoints.doubts),
            "nodes": len(self._nodes.doubts),
            "evacuations": len(self._evacuated.doubts),
        }

    def record_return(self, now):
        """Take note that the store answers again after it did not."""
        self.returned_at = max(self.returned_at, now)

    def is_restored_by(self, position):
        """Tell whether a position is of a later era than what is known.

        Notes
        -----
        Then it leads on, however low its revision: what the store told in the era
        before is kept where the copy cannot know better. Nodes that went by revisions
        alone would refuse all that a restored store tells, and put no later declaration
        in force.
        """
        return self.position != Position() and position.era > self.position.era

    def adopt(self, snapshot, now):
        """Take everything at a position; return whether it leads further.

        Notes
        -----
        One that is behind what is known is refused: a stale read must not
        bring back an endpoint that has left.
        """
        if snapshot.position < self.position:
            return False
        is_restored = self._advance(snapshot.position)
        self._read_endpoints(snapshot.endpoints, now, is_restored)
        self._read_nodes(snapshot, now, is_restored)
        self._read_evacuated(snapshot.evacuated, now, is_restored)
        self._declare(snapshot.declared)
        if not (is_restored and self.profile is not None):
            self._take_profile(snapshot.profile)
        self._replace_held(snapshot.held)
        self._list()
        return True

    def apply(self, changes, now):
        """Take what changed after the known position; return whether it did."""
        if changes.position < self.position:
            return False
        self._advance(changes.position)
        for instance, told in changes.endpoints.items():
            self._tell_endpoint(instance, told, now, is_written=True)
        for name, told in changes.nodes.items():
            self._nodes.tell(name, told, None, now, is_written=True)
        if changes.unlisted is not None:
            self._doubt_nodes(changes.unlisted, now)
        for name, told in changes.evacuated.items():
            self._evacuated.tell(name, told, None, now, is_written=True)
        self._declare(changes.declared)
        self._take_profile(changes.profile)
        if changes.held:
            held = {**self.held, **changes.held}
            self._replace_held({k: v for k, v in held.items() if v is not None})
        self._list()
        return True

    def learn(self, snapshot, now):
        """Take what another node holds; return whether anything of it is new here.

        Notes
        -----
        It may be cut off from the store and know an earlier era only. A declaration
        that was accepted then counts all the same: the copy may lack it.
        """
        before = self.generation, self.position
        if snapshot.position > self.position:
            self.adopt(snapshot, now)
        else:
            self._declare_newer(snapshot.declared)
        return before != (self.generation, self.position)

    def _advance(self, position):
        """Go on to a position; return whether the store was restored before it."""
        is_restored = self.is_restored_by(position)
        if is_restored:
            self._changes += 1
        self.position = position
        return is_restored

    def _declare(self, declared):
        """Take a declaration unless a later version was accepted before.

        Notes
        -----
        A restored store lacks versions that it had accepted. They stay in force, and
        are told on, until it holds them or later ones. One that is written again with
        other content under the same version is taken: it is the operator's last word.
        """
        known = self.declared
        if declared is None or declared == known:
            return
        if known is None or declared.version >= known.version:
            self.declared = declared
            self._changes += 1

    def _declare_newer(self, declared):
        known = self.declared
        if known is None or (declared and declared.version > known.version):
            self._declare(declared)

    def _take_profile(self, profile):
        if profile is not None and profile != self.profile:
            self.profile = profile
            self._changes += 1

    def _replace_held(self, held):
        if held != self.held:
            self.held = keep_known(self.held, held)
            self._changes += 1

    def _read_endpoints(self, told, now, is_restored):
        missing = self.endpoints.keys() | self._endpoints.doubts.keys()
        for instance, record in told.items():
            self._tell_endpoint(instance, record, now, is_restored=is_restored)
        for instance in missing - told.keys():
            self._tell_endpoint(instance, None, now, is_restored=is_restored)

    def _tell_endpoint(self, instance, told, now, is_written=False, is_restored=False):
        kind = self._endpoints
        known = kind.records.get(instance)
        ended = kind.find_removed(instance, now) if is_restored else None
        until = compute_endpoint_deferral(
            known, ended, told, self.returned_at, now, is_restored
        )
        kind.tell(instance, told, until, now, is_written, is_restored)

    def _read_nodes(self, snapshot, now, is_restored):
        kind = self._nodes
        for name in kind.records.keys() | snapshot.nodes.keys():
            told = snapshot.nodes.get(name)
            until = compute_node_deferral(
                kind.records.get(name), told, now, is_restored
            )
            kind.tell(name, told, until, now, is_restored=is_restored)
        for name in snapshot.unlisted:
            kind.tell(name, None, now + NODE_RETURN_SECONDS, now)

    def _doubt_nodes(self, names, now):
        """Believe those nodes for a while whom another node believes so, no others."""
        kind = self._nodes
        for name in kind.doubts.keys() - set(names):
            kind.tell(name, kind.records.get(name), None, now, is_written=True)
        for name in names:
            if name in kind.records and name not in kind.doubts:
                kind.tell(name, None, now + NODE_RETURN_SECONDS, now)

    def _read_evacuated(self, told, now, is_restored):
        kind = self._evacuated
        for name in kind.records.keys() | kind.doubts.keys() | told.keys():
            known, word = kind.records.get(name), told.get(name)
            ended = kind.find_removed(name, now)
            until = compute_evacuation_deferral(known, ended, word, now, is_restored)
            kind.tell(name, word, until, now, is_restored=is_restored)

    def _list(self):
        """Build anew the dicts that are replaced, where they have changed."""
        nodes, evacuated = self._nodes, self._evacuated
        listed = nodes.generation, evacuated.generation
        if listed != self._listed:
            self._listed = listed
            self._listed_nodes = dict(nodes.records)
            self._listed_evacuated = dict(evacuated.records)

    def expire(self, now):
        """Believe the words whose time is over; return the endpoints that are gone."""
        gone = self._endpoints.expire(now)
        self._nodes.expire(now)
        self._evacuated.expire(now)
        self._list()
        return gone

    def get_next_expiry(self):
        """Return when `expire` has something to do, or None."""
        kinds = (self._endpoints, self._nodes, self._evacuated)
        times = [kind.get_next_expiry() for kind in kinds]
        return min((time for time in times if time is not None), default=None)

    def get_return_age(self, now):
        """Return the seconds since the store's last return; None if none was seen."""
        age = now - self.returned_at
        return None if age == float("inf") else age

    def build_snapshot(self):
        """Return all that is believed, for another node."""
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


def keep_known(known, records):
    """Return records by name, the known ones where nothing has changed."""
    return {
        name: known[name] if known.get(name) == record else record
        for name, record in records.items()
    }
