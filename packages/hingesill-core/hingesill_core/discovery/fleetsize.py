"""The number of nodes that share the fleet's budgets."""

from collections import deque

from msgspec import Struct, field

__all__ = ["FleetSize"]

# Entries may lapse all at once while the store is unavailable, although their nodes
# still run. Each node must not use the whole budget then. The window spans an outage of
# some seconds and the time in which nodes register again, with a margin.
FLEET_SIZE_WINDOW_SECONDS = 30.0


class FleetSize(Struct):
    """The largest number of registered nodes within a sliding window.

    Attributes
    ----------
    counts : deque of tuple
        Time and count in order of time, with counts that decrease: a later and larger
        count replaces those before it.
    """

    counts: deque = field(default_factory=deque)

    def record(self, count, now):
        """Record a count; return the size of the fleet.

        Parameters
        ----------
        count : int
            Nodes that are registered now.
        now : float
            Seconds of the node's monotonic clock.
        """
        while self.counts and self.counts[0][0] < now - FLEET_SIZE_WINDOW_SECONDS:
            self.counts.popleft()
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((now, count))
        return max(1, self.counts[0][1])
