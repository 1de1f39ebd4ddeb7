"""A replica of the configuration: the state that results from the change log."""

import json
import zlib
from collections import OrderedDict, deque
from enum import Enum

from msgspec import Struct, field

from hingesill_core.configuration.log import EMPTY_CHAIN, is_organisation
from hingesill_core.validation import parse_json

__all__ = [
    "Applied",
    "Difference",
    "Replica",
    "Versioned",
    "decode_difference",
    "encode_difference",
]

MAX_CHAINS = 1024
MAX_OPERATIONS = 4096
COMPRESSION_LEVEL = 6


class Applied(str, Enum):
    """Outcome of applying an entry or a difference to a replica."""

    APPLIED = "applied"
    ALREADY_HELD = "already-held"
    OLDER = "older"
    GAP = "gap"
    FORKED = "forked"


class Versioned(Struct, frozen=True):
    """A service's declaration with its version; None is a tombstone."""

    version: int
    author: str
    document: str | None
    operation_id: str


class Difference(Struct, frozen=True):
    """The newest state of each service that changed after a revision.

    Notes
    -----
    It is computed from the state alone, so it needs no history, is always available,
    and is never larger than the complete state, which is the difference since the
    revision 0. This is the compressed form of DUXFR (section 8).
    """

    since: int
    revision: int
    chain: str
    services: dict[str, Versioned]


class Replica(Struct):
    """The newest state that this node has seen; its revision never decreases.

    Attributes
    ----------
    revision : int
        Last entry of the change log that the state includes.
    chain : str
        Digest of the change log up to that entry.
    services : OrderedDict
        Versioned of each service, the most recently changed last.
    """

    revision: int = 0
    chain: str = EMPTY_CHAIN
    services: OrderedDict = field(default_factory=OrderedDict)
    _operations: OrderedDict = field(default_factory=OrderedDict)
    _chains: deque = field(default_factory=lambda: deque(maxlen=MAX_CHAINS))

    def apply(self, entry):
        """Apply an entry of the change log if it is the next one.

        Parameters
        ----------
        entry : Entry
            Entry as read from the store.

        Returns
        -------
        Applied
            APPLIED if the state changed; with any other value it is unchanged.
        """
        if entry.revision <= self.revision:
            known = self.find_chain(entry.revision)
            same = known is None or known == entry.compute_chain()
            return Applied.ALREADY_HELD if same else Applied.FORKED
        if entry.revision > self.revision + 1:
            return Applied.GAP
        if entry.previous != self.chain:
            return Applied.FORKED
        for change in entry.changes:
            self._put(
                change.service,
                Versioned(
                    entry.revision, entry.author, change.document, entry.operation_id
                ),
            )
        self._advance(entry.revision, entry.compute_chain())
        return Applied.APPLIED

    def adopt(self, difference):
        """Apply a difference from a peer or a snapshot if it is newer.

        Returns
        -------
        Applied
            OLDER or ALREADY_HELD if it is not newer; GAP if it starts after this state;
            FORKED if it belongs to another change log.
        """
        if difference.since > self.revision:
            return Applied.GAP
        if difference.revision <= self.revision:
            known = self.find_chain(difference.revision)
            if known is not None and known != difference.chain:
                return Applied.FORKED
            older = difference.revision < self.revision
            return Applied.OLDER if older else Applied.ALREADY_HELD
        for name, item in difference.services.items():
            current = self.services.get(name)
            if current is None or item.version > current.version:
                self._put(name, item)
        self._advance(difference.revision, difference.chain)
        return Applied.APPLIED

    def _put(self, name, item):
        self.services[name] = item
        self.services.move_to_end(name)
        self._operations[item.operation_id] = item.version
        while len(self._operations) > MAX_OPERATIONS:
            self._operations.popitem(last=False)

    def _advance(self, revision, chain):
        self.revision = revision
        self.chain = chain
        self._chains.append((revision, chain))

    def find_chain(self, revision):
        """Return the chain digest at a recent revision, or None."""
        if revision == 0:
            return EMPTY_CHAIN
        for known, chain in reversed(self._chains):
            if known <= revision:
                return chain if known == revision else None
        return None

    def build_difference(self, since=0, names=()):
        """Return the changes after a revision.

        Parameters
        ----------
        since : int
            A revision; 0 for the complete state.
        names : collection of str
            Services to include, beside all organisations; empty for all.
        """
        changed = []
        for name, item in reversed(self.services.items()):
            if item.version <= since:
                break
            if not names or name in names or is_organisation(name):
                changed.append((name, item))
        changed.reverse()
        return Difference(since, self.revision, self.chain, dict(changed))

    def get_version(self, name):
        """Return the version of a service or its tombstone; 0 for neither."""
        current = self.services.get(name)
        return 0 if current is None else current.version

    def find_operation(self, operation_id):
        """Return the revision of a recent operation, or None."""
        return self._operations.get(operation_id)


def encode_difference(difference):
    """Return a difference as compressed JSON."""
    services = {
        name: [item.version, item.author, item.document, item.operation_id]
        for name, item in difference.services.items()
    }
    parts = [difference.since, difference.revision, difference.chain, services]
    return zlib.compress(
        json.dumps(parts, separators=(",", ":")).encode(), COMPRESSION_LEVEL
    )


def decode_difference(encoded):
    """Return the difference in compressed JSON.

    Raises
    ------
    ValueError
        If the data contain no difference.
    """
    try:
        since, revision, chain, encoded_services = parse_json(zlib.decompress(encoded))
        services = {name: Versioned(*item) for name, item in encoded_services.items()}
        return Difference(int(since), int(revision), str(chain), services)
    except (zlib.error, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not a difference: {error}") from error
