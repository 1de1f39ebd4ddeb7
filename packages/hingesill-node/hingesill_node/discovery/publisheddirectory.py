"""A node's directory, published within the node and to its followers."""

import eventlet

from hingesill_core.discovery.directory import Directory
from hingesill_node.discovery.feed import Feed
from hingesill_node.telemetry.counters import Counters
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["PublishedDirectory"]


class PublishedDirectory:
    """Applies updates of the store, a relay or another node, and publishes them.

    Parameters
    ----------
    publish : callable
        Called with the directory after each change.
    clock : callable
        Monotonic seconds.
    counters : Counters or None
        Counters, of which ``store_restores`` is increased.

    Attributes
    ----------
    directory : Directory
        The directory.
    feed : Feed
        Feed for this node's followers.
    """

    def __init__(self, publish, clock, counters=None):
        self.publish = publish
        self.clock = clock
        self.counters = counters or Counters()
        self.directory = Directory()
        self.feed = Feed(self.directory, clock)
        self._published = 0

    def apply(self, method, content):
        """Apply a Snapshot or Changes to the directory; return the method's result.

        Parameters
        ----------
        method : callable
            The directory's method for the content.
        content : Snapshot or Changes
            The received content.
        """
        known = self.directory.position
        is_restored = self.directory.is_from_later_era(content.position)
        was_applied = method(content, self.clock())
        if is_restored:
            self._record_restore(known, content)
        return was_applied

    def _record_restore(self, known, content):
        self.counters.add("store_restores", "")
        log_event(
            Event.STORE_RESTORED,
            held=str(known),
            told=str(content.position),
            version_told=get_version(content.declared),
            version_kept=get_version(self.directory.declared),
            doubted=self.directory.count_deferred(),
        )

    def publish_changes(self):
        """Publish the directory if it has changed; schedule deferred updates."""
        if self.directory.generation != self._published:
            self._published = self.directory.generation
            self.publish(self.directory)
            self.feed.publish()
        due_time = self.directory.get_next_due_time()
        if due_time is not None:
            delay = max(0.0, due_time - self.clock())
            eventlet.spawn_after(delay, self._apply_due_updates)

    def _apply_due_updates(self):
        for instance in self.directory.apply_due_updates(self.clock()):
            log_event(Event.ENDPOINT_GONE, endpoint=instance, cause="missing")
        self.publish_changes()


def get_version(declared):
    """Return a declaration's version, None without one."""
    return None if declared is None else declared.version
