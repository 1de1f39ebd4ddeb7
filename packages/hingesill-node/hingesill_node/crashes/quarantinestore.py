"""Keeps confirmed quarantines in the store, for nodes that start later."""

import random

import eventlet

from hingesill_core.crashes.guard import SOURCE_STORE
from hingesill_core.crashes.quarantine import MAX_QUARANTINE_SECONDS, QuarantinedRequest
from hingesill_core.discovery.records import QuarantineRecord
from hingesill_core.store import StoreFailure
from hingesill_node.clocks import read_day_time
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["QuarantineStore"]

# Interval of the checks whether a record must be written; a check makes no store call.
CHECK_INTERVAL_SECONDS = 0.25
# Relays write at once; other nodes write after this delay, plus a random part, if no
# relay has, as they may be cut off from all relays. Nodes that are cut off from all
# others but reach the store must know a quarantine within 3 s, of which it takes up to
# 1.5 s to get from the store to them.
NON_RELAY_DELAY_SECONDS = 1.0
NON_RELAY_JITTER_SECONDS = 1.0
# Interval between two writes of the same record: a written record is listed within a
# second.
RETRY_SECONDS = 2.0
# A quarantine with less time left is not worth a store call.
MIN_REMAINING_SECONDS = 5.0


class QuarantineStore:
    """Writes this node's quarantines to the store and applies those of other nodes.

    Parameters
    ----------
    source : DirectorySource
        The store.
    directory : Directory
        Lists the stored records.
    guard : RequestGuard
        Has the quarantines of this node.
    may_write_first : callable
        Returns whether this node is one of the few that write at once.
    is_store_up : callable
        Returns whether the last store call was answered.
    day_clock : callable
        Returns Unix seconds, from which a starting node computes how long a quarantine
        still lasts.

    Notes
    -----
    A quarantine costs two store calls, both by one node. Gossip informs running nodes;
    the store informs nodes that start after all were stopped, or that no other node
    reaches.
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
        self._next_write_at = {}
        self._next_delete_at = {}

    def run(self):
        """Write and delete records until the process ends."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_SECONDS * random.uniform(0.7, 1.3))
            if not self.guard.decisions.is_idle and self.is_store_up():
                self.synchronize()

    def synchronize(self):
        """Delete cleared records and write missing ones, if this node is due."""
        now = self.guard.clock()
        self._delete_cleared(now)
        active = self.guard.decisions.quarantine.list_active_confirmed(now)
        self._next_write_at = {
            n: t for n, t in self._next_write_at.items() if n in active
        }
        for fingerprint, request in active.items():
            if self._is_due(fingerprint, request, now):
                self._next_write_at[fingerprint] = now + RETRY_SECONDS
                self._write(fingerprint, request, now)

    def _is_due(self, fingerprint, request, now):
        """Return whether this node has to write a quarantine now."""
        listed = self.directory.held.get(fingerprint)
        if listed is not None and listed.times >= request.times:
            return False
        if request.until - now < MIN_REMAINING_SECONDS:
            return False
        if fingerprint not in self._next_write_at:
            delay = 0.0
            if not self.may_write_first():
                delay = (
                    NON_RELAY_DELAY_SECONDS + NON_RELAY_JITTER_SECONDS * random.random()
                )
            self._next_write_at[fingerprint] = now + delay
        return now >= self._next_write_at[fingerprint]

    def _write(self, fingerprint, request, now):
        day_offset = self.day_clock() - now
        record = QuarantineRecord(
            fingerprint,
            day_offset + request.since,
            day_offset + request.until,
            request.times,
        )
        log_failure(
            fingerprint, self.source.save_quarantine(record, request.until - now)
        )

    def _delete_cleared(self, now):
        """Delete the stored quarantines of requests that were answered since."""
        if not self.may_write_first():
            return
        listed = self.directory.held
        self._next_delete_at = {
            n: t for n, t in self._next_delete_at.items() if n in listed
        }
        for fingerprint in listed:
            is_tried = now < self._next_delete_at.get(fingerprint, now)
            if not is_tried and self.guard.decisions.is_cleared(fingerprint):
                self._next_delete_at[fingerprint] = now + RETRY_SECONDS
                log_failure(fingerprint, self.source.delete_quarantine(fingerprint))

    def take(self, listed):
        """Apply the quarantines that the store lists.

        Parameters
        ----------
        listed : dict
            QuarantineRecord by fingerprint. A missing record releases nothing: its
            lease may have been lost with the store, and each quarantine expires anyway.
        """
        now = self.guard.clock()
        day_offset = self.day_clock() - now
        for fingerprint, record in listed.items():
            until = min(record.until - day_offset, now + MAX_QUARANTINE_SECONDS)
            if until > now:
                request = QuarantinedRequest(
                    record.since - day_offset, until, record.times
                )
                self.guard.decisions.apply_quarantine(
                    fingerprint, request, SOURCE_STORE
                )


def log_failure(fingerprint, answer):
    """Log that the store did not write or delete a record."""
    if isinstance(answer, StoreFailure):
        log_event(Event.HOLD_NOT_KEPT, fingerprint=fingerprint, detail=answer.reason)
