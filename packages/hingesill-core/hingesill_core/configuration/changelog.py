"""The change log in the store: an appendable tail key and immutable segments.

A change is accepted by one CAS of the tail key, whatever the number of services that it
contains, so all changes are in one total order. A tail that has reached its maximum
size is first copied to an immutable segment key, and the next tail refers to that key.
"""

from enum import Enum

from msgspec import Struct

from hingesill_core.configuration.log import Entry, encode_entry
from hingesill_core.configuration.snapshots import Snapshots
from hingesill_core.configuration.state import Applied
from hingesill_core.configuration.tail import Tail, decode_tail, encode_tail
from hingesill_core.store import KeyMissing, StoreFailure, Value, Written

__all__ = [
    "Accepted",
    "ChangeLog",
    "ChangeRequest",
    "Rejected",
    "Rejection",
]

MAX_TAIL_BYTES = 8 * 1024
MAX_WRITE_ATTEMPTS = 8
MAX_ENTRY_BYTES = 500_000


class Rejection(str, Enum):
    """Reason for which a change was not accepted."""

    CONFLICT = "conflict"
    UNAVAILABLE = "store-unavailable"
    UNKNOWN = "outcome-unknown"
    STORE_BEHIND = "store-behind-fleet"
    TOO_LARGE = "too-large"
    INVALID = "invalid"


class ChangeRequest(Struct, frozen=True):
    """A change that an author requests.

    Parameters
    ----------
    operation_id : str
        Idempotency key, chosen by the author.
    author : str
        Name of the author.
    changes : tuple of ServiceChange
        Changes that are accepted together or not at all.
    expected : tuple of int
        Version of the service that the author saw, for each change.
    validate : callable or None
        Returns the findings, given the newest replica and the changes.
    """

    operation_id: str
    author: str
    changes: tuple
    expected: tuple
    validate: object = None

    def find_conflicts(self, replica):
        """Return the services whose version differs from the expected one."""
        return [
            change.service
            for change, version in zip(self.changes, self.expected)
            if replica.get_version(change.service) != version
        ]


class Accepted(Struct, frozen=True):
    """The change is in the store under this revision."""

    revision: int
    repeated: bool = False


class Rejected(Struct, frozen=True):
    """The change was not accepted, or the outcome is unknown."""

    reason: Rejection
    detail: str = ""
    findings: tuple = ()


class ChangeLog:
    """Reads and appends to the change log in a store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    team : str
        Prefix of all keys.
    """

    def __init__(self, store, team):
        self.store = store
        self.tail_key = f"{team}/log/tail"
        self.segment_prefix = f"{team}/log/segment"
        self.snapshots = Snapshots(store, team)

    def read_tail(self):
        """Return the Tail, or StoreFailure."""
        return self._decode(self.store.get(self.tail_key))

    def watch_tail(self, version, timeout):
        """Wait for a change; return Tail, Unchanged or StoreFailure."""
        return self._decode(self.store.watch(self.tail_key, version, timeout))

    def _decode(self, result):
        if isinstance(result, KeyMissing):
            return Tail(version=result.version)
        if not isinstance(result, Value):
            return result
        try:
            return decode_tail(result.data, result.version)
        except ValueError as error:
            return StoreFailure(str(error))

    def catch_up(self, replica, tail):
        """Bring a replica up to a tail with the log's segments or a snapshot.

        Returns
        -------
        Applied or StoreFailure
            APPLIED or ALREADY_HELD if the replica is at the tail's revision now; OLDER
            if the store is behind the replica; FORKED if the two belong to different
            change logs.
        """
        if tail.revision < replica.revision:
            return Applied.OLDER
        segments = [tail]
        while segments[-1].base > replica.revision:
            previous = self._read_previous(replica, segments[-1])
            if isinstance(previous, (StoreFailure, Applied)):
                return previous
            if previous is not None:
                segments.append(previous)
        return self._apply_all(replica, reversed(segments), tail)

    def _read_previous(self, replica, tail):
        """Return the segment before a tail; None if a snapshot was loaded instead."""
        result = self._decode(self.store.get(tail.segment))
        if isinstance(result, Tail) and result.entries:
            return result
        if isinstance(result, StoreFailure):
            return result
        loaded = self.snapshots.load(replica)
        if loaded is not Applied.APPLIED:
            return StoreFailure(
                f"the segment {tail.segment} is missing and there is no snapshot"
            )
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
        """Append a change, unless the log contains its operation already.

        Parameters
        ----------
        replica : Replica
            Replica that is brought up to the log in the process.
        request : ChangeRequest
            The change with the versions that its author saw.
        is_in_time : callable
            Returns whether there is time for another call of the store.

        Returns
        -------
        Accepted or Rejected
            UNKNOWN only if a write may have taken effect and could not be read back in
            time.
        """
        may_have_run = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            next_tail = self._prepare(replica, request, may_have_run)
            if not isinstance(next_tail, Tail):
                return next_tail
            written = self._write(next_tail)
            if isinstance(written, Written):
                replica.apply(next_tail.entries[-1])
                return Accepted(replica.revision)
            if isinstance(written, StoreFailure):
                may_have_run = may_have_run or written.may_have_run
                if not is_in_time():
                    return self._explain_failure(may_have_run, written.reason)
        return self._explain_failure(may_have_run, "too many concurrent writers")

    def _prepare(self, replica, request, may_have_run):
        """Return the next Tail to write, or the result of the call."""
        tail = self.read_tail()
        if isinstance(tail, StoreFailure):
            return self._explain_failure(may_have_run, tail.reason)
        caught_up = self.catch_up(replica, tail)
        if isinstance(caught_up, StoreFailure):
            return self._explain_failure(may_have_run, caught_up.reason)
        if caught_up in (Applied.OLDER, Applied.FORKED):
            return Rejected(Rejection.STORE_BEHIND, caught_up.value)
        accepted_revision = replica.find_operation(request.operation_id)
        if accepted_revision is not None:
            return Accepted(accepted_revision, repeated=True)
        conflicts = request.find_conflicts(replica)
        if conflicts:
            return Rejected(Rejection.CONFLICT, ", ".join(conflicts))
        if request.validate is not None:
            findings = tuple(request.validate(replica, request.changes))
            if findings:
                return Rejected(Rejection.INVALID, "see the findings", findings)
        entry = Entry(
            replica.revision + 1,
            replica.chain,
            request.operation_id,
            request.author,
            request.changes,
        )
        if len(encode_entry(entry)) > MAX_ENTRY_BYTES:
            return Rejected(
                Rejection.TOO_LARGE, "the change is too large for one entry; split it"
            )
        return self._extend(tail, entry, may_have_run)

    def _extend(self, tail, entry, may_have_run):
        """Return the tail with one more entry, sealing it first if it is full."""
        if len(encode_tail(tail)) < MAX_TAIL_BYTES or not tail.entries:
            entries = tail.entries + (entry,)
            return Tail(tail.base, tail.chain, tail.segment, entries, tail.version)
        key = f"{self.segment_prefix}/{tail.base:012d}-{tail.last_chain}"
        sealed = self.store.put(key, encode_tail(tail), 0)
        if isinstance(sealed, StoreFailure):
            return self._explain_failure(may_have_run, sealed.reason)
        return Tail(tail.revision, tail.last_chain, key, (entry,), tail.version)

    def _write(self, tail):
        return self.store.put(self.tail_key, encode_tail(tail), tail.version)

    def _explain_failure(self, may_have_run, detail):
        reason = Rejection.UNKNOWN if may_have_run else Rejection.UNAVAILABLE
        return Rejected(reason, detail)

    def truncate_before(self, snapshot):
        """Delete an old snapshot and the segments that it covers.

        Parameters
        ----------
        snapshot : Snapshot
            The snapshot before the newest one.

        Returns
        -------
        int or StoreFailure
            Number of deleted keys.
        """
        tail = self.read_tail()
        if isinstance(tail, StoreFailure):
            return tail
        obsolete_keys = list(snapshot.list_keys())
        while tail.segment:
            key = tail.segment
            tail = self._decode(self.store.get(key))
            if isinstance(tail, StoreFailure):
                return tail
            if not tail.entries:
                break  # This segment and those before it were deleted earlier.
            if tail.revision <= snapshot.revision:
                obsolete_keys.append(key)
        # The oldest keys are deleted first, so that an interruption leaves no gap.
        for key in reversed(obsolete_keys):
            deleted = self.store.delete(key)
            if isinstance(deleted, StoreFailure):
                return deleted
        return len(obsolete_keys)
