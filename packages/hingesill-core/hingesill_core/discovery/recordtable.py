"""Records that are believed, and what the store says against some of them."""

from msgspec import Struct, field

__all__ = ["RecordTable", "DeferredUpdate", "Ended"]

# A copy of the store that is older than that brings back what ended before: a copy is
# some seconds old, and the store's history spans 20 s.
COPY_SECONDS = 60.0
# Of what ended, as a guard of memory; twice as many as the endpoints of a large fleet.
MOST_ENDED = 60_000


class DeferredUpdate(Struct, frozen=True):
    """A word of the store that is not believed yet.

    Parameters
    ----------
    told : object
        The record; None if the store has none.
    until : float
        It is believed then if it still stands, in seconds of the node's clock.
    """

    told: object
    until: float


class Ended(Struct, frozen=True):
    """A record that is no longer believed, and when that began."""

    record: object
    at: float


class RecordTable(Struct):
    """Records of one kind by name.

    Attributes
    ----------
    records : dict
        What is believed.
    doubts : dict
        Doubt by name.
    ended : dict
        Ended by name, of the last minute.
    generation : int
        Grows with each change of the records.
    doubted : int
        Grows with each doubt that begins or ends.
    """

    records: dict = field(default_factory=dict)
    doubts: dict = field(default_factory=dict)
    ended: dict = field(default_factory=dict)
    generation: int = 0
    doubted: int = 0

    def tell(self, name, told, until, now, is_written=False, is_restored=False):
        """Take the store's word of one name.

        Parameters
        ----------
        name : str
            Of whom.
        told : object
            The record; None if there is none.
        until : float or None
            The word is doubted so long; None to believe it now.
        now : float
            Seconds of the node's clock.
        is_written : bool
            It has just been written, so what is doubted for its age is believed. A
            whole read repeats what was read before.
        is_restored : bool
            The store has just come back from an older copy: doubts begin anew.
        """
        doubt = self.doubts.get(name)
        is_repeated = doubt is not None and doubt.told == told and not is_written
        if until is None and not is_repeated:
            self._drop_doubt(name)
            self._believe(name, told, now)
        elif until is not None:
            if is_put_off(doubt, told) and not is_restored:
                until = min(until, doubt.until)
            self.doubted += doubt is None
            self.doubts[name] = DeferredUpdate(told, until)

    def _drop_doubt(self, name):
        self.doubted += self.doubts.pop(name, None) is not None

    def _believe(self, name, record, now):
        if record is None:
            self._end(name, now)
            return
        self.ended.pop(name, None)
        # The known one stays where nothing has changed: what changed is found by
        # identity.
        if self.records.get(name) != record:
            self.records[name] = record
            self.generation += 1

    def _end(self, name, now):
        record = self.records.pop(name, None)
        if record is None:
            return
        self.generation += 1
        self.ended[name] = Ended(record, now)
        self._forget_ended(now)

    def _forget_ended(self, now):
        """Forget what ended too long ago to matter, the first of the dict first."""
        while self.ended:
            first = next(iter(self.ended))
            is_late = now - self.ended[first].at > COPY_SECONDS
            if not is_late and len(self.ended) <= MOST_ENDED:
                return
            del self.ended[first]

    def find_removed(self, name, now):
        """Return the record of a name that ended lately, or None."""
        ended = self.ended.get(name)
        if ended is None or now - ended.at > COPY_SECONDS:
            return None
        return ended.record

    def expire(self, now):
        """Believe the words whose time is over; return the names that are gone."""
        due = {name: d.told for name, d in self.doubts.items() if d.until <= now}
        for name, told in due.items():
            self._drop_doubt(name)
            self._believe(name, told, now)
        return [name for name, told in due.items() if told is None]

    def get_next_expiry(self):
        """Return when `expire` has something to do, or None."""
        return min((doubt.until for doubt in self.doubts.values()), default=None)

    def list_missing(self):
        """Return the names that are believed though the store has none, sorted."""
        return tuple(sorted(n for n, d in self.doubts.items() if d.told is None))


def is_put_off(doubt, told):
    """Tell whether a doubt of a record would be made longer by another word of it."""
    return doubt is not None and doubt.told is not None and told is not None
