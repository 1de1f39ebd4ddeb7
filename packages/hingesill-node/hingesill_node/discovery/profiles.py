"""Keeps what nodes have learnt in the store, for nodes that start."""

import random
import time
from math import exp

import eventlet

from hingesill_core.routing.latencycurves import compute_concurrency_limits
from hingesill_core.routing.profile import Profile
from hingesill_core.store import StoreFailure
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ProfileStore"]

# How often it is looked at whether there is something to keep; this costs no call.
REVIEW_SECONDS = 1.0
# Between two writes of one node. Each write wakes all relays, and few are worth it once
# the levels are known; a fleet that started with nothing needs them within a burst.
PAUSE_SECONDS = 1.5


class ProfileStore:
    """Writes the profile when this node has learnt more.

    Notes
    -----
    A node that starts with nothing fills endpoints beyond the level at which they
    slow down until it has learnt better; when all start at once, that is when a
    backlog of callers returns.

    Parameters
    ----------
    source : DirectorySource
        The store.
    directory : Directory
        Holds what was kept last.
    runners : RunnerTable
        The services with what is known of them at this node.
    may_write : callable
        Tells whether this node keeps the profile; a few nodes suffice.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, source, directory, runners, may_write, clock=time.monotonic):
        self.source = source
        self.directory = directory
        self.runners = runners
        self.may_write = may_write
        self.clock = clock
        self._write_from = float("-inf")

    def run(self):
        """Work until the process ends."""
        while True:
            eventlet.sleep(REVIEW_SECONDS * random.uniform(0.7, 1.3))
            if self.is_due():
                self.review()

    def is_due(self):
        """Tell whether this node may write now."""
        return self.may_write() and self.clock() >= self._write_from

    def review(self):
        """Write the profile if this node has learnt enough that others don't know."""
        news = self.runners.list_unpublished()
        if not news:
            return
        self._write_from = self.clock() + PAUSE_SECONDS
        learnt = self.runners.build_profiles(news)
        answer = self.source.save(Profile({**self._list_held(), **learnt}))
        if isinstance(answer, StoreFailure):
            log_event(Event.PROFILE_NOT_KEPT, detail=answer.reason)
            return
        self.runners.mark_published(learnt)
        log_event(
            Event.PROFILE_KEPT,
            usable_slots={
                name: compute_concurrency_limits(learnt[name].levels) for name in news
            },
            levels={name: describe_levels(learnt[name]) for name in news},
        )

    def _list_held(self):
        """Return what is kept of the services that are declared, by name."""
        declared = self.directory.declared
        names = {service.name for service in declared.services} if declared else set()
        held = self.directory.profile or Profile()
        return {name: held.services[name] for name in held.services.keys() & names}


def describe_levels(profile):
    """Return each level with its answers and how many times longer they take."""
    return [
        f"{told.level}/{told.slots} {told.answers:.0f} x{exp(told.mean):.2f}"
        for told in profile.levels
    ]
