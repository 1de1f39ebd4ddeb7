"""The change log in the store: one key to append to, sealed segments behind it.

Accepting a change is one CAS of the tail key, whatever the number of services
it touches, so every change has one place in one order. A tail that has grown
long is first copied to a segment key that nobody changes afterwards, and the
next tail points back to it.
"""

import hashlib
import json
from dataclasses import dataclass
from enum import Enum

from hingesill_core.configuration.log import (
    EMPTY_CHAIN,
    Entry,
    decode_entry,
    encode_entry,
)
from hingesill_core.configuration.state import (
    Applied,
    decode_difference,
    encode_difference,
)
from hingesill_core.store import Conflicting, Missing, StoreFailure, Value, Written

__all__ = [
    "Accepted",
    "ChangeLog",
    "ChangeRequest",
    "Rejected",
    "Rejection",
    "Snapshot",
    "Tail",
    "decode_tail",
]

TAIL_BYTES = 8 * 1024
MAX_RACES = 8
SNAPSHOT_PART_BYTES = 500_000


class Rejection(str, Enum):
    """Why a change was not accepted."""

    CONFLICT = "conflict"
    UNAVAILABLE = "store-unavailable"
    UNKNOWN = "outcome-unknown"
    STORE_BEHIND = "store-behind-fleet"
    TOO_LARGE = "too-large"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an author asks for.

    Parameters
    ----------
    operation_id : str
        Chosen by the author; the change takes effect once for each id.
    author : str
        Who asks.
    changes : tuple of ServiceChange
        Accepted together or not at all.
    expected : tuple of int
        For each change, the version of the service that the author saw.
    find_faults : callable or None
        Given the newest replica and the changes, returns findings.
    """

    operation_id: str
    author: str
    changes: tuple
    expected: tuple
    find_faults: object = None

    def find_stale(self, replica):
        """Return the services that have another version than expected."""
        return [
            change.service
            for change, version in zip(self.changes, self.expected)
            if replica.get_version(change.service) != version
        ]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change stands in the store under this revision."""

    revision: int
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change was not accepted, or it is not known whether it was."""

    reason: Rejection
    detail: str = ""
    findings: tuple = ()


@dataclass(frozen=True, slots=True)
class Tail:
    """The end of the change log.

    Parameters
    ----------
    base : int
        The revision before the first entry.
    chain : str
        The chain digest at the base.
    segment : str
        The key of the segment before; empty if there is none.
    entries : tuple of Entry
        In order.
    version : int
        The store's version of the key, for a CAS.
    """

    base: int = 0
    chain: str = EMPTY_CHAIN
    segment: str = ""
    entries: tuple = ()
    version: int = 0

    @property
    def revision(self):
        """The newest revision in the store."""
        return self.base + len(self.entries)

    @property
    def last_chain(self):
        """The chain digest after the newest entry."""
        return self.entries[-1].compute_chain() if self.entries else self.chain


def decode_tail(data, version):
    """Return the Tail that a value holds; ValueError if it holds none."""
    try:
        base, chain, segment, entries = json.loads(data)
        decoded = tuple(decode_entry(json.dumps(entry)) for entry in entries)
        return Tail(int(base), str(chain), str(segment), decoded, version)
    except (TypeError, ValueError) as error:
        raise ValueError(f"not a tail of the change log: {error}") from error


def encode_tail(tail):
    """Return a tail as JSON bytes."""
    entries = b",".join(encode_entry(entry) for entry in tail.entries)
    head = json.dumps([tail.base, tail.chain, tail.segment], separators=(",", ":"))
    return head[:-1].encode() + b",[" + entries + b"]]"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Where a whole state stands in the store.

    Parameters
    ----------
    revision : int
        What it holds.
    parts : int
        How many values it is cut into.
    folder : str
        First part of their keys.
    """

    revision: int = 0
    parts: int = 0
    folder: str = ""

    def list_keys(self):
        """Return the keys of the parts, in order."""
        return [f"{self.folder}/{index}" for index in range(self.parts)]


class ChangeLog:
    """Reads and appends to the change log through a store.

    Parameters
    ----------
    store : Store
        The platform's service.
    team : str
        First part of all keys.
    """

    def __init__(self, store, team):
        self.store = store
        self.tail_key = f"{team}/log/tail"
        self.segment_prefix = f"{team}/log/segment"
        self.snapshot_key = f"{team}/snapshot/head"
        self.snapshot_prefix = f"{team}/snapshot"

    def read_tail(self):
        """Return the Tail, or StoreFailure."""
        return self._decode(self.store.get(self.tail_key))

    def watch_tail(self, version, timeout):
        """Wait for a change; return Tail, Unchanged or StoreFailure."""
        return self._decode(self.store.watch(self.tail_key, version, timeout))

    def _decode(self, answer):
        if isinstance(answer, Missing):
            return Tail(version=answer.version)
        if not isinstance(answer, Value):
            return answer
        try:
            return decode_tail(answer.data, answer.version)
        except ValueError as error:
            return StoreFailure(str(error))

    def bring_up(self, replica, tail):
        """Bring a replica up to a tail, through segments or a snapshot.

        Returns
        -------
        Applied or StoreFailure
            APPLIED or ALREADY_HELD when the replica is at the tail's revision;
            OLDER if the store is behind the replica; FORKED if they are not of
            one log.
        """
        if tail.revision < replica.revision:
            return Applied.OLDER
        missing = [tail]
        while missing[-1].base > replica.revision:
            before = self._read_before(replica, missing[-1])
            if isinstance(before, (StoreFailure, Applied)):
                return before
            if before is not None:
                missing.append(before)
        return self._apply_all(replica, reversed(missing), tail)

    def _read_before(self, replica, tail):
        """Return the segment before a tail; None if a snapshot took its place."""
        answer = self._decode(self.store.get(tail.segment))
        if isinstance(answer, Tail) and answer.entries:
            return answer
        if isinstance(answer, StoreFailure):
            return answer
        loaded = self.load_snapshot(replica)
        if loaded is not Applied.APPLIED:
            return StoreFailure(f"the segment {tail.segment} is gone, no snapshot")
        return None

    def _apply_all(self, replica, segments, tail):
        outcome = Applied.ALREADY_HELD
        for segment in segments:
            for entry in segment.entries:
                applied = replica.apply(entry)
                if applied in (Applied.FORKED, Applied.GAP):
                    return Applied.FORKED
                if applied is Applied.APPLIED:
                    outcome = applied
        if replica.chain != tail.last_chain:
            return Applied.FORKED
        return outcome

    def append(self, replica, request, is_in_time):
        """Accept a change, or find that it was accepted before.

        Parameters
        ----------
        replica : Replica
            Brought up to the log on the way.
        request : ChangeRequest
            The change with the versions that its author saw.
        is_in_time : callable
            Tells whether there is time for another call.

        Returns
        -------
        Accepted or Rejected
            UNKNOWN only if a write may have taken effect and could not be read
            back in time.
        """
        exposed = False
        for _ in range(MAX_RACES):
            ready = self._prepare(replica, request, exposed)
            if not isinstance(ready, Tail):
                return ready
            written = self._write(ready)
            if isinstance(written, Written):
                replica.apply(ready.entries[-1])
                return Accepted(replica.revision)
            if isinstance(written, StoreFailure):
                exposed = exposed or written.may_have_run
                if not is_in_time():
                    return self._explain_failure(exposed, written.reason)
        return self._explain_failure(exposed, "too many racing writers")

    def _prepare(self, replica, request, exposed):
        """Return the next Tail to write, or what ends the call."""
        tail = self.read_tail()
        if isinstance(tail, StoreFailure):
            return self._explain_failure(exposed, tail.reason)
        caught_up = self.bring_up(replica, tail)
        if isinstance(caught_up, StoreFailure):
            return self._explain_failure(exposed, caught_up.reason)
        if caught_up in (Applied.OLDER, Applied.FORKED):
            return Rejected(Rejection.STORE_BEHIND, caught_up.value)
        known = replica.find_operation(request.operation_id)
        if known is not None:
            return Accepted(known, repeated=True)
        stale = request.find_stale(replica)
        if stale:
            return Rejected(Rejection.CONFLICT, ", ".join(stale))
        if request.find_faults is not None:
            findings = tuple(request.find_faults(replica, request.changes))
            if findings:
                return Rejected(Rejection.INVALID, "see the findings", findings)
        entry = Entry(
            replica.revision + 1,
            replica.chain,
            request.operation_id,
            request.author,
            request.changes,
        )
        if len(encode_entry(entry)) > SNAPSHOT_PART_BYTES:
            return Rejected(Rejection.TOO_LARGE, "split the change")
        return self._extend(tail, entry, exposed)

    def _extend(self, tail, entry, exposed):
        """Return the tail with one more entry, sealing it first if it is long."""
        if len(encode_tail(tail)) < TAIL_BYTES or not tail.entries:
            entries = tail.entries + (entry,)
            return Tail(tail.base, tail.chain, tail.segment, entries, tail.version)
        key = f"{self.segment_prefix}/{tail.base:012d}-{tail.last_chain}"
        sealed = self.store.put(key, encode_tail(tail), 0)
        if isinstance(sealed, StoreFailure):
            return self._explain_failure(exposed, sealed.reason)
        return Tail(tail.revision, tail.last_chain, key, (entry,), tail.version)

    def _write(self, tail):
        return self.store.put(self.tail_key, encode_tail(tail), tail.version)

    def _explain_failure(self, exposed, detail):
        reason = Rejection.UNKNOWN if exposed else Rejection.UNAVAILABLE
        return Rejected(reason, detail)

    def save_snapshot(self, replica):
        """Write the whole state, so that new nodes need not read the whole log.

        Returns
        -------
        Snapshot, Conflicting or StoreFailure
            The Snapshot before it, which nothing needs any more once all nodes
            that were starting have read it.
        """
        head = self.store.get(self.snapshot_key)
        if isinstance(head, StoreFailure):
            return head
        before = decode_snapshot(head)
        if before.revision >= replica.revision:
            return Conflicting()
        whole = encode_difference(replica.build_difference())
        digest = hashlib.blake2b(whole, digest_size=8).hexdigest()
        folder = f"{self.snapshot_prefix}/{replica.revision:012d}-{digest}"
        starts = range(0, len(whole), SNAPSHOT_PART_BYTES)
        snapshot = Snapshot(replica.revision, len(starts), folder)
        for key, start in zip(snapshot.list_keys(), starts):
            part = whole[start : start + SNAPSHOT_PART_BYTES]
            written = self.store.put(key, part, 0)
            if isinstance(written, StoreFailure):
                return written
        value = json.dumps([snapshot.revision, snapshot.parts, snapshot.folder])
        written = self.store.put(self.snapshot_key, value.encode(), head.version)
        return before if isinstance(written, Written) else written

    def load_snapshot(self, replica):
        """Bring a replica up to the snapshot.

        Returns
        -------
        Applied or StoreFailure
        """
        head = self.store.get(self.snapshot_key)
        if not isinstance(head, Value):
            return head if isinstance(head, StoreFailure) else Applied.ALREADY_HELD
        parts = []
        for key in decode_snapshot(head).list_keys():
            part = self.store.get(key)
            if not isinstance(part, Value):
                return StoreFailure(f"{key}, a part of the snapshot, is not there")
            parts.append(part.data)
        try:
            return replica.adopt(decode_difference(b"".join(parts)))
        except ValueError as error:
            return StoreFailure(str(error))

    def delete_before(self, snapshot):
        """Delete an old snapshot and the segments that it holds already.

        Parameters
        ----------
        snapshot : Snapshot
            The one before the newest.

        Returns
        -------
        int or StoreFailure
            How many keys were deleted.
        """
        tail = self.read_tail()
        if isinstance(tail, StoreFailure):
            return tail
        old = list(snapshot.list_keys())
        while tail.segment:
            key = tail.segment
            tail = self._decode(self.store.get(key))
            if isinstance(tail, StoreFailure):
                return tail
            if not tail.entries:
                break  # It was deleted earlier, and so were those before it.
            if tail.revision <= snapshot.revision:
                old.append(key)
        # The oldest first: a walk that is cut short leaves no gap behind it.
        for key in reversed(old):
            deleted = self.store.delete(key)
            if isinstance(deleted, StoreFailure):
                return deleted
        return len(old)


def decode_snapshot(head):
    """Return the Snapshot that the head key names; an empty one if none does."""
    if not isinstance(head, Value):
        return Snapshot()
    revision, parts, folder = json.loads(head.data)
    return Snapshot(revision, parts, folder)
