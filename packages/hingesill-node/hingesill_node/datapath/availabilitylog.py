"""Logging and counting of endpoints that back off or are leaving."""

import eventlet

from hingesill_node.telemetry.events import Event, log_event

__all__ = ["AvailabilityLog"]

# Shorter back-offs are counted but not logged.
MIN_LOGGED_BACKOFF_SECONDS = 0.1


class AvailabilityLog:
    """Logs when endpoints become unavailable to this node and available again.

    Parameters
    ----------
    clock : callable
        Monotonic seconds; back-offs end on this clock.

    Attributes
    ----------
    counters : Counters or None
        Counts ``availability``.
    """

    def __init__(self, clock):
        self.clock = clock
        self.counters = None

    def record(self, change):
        """Count an AvailabilityChange and log it."""
        is_backoff = change.backoff is not None
        if self.counters is not None:
            kind = "rest" if is_backoff else "leaving"
            self.counters.add("availability", change.service, kind)
        if not is_backoff:
            self._write(Event.ENDPOINT_LEAVING, change)
        elif change.backoff >= MIN_LOGGED_BACKOFF_SECONDS:
            self._write(Event.REST_BEGUN, change, seconds=change.backoff)
            self._schedule_end_check(change)

    def _schedule_end_check(self, change):
        remaining = change.availability.backoff_until - self.clock()
        eventlet.spawn_after(max(0.0, remaining), self._check_end, change)

    def _check_end(self, change):
        """Log the end of a back-off, or check again later if it was extended."""
        if change.availability.is_backing_off(self.clock()):
            self._schedule_end_check(change)
        else:
            self._write(Event.REST_ENDED, change)

    def _write(self, event, change, **fields):
        log_event(
            event,
            service=change.service,
            endpoint=change.endpoint,
            born=change.born,
            **fields,
        )
