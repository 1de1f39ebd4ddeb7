"""Saves the nodes' observations of services in the store, for starting nodes."""

import random
import time
from math import exp

import eventlet

from hingesill_core.routing.latencycurves import compute_concurrency_limits
from hingesill_core.routing.profile import Profile
from hingesill_core.store import StoreFailure
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ProfileStore"]

# Interval of checks for unpublished observations; a check makes no call to the store.
REVIEW_SECONDS = 1.0
# Minimum time between two writes of one node, as each write wakes all relays. Few
# writes are needed once the concurrency levels are known, but a fleet that started
# without observations needs them within a burst.
MIN_WRITE_INTERVAL_SECONDS = 1.5


class ProfileStore:
    """Writes the profile when this node has enough unpublished observations.

    Notes
    -----
    A node that starts without observations loads endpoints beyond the concurrency
    level at which they slow down, until it has made its own. If all nodes start at
    once, a backlog of callers returns at that time.

    Parameters
    ----------
    source : DirectorySource
        The store.
    directory : Directory
        Holds the profile that was saved last.
    runners : RunnerTable
        The services with this node's observations.
    may_write : callable
        Returns whether this node writes the profile; a few nodes suffice.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, source, directory, runners, may_write, clock=time.monotonic):
        self.source = source
        self.directory = directory
        self.runners = runners
        self.may_write = may_write
        self.clock = clock
        self._next_write_at = float("-inf")

    def run(self):
        """Review observations repeatedly until the process ends."""
        while True:
            eventlet.sleep(REVIEW_SECONDS * random.uniform(0.7, 1.3))
            if self.is_due():
                self.review()

    def is_due(self):
        """Return whether this node may write now."""
        return self.may_write() and self.clock() >= self._next_write_at

    def review(self):
        """Write the profile if this node has enough unpublished observations."""
        unpublished = self.runners.list_unpublished()
        if not unpublished:
            return
        self._next_write_at = self.clock() + MIN_WRITE_INTERVAL_SECONDS
        profiles = self.runners.build_profiles(unpublished)
        answer = self.source.save(Profile({**self._list_stored(), **profiles}))
        if isinstance(answer, StoreFailure):
            log_event(Event.PROFILE_NOT_KEPT, detail=answer.reason)
            return
        self.runners.mark_published(profiles)
        log_event(
            Event.PROFILE_KEPT,
            usable_slots={
                name: compute_concurrency_limits(profiles[name].levels)
                for name in unpublished
            },
            levels={name: describe_levels(profiles[name]) for name in unpublished},
        )

    def _list_stored(self):
        """Return the stored profiles of declared services by name."""
        declared = self.directory.declared
        names = {service.name for service in declared.services} if declared else set()
        stored = self.directory.profile or Profile()
        return {name: stored.services[name] for name in stored.services.keys() & names}


def describe_levels(profile):
    """Return each level with its responses and their latency relative to baseline."""
    return [
        f"{entry.level}/{entry.slots} {entry.answers:.0f} x{exp(entry.mean):.2f}"
        for entry in profile.levels
    ]
