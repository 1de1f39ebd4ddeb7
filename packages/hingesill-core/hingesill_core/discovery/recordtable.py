"""Known records of one kind, and store updates that are not applied yet."""

from msgspec import Struct, field

__all__ = ["DeferredUpdate", "RecordTable", "RemovedRecord"]

# A store restored from a copy brings back records that were removed after the copy was
# made. A copy is some seconds old, and the store's history spans 20 s.
MAX_COPY_AGE_SECONDS = 60.0
# Removed records that are remembered, to bound memory; twice the endpoints of a large
# fleet.
MAX_REMOVED_RECORDS = 60_000


class DeferredUpdate(Struct, frozen=True):
    """An update of the store that is not applied yet.

    Parameters
    ----------
    record : object
        The record; None for a removal.
    apply_at : float
        When it is applied unless a later update replaces it, in seconds of the node's
        clock.
    """

    record: object
    apply_at: float


class RemovedRecord(Struct, frozen=True):
    """A record that was removed, with the time of its removal."""

    record: object
    removed_at: float


class RecordTable(Struct):
    """Records of one kind by name.

    Attributes
    ----------
    records : dict
        The known records.
    deferred : dict
        DeferredUpdate by name.
    removed : dict
        RemovedRecord by name, of the last minute.
    generation : int
        Grows with each change of the records.
    deferral_generation : int
        Grows when a deferral begins or ends.
    """

    records: dict = field(default_factory=dict)
    deferred: dict = field(default_factory=dict)
    removed: dict = field(default_factory=dict)
    generation: int = 0
    deferral_generation: int = 0

    def update(self, name, record, apply_at, now, is_written=False, is_restored=False):
        """Apply or defer an update of the store.

        Parameters
        ----------
        name : str
            The record's name.
        record : object
            The record; None for a removal.
        apply_at : float or None
            When to apply the update; None to apply it now.
        now : float
            Seconds of the node's clock.
        is_written : bool
            The record has just been written, so a deferred update of the same content
            is applied. A full read only repeats earlier content and leaves it deferred.
        is_restored : bool
            The store was just restored from an older copy: deferrals start again.
        """
        deferred = self.deferred.get(name)
        is_repeated = (
            deferred is not None and deferred.record == record and not is_written
        )
        if apply_at is None and not is_repeated:
            self._cancel_deferred(name)
            self._set(name, record, now)
        elif apply_at is not None:
            if would_extend_deferral(deferred, record) and not is_restored:
                apply_at = min(apply_at, deferred.apply_at)
            self.deferral_generation += deferred is None
            self.deferred[name] = DeferredUpdate(record, apply_at)

    def _cancel_deferred(self, name):
        self.deferral_generation += self.deferred.pop(name, None) is not None

    def _set(self, name, record, now):
        if record is None:
            self._remove(name, now)
            return
        self.removed.pop(name, None)
        # An equal record keeps the known object: changes are found by identity.
        if self.records.get(name) != record:
            self.records[name] = record
            self.generation += 1

    def _remove(self, name, now):
        record = self.records.pop(name, None)
        if record is None:
            return
        self.generation += 1
        self.removed[name] = RemovedRecord(record, now)
        self._prune_removed(now)

    def _prune_removed(self, now):
        """Drop removed records that are too old, in order of removal."""
        while self.removed:
            oldest = next(iter(self.removed))
            is_expired = now - self.removed[oldest].removed_at > MAX_COPY_AGE_SECONDS
            if not is_expired and len(self.removed) <= MAX_REMOVED_RECORDS:
                return
            del self.removed[oldest]

    def find_removed(self, name, now):
        """Return the record of a name that was removed in the last minute, or None."""
        removed = self.removed.get(name)
        if removed is None or now - removed.removed_at > MAX_COPY_AGE_SECONDS:
            return None
        return removed.record

    def apply_due_updates(self, now):
        """Apply the deferred updates that are due; return the names removed."""
        due = {name: d.record for name, d in self.deferred.items() if d.apply_at <= now}
        for name, record in due.items():
            self._cancel_deferred(name)
            self._set(name, record, now)
        return [name for name, record in due.items() if record is None]

    def get_next_due_time(self):
        """Return when the next deferred update is due, or None."""
        return min(
            (deferred.apply_at for deferred in self.deferred.values()), default=None
        )

    def list_unconfirmed(self):
        """Return the names of known records whose removal is deferred, sorted."""
        return tuple(sorted(n for n, d in self.deferred.items() if d.record is None))


def would_extend_deferral(deferred, record):
    """Return whether a new deferral would postpone a deferred record."""
    return deferred is not None and deferred.record is not None and record is not None
