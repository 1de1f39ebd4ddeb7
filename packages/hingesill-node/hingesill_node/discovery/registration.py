"""Keeps this node's own entry in the store, by lease."""

import random
import time

import eventlet

from hingesill_core.store import LeaseGranted, LeaseLost, StoreFailure
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Registration"]

# Time to live of the entry's lease, in seconds. It outlasts an outage and a restart of
# the process; a node that ended for good is counted until it runs out.
LEASE_SECONDS = 120.0
RENEW_SECONDS = 30.0
RETRY_SECONDS = 2.0
# How often it is looked at whether the entry is still there; this costs no call.
LOOK_SECONDS = 1.0
# Time until a new entry is in the directory, in seconds.
LISTED_SECONDS = 4.0


class Registration:
    """Enters the node and renews its lease.

    Parameters
    ----------
    source : DirectorySource
        The store.
    node : NodeRecord
        The entry.
    is_listed : callable
        Tells whether the directory holds an entry. One of the process that ran
        here before may take the entry with it when its lease ends.
    is_store_up : callable
        Tells whether the store answered when it was last called; while it does not,
        an entry is neither made nor renewed. A lease of 120 s bears that, and a node
        that starts within an outage does not call again every two seconds.
    get_era : callable
        Returns the store's era, as far as is known. A lease of an earlier one may be
        another node's now; it is not used again. If the entry is listed its lease is
        asked for when it is time to renew it, else the node enters itself anew.
    get_entering_seconds : callable
        Returns the seconds over which all nodes spread that, so that they stay within
        the store's writes.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        source,
        node,
        is_listed,
        is_store_up=lambda: True,
        get_era=lambda: 0,
        get_entering_seconds=lambda: 0.0,
        clock=time.monotonic,
    ):
        self.source = source
        self.node = node
        self.is_listed = is_listed
        self.is_store_up = is_store_up
        self.get_era = get_era
        self.get_entering_seconds = get_entering_seconds
        self.clock = clock
        self.lease = None
        self._era = 0
        self._may_resume = True
        self.call_at = float("-inf")
        self.entered_at = float("-inf")

    def run(self):
        """Work until the process ends."""
        while True:
            if self._is_due():
                self._step()
            eventlet.sleep(self._get_pause())

    def _get_pause(self):
        """Return the seconds until it is looked at again whether a call is due."""
        look = LOOK_SECONDS * random.uniform(0.7, 1.3)
        until_call = self.call_at - self.clock()
        return until_call if 0 < until_call < look else look

    def _resume(self):
        """Go on with the entry of the process that ran here before.

        Returns
        -------
        Held, LeaseLost or StoreFailure
        """
        answer = self.source.resume(self.node)
        self._may_resume = isinstance(answer, StoreFailure)
        if isinstance(answer, LeaseGranted):
            self.entered_at = self.clock()
        return answer

    def _is_due(self):
        """Tell whether the store is to be called: to enter, renew or try again."""
        if not self.is_store_up():
            return False
        self._note_era()
        now = self.clock()
        if self.lease is not None and not self.is_listed(self.node):
            return now - self.entered_at > LISTED_SECONDS
        return now >= self.call_at

    def _note_era(self):
        """Give the lease up if the store has come back from an older copy since."""
        era, known = self.get_era(), self._era
        self._era = max(era, known)
        # The first era that is known is no restore.
        if not 0 < known < era:
            return
        self.lease = None
        self._may_resume = self.is_listed(self.node)
        if not self._may_resume:
            spread = self.get_entering_seconds() * random.random()
            self.call_at = self.clock() + spread
        log_event(Event.NODE_LEASE_DROPPED, era=era, listed=self._may_resume)

    def _note(self, answer):
        """Take the store's answer, and set when to call it again."""
        was_held = self.lease is not None
        if isinstance(answer, LeaseGranted):
            self.lease = answer.lease
        elif isinstance(answer, LeaseLost):
            self.lease = None
        pause = RENEW_SECONDS if isinstance(answer, LeaseGranted) else RETRY_SECONDS
        self.call_at = self.clock() + pause * random.uniform(0.7, 1.3)
        if was_held != (self.lease is not None):
            event = Event.NODE_ENTERED if self.lease else Event.NODE_ENTRY_LOST
            log_event(event, detail=str(answer))

    def _step(self):
        """Resume, enter or renew."""
        if self._may_resume:
            answer = self._resume()
            if not isinstance(answer, LeaseLost):
                self._note(answer)
                return
        if self.lease is None or not self.is_listed(self.node):
            self.entered_at = self.clock()
            self._note(self.source.enter(self.node, LEASE_SECONDS))
        else:
            self._note(self.source.renew(self.lease))
