"""A replica of the configuration: what the change log adds up to."""

import json
import zlib
from collections import OrderedDict, deque
from enum import Enum

from msgspec import Struct, field

from hingesill_core.configuration.log import EMPTY_CHAIN

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
COMPRESSION = 6


class Applied(str, Enum):
    """What became of an entry or a difference that a replica was given."""

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
    """The last state of each service that changed after a revision.

    Notes
    -----
    It is built from the state alone, so no history is kept, it can always be
    built, and it is never longer than the whole state, which is the difference
    since revision 0. This is the compressed form of DUXFR (section 8).
    """

    since: int
    revision: int
    chain: str
    services: dict[str, Versioned]


class Replica(Struct):
    """The newest state that this node has seen; it never goes back.

    Attributes
    ----------
    revision : int
        The last entry of the change log that the state holds.
    chain : str
        Digest of the change log up to there.
    services : OrderedDict
        Each service's Versioned, the last changed one last.
    """

    revision: int = 0
    chain: str = EMPTY_CHAIN
    services: OrderedDict = field(default_factory=OrderedDict)
    _operations: OrderedDict = field(default_factory=OrderedDict)
    _chains: deque = field(default_factory=lambda: deque(maxlen=MAX_CHAINS))

    def apply(self, entry):
        """Take an entry of the change log if it is the next one.

        Parameters
        ----------
        entry : Entry
            As read from the store.

        Returns
        -------
        Applied
            APPLIED changed the state; all other values left it as it was.
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
        """Take a difference from a peer or a snapshot if it leads further.

        Returns
        -------
        Applied
            OLDER or ALREADY_HELD if it does not; GAP if it starts after this
            state; FORKED if it belongs to another change log.
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
            held = self.services.get(name)
            if held is None or item.version > held.version:
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
        """Return what changed after a revision.

        Parameters
        ----------
        since : int
            A revision; 0 for the whole state.
        names : collection of str
            Only these services; empty for all.
        """
        changed = []
        for name, item in reversed(self.services.items()):
            if item.version <= since:
                break
            if not names or name in names:
                changed.append((name, item))
        changed.reverse()
        return Difference(since, self.revision, self.chain, dict(changed))

    def get_version(self, name):
        """Return the version of a service, a tombstone's too; 0 for none."""
        held = self.services.get(name)
        return 0 if held is None else held.version

    def find_operation(self, operation_id):
        """Return the revision a recent operation led to, or None."""
        return self._operations.get(operation_id)


def encode_difference(difference):
    """Return a difference as compressed JSON."""
    held = {
        name: [item.version, item.author, item.document, item.operation_id]
        for name, item in difference.services.items()
    }
    parts = [difference.since, difference.revision, difference.chain, held]
    return zlib.compress(json.dumps(parts, separators=(",", ":")).encode(), COMPRESSION)


def decode_difference(encoded):
    """Return the difference that compressed JSON holds.

    Raises
    ------
    ValueError
        If it holds none.
    """
    try:
        since, revision, chain, held = json.loads(zlib.decompress(encoded))
        services = {name: Versioned(*item) for name, item in held.items()}
        return Difference(int(since), int(revision), str(chain), services)
    except (zlib.error, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not a difference: {error}") from error
