"""Keeps this node's own entry in the store, by lease."""

import random

import eventlet

from hingesill_core.store import Held
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Registration"]

# Long enough that renewals cost little, short enough that nodes which ended
# without a word are not counted for long.
LEASE_SECONDS = 20.0
RENEW_SECONDS = 6.0
RETRY_SECONDS = 1.0


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
    """

    def __init__(self, source, node, is_listed):
        self.source = source
        self.node = node
        self.is_listed = is_listed
        self.lease = None

    def run(self):
        """Work until the process ends."""
        while True:
            held = self._step()
            pause = RENEW_SECONDS if held else RETRY_SECONDS
            eventlet.sleep(pause * random.uniform(0.7, 1.3))

    def _step(self):
        """Enter or renew; return whether the lease is held."""
        if self.lease is None or not self.is_listed(self.node):
            answer = self.source.enter(self.node, LEASE_SECONDS)
        else:
            answer = self.source.renew(self.lease)
        was_held = self.lease is not None
        self.lease = answer.lease if isinstance(answer, Held) else None
        if was_held != (self.lease is not None):
            event = Event.NODE_ENTERED if self.lease else Event.NODE_ENTRY_LOST
            log_event(event, detail=str(answer))
        return self.lease is not None

    def leave(self):
        """End the lease in a planned stop."""
        if self.lease is not None:
            self.source.leave(self.lease)
            self.lease = None
