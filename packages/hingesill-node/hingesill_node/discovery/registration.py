"""Registration of this node in the store under a lease."""

import random
import time

import eventlet

from hingesill_core.store import LeaseGranted, LeaseLost, StoreFailure
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Registration"]

# Time to live of the entry's lease. It outlasts an outage of the store and a restart of
# the process; a node that stopped permanently is counted until its lease ends.
LEASE_SECONDS = 120.0
RENEW_SECONDS = 30.0
RETRY_SECONDS = 2.0
# Interval of checks whether the entry is listed; a check makes no call to the store.
ENTRY_CHECK_SECONDS = 1.0
# Time within which a new entry is listed in the directory, in seconds.
MAX_LISTING_SECONDS = 4.0


class Registration:
    """Registers the node and renews its lease.

    Parameters
    ----------
    source : DirectorySource
        The store.
    node : NodeRecord
        The node's entry.
    is_listed : callable
        Returns whether the directory lists an entry. The entry may be removed when the
        lease of a previous process on this VM ends.
    is_store_up : callable
        Returns whether the store answered the last call. While it does not, the entry
        is neither made nor renewed: a lease of 120 s outlasts the pause, and a node
        that starts during an outage does not call the store every two seconds.
    get_era : callable
        Returns the store's era, as far as is known. The ID of a lease of an earlier era
        may have been assigned to another node, so the lease is not used again. If the
        entry is listed, its lease is looked up when the renewal is due, else the node
        registers again.
    get_registration_spread_seconds : callable
        Returns the seconds over which all nodes spread these registrations, to stay
        within the store's write rate.
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
        get_registration_spread_seconds=lambda: 0.0,
        clock=time.monotonic,
    ):
        self.source = source
        self.node = node
        self.is_listed = is_listed
        self.is_store_up = is_store_up
        self.get_era = get_era
        self.get_registration_spread_seconds = get_registration_spread_seconds
        self.clock = clock
        self.lease = None
        self._era = 0
        self._can_resume = True
        self.next_call_at = float("-inf")
        self.registered_at = float("-inf")

    def run(self):
        """Keep the node registered until the process ends."""
        while True:
            if self._is_due():
                self._step()
            eventlet.sleep(self._get_pause())

    def _get_pause(self):
        """Return the seconds until the next check whether a call is due."""
        interval = ENTRY_CHECK_SECONDS * random.uniform(0.7, 1.3)
        until_call = self.next_call_at - self.clock()
        return until_call if 0 < until_call < interval else interval

    def _resume(self):
        """Resume the entry of a previous process on this VM.

        Returns
        -------
        LeaseGranted, LeaseLost or StoreFailure
        """
        answer = self.source.resume(self.node)
        self._can_resume = isinstance(answer, StoreFailure)
        if isinstance(answer, LeaseGranted):
            self.registered_at = self.clock()
        return answer

    def _is_due(self):
        """Return whether a call to the store is due: to register, renew or retry."""
        if not self.is_store_up():
            return False
        self._check_era()
        now = self.clock()
        if self.lease is not None and not self.is_listed(self.node):
            return now - self.registered_at > MAX_LISTING_SECONDS
        return now >= self.next_call_at

    def _check_era(self):
        """Drop the lease if the store has been restored from an older copy."""
        era, known = self.get_era(), self._era
        self._era = max(era, known)
        # The first known era is not a restore.
        if not 0 < known < era:
            return
        self.lease = None
        self._can_resume = self.is_listed(self.node)
        if not self._can_resume:
            spread = self.get_registration_spread_seconds() * random.random()
            self.next_call_at = self.clock() + spread
        log_event(Event.NODE_LEASE_DROPPED, era=era, listed=self._can_resume)

    def _record_answer(self, answer):
        """Record the store's answer, and set the time of the next call."""
        was_held = self.lease is not None
        if isinstance(answer, LeaseGranted):
            self.lease = answer.lease
        elif isinstance(answer, LeaseLost):
            self.lease = None
        pause = RENEW_SECONDS if isinstance(answer, LeaseGranted) else RETRY_SECONDS
        self.next_call_at = self.clock() + pause * random.uniform(0.7, 1.3)
        if was_held != (self.lease is not None):
            event = Event.NODE_ENTERED if self.lease else Event.NODE_ENTRY_LOST
            log_event(event, detail=str(answer))

    def _step(self):
        """Resume, register or renew."""
        if self._can_resume:
            answer = self._resume()
            if not isinstance(answer, LeaseLost):
                self._record_answer(answer)
                return
        if self.lease is None or not self.is_listed(self.node):
            self.registered_at = self.clock()
            self._record_answer(self.source.enter(self.node, LEASE_SECONDS))
        else:
            self._record_answer(self.source.renew(self.lease))
