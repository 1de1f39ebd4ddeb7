"""Keeps in the store which requests are held back, for nodes that start."""

import random

import eventlet

from hingesill_core.crashes.guard import SOURCE_STORE
from hingesill_core.crashes.quarantine import MAX_QUARANTINE_SECONDS, QuarantinedRequest
from hingesill_core.discovery.records import QuarantineRecord
from hingesill_core.store import StoreFailure
from hingesill_node.clocks import read_day_time
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["QuarantineStore"]

# How often it is looked at whether there is something to write; this costs no call.
REVIEW_SECONDS = 0.25
# A relay writes at once, any other node only if that did not happen: it may be cut from
# all relays. The hold must be known to nodes that are cut from all others but reach the
# store within 3 s, and takes up to 1.5 s from the store to them.
OTHERS_WAIT_SECONDS = 1.0
OTHERS_SPREAD_SECONDS = 1.0
# Between two tries at the same request: what was written is listed within a second.
RETRY_SECONDS = 2.0
# A hold that is over so soon is not worth a call.
LEAST_SECONDS = 5.0


class QuarantineStore:
    """Writes holds of this node into the store, and takes those of others from there.

    Parameters
    ----------
    source : DirectorySource
        The store.
    directory : Directory
        Lists what is kept.
    guard : RequestGuard
        What is held back here.
    may_write_first : callable
        Tells whether this node is one of the few that write at once.
    is_store_up : callable
        Tells whether the store answered when it was last called.
    day_clock : callable
        Unix seconds, by which a node that starts knows how long a hold still lasts.

    Notes
    -----
    Two calls a hold, by one node. Gossip tells the nodes that run; the store those that
    start when all were stopped, or that no node reaches.
    """

    def __init__(
        self,
        source,
        directory,
        guard,
        may_write_first,
        is_store_up,
        day_clock=read_day_time,
    ):
        self.source = source
        self.directory = directory
        self.guard = guard
        self.may_write_first = may_write_first
        self.is_store_up = is_store_up
        self.day_clock = day_clock
        self._write_from = {}
        self._remove_from = {}

    def run(self):
        """Work until the process ends."""
        while True:
            eventlet.sleep(REVIEW_SECONDS * random.uniform(0.7, 1.3))
            if not self.guard.decisions.is_idle and self.is_store_up():
                self.review()

    def review(self):
        """Write what is held back here and not listed, if it is this node's turn."""
        now = self.guard.clock()
        self._remove_cleared(now)
        held = self.guard.decisions.quarantine.list_long(now)
        self._write_from = {n: t for n, t in self._write_from.items() if n in held}
        for fingerprint, request in held.items():
            if self._is_due(fingerprint, request, now):
                self._write_from[fingerprint] = now + RETRY_SECONDS
                self._write(fingerprint, request, now)

    def _is_due(self, fingerprint, request, now):
        """Tell whether a hold is to be written now by this node."""
        listed = self.directory.held.get(fingerprint)
        if listed is not None and listed.times >= request.times:
            return False
        if request.until - now < LEAST_SECONDS:
            return False
        if fingerprint not in self._write_from:
            wait = 0.0
            if not self.may_write_first():
                wait = OTHERS_WAIT_SECONDS + OTHERS_SPREAD_SECONDS * random.random()
            self._write_from[fingerprint] = now + wait
        return now >= self._write_from[fingerprint]

    def _write(self, fingerprint, request, now):
        day = self.day_clock() - now
        record = QuarantineRecord(
            fingerprint, day + request.since, day + request.until, request.times
        )
        note_kept(fingerprint, self.source.save_quarantine(record, request.until - now))

    def _remove_cleared(self, now):
        """Let go in the store what was answered since it was held back."""
        if not self.may_write_first():
            return
        held = self.directory.held
        self._remove_from = {n: t for n, t in self._remove_from.items() if n in held}
        for fingerprint in held:
            is_tried = now < self._remove_from.get(fingerprint, now)
            if not is_tried and self.guard.decisions.is_cleared(fingerprint):
                self._remove_from[fingerprint] = now + RETRY_SECONDS
                note_kept(fingerprint, self.source.delete_quarantine(fingerprint))

    def take(self, held):
        """Hold back what the store lists.

        Parameters
        ----------
        held : dict
            QuarantineRecord by fingerprint. What is missing is not let go: its lease
            may have run out with the store, and each hold ends by itself.
        """
        now = self.guard.clock()
        day = self.day_clock() - now
        for fingerprint, record in held.items():
            until = min(record.until - day, now + MAX_QUARANTINE_SECONDS)
            if until > now:
                request = QuarantinedRequest(record.since - day, until, record.times)
                self.guard.decisions.adopt(fingerprint, request, SOURCE_STORE)


def note_kept(fingerprint, answer):
    """Write a line if the store did not take a change of what it keeps."""
    if isinstance(answer, StoreFailure):
        log_event(Event.HOLD_NOT_KEPT, fingerprint=fingerprint, detail=answer.reason)
