"""Lines and counts of endpoints that ask for a rest or are leaving."""

import eventlet

from hingesill_node.telemetry.events import Event, log_event

__all__ = ["AvailabilityLog"]

# Shortest rest with a line in the log, in seconds.
SHORTEST_LOGGED = 0.1


class AvailabilityLog:
    """Tells when endpoints stop taking requests of this node, and take them again.

    Parameters
    ----------
    clock : callable
        Seconds, by which rests pass.

    Attributes
    ----------
    counters : Counters or None
        Gets ``availability``.
    """

    def __init__(self, clock):
        self.clock = clock
        self.counters = None

    def note(self, change):
        """Take an AvailabilityChange."""
        is_rest = change.backoff is not None
        if self.counters is not None:
            kind = "rest" if is_rest else "leaving"
            self.counters.add("availability", change.service, kind)
        if not is_rest:
            self._write(Event.ENDPOINT_LEAVING, change)
        elif change.backoff >= SHORTEST_LOGGED:
            self._write(Event.REST_BEGUN, change, seconds=change.backoff)
            self._await_end(change)

    def _await_end(self, change):
        left = change.availability.backoff_until - self.clock()
        eventlet.spawn_after(max(0.0, left), self._look_for_end, change)

    def _look_for_end(self, change):
        """Write that a rest is over, unless it was made longer."""
        if change.availability.is_backing_off(self.clock()):
            self._await_end(change)
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
