"""How many nodes share the fleet's budgets, counted with care."""

from collections import deque

from msgspec import Struct, field

__all__ = ["FleetSize"]

# Entries may lapse all at once while the store is away, and their nodes live on.
# Each node must not take the whole budget then: an outage of some seconds and the time
# in which nodes enter themselves again, with room.
HOLD_SECONDS = 30.0


class FleetSize(Struct):
    """The largest count of the last while.

    Attributes
    ----------
    counts : deque of tuple
        Time and count, the largest first; a later and larger one replaces others.
    """

    counts: deque = field(default_factory=deque)

    def note(self, count, now):
        """Take a count; return the size to reckon with.

        Parameters
        ----------
        count : int
            Nodes that are entered now.
        now : float
            Seconds of the node's clock; they never go back.
        """
        while self.counts and self.counts[0][0] < now - HOLD_SECONDS:
            self.counts.popleft()
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((now, count))
        return max(1, self.counts[0][1])
