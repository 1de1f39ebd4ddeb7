"""The change log in the store: one key to append to, sealed segments behind it.

Accepting a change is one CAS of the tail key, whatever the number of services
it touches, so every change has one place in one order. A tail that has grown
long is first copied to a segment key that nobody changes afterwards, and the
next tail points back to it.
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

TAIL_BYTES = 8 * 1024
MAX_RACES = 8
MOST_ENTRY_BYTES = 500_000


class Rejection(str, Enum):
    """Why a change was not accepted."""

    CONFLICT = "conflict"
    UNAVAILABLE = "store-unavailable"
    UNKNOWN = "outcome-unknown"
    STORE_BEHIND = "store-behind-fleet"
    TOO_LARGE = "too-large"
    INVALID = "invalid"


class ChangeRequest(Struct, frozen=True):
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


class Accepted(Struct, frozen=True):
    """The change stands in the store under this revision."""

    revision: int
    repeated: bool = False


class Rejected(Struct, frozen=True):
    """The change was not accepted, or it is not known whether it was."""

    reason: Rejection
    detail: str = ""
    findings: tuple = ()


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
        self.snapshots = Snapshots(store, team)

    def read_tail(self):
        """Return the Tail, or StoreFailure."""
        return self._decode(self.store.get(self.tail_key))

    def watch_tail(self, version, timeout):
        """Wait for a change; return Tail, Unchanged or StoreFailure."""
        return self._decode(self.store.watch(self.tail_key, version, timeout))

    def _decode(self, answer):
        if isinstance(answer, KeyMissing):
            return Tail(version=answer.version)
        if not isinstance(answer, Value):
            return answer
        try:
            return decode_tail(answer.data, answer.version)
        except ValueError as error:
            return StoreFailure(str(error))

    def catch_up(self, replica, tail):
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
        loaded = self.snapshots.load(replica)
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
        caught_up = self.catch_up(replica, tail)
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
        if len(encode_entry(entry)) > MOST_ENTRY_BYTES:
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

    def truncate_before(self, snapshot):
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
