"""Requests that a node may let through without a message to other nodes."""

from collections import deque

__all__ = ["Allowance", "compute_allowance", "compute_extra"]

# Share of the tolerance that nodes use without messages. The remainder covers tokens
# that nodes hold at the beginning of a window and what an unconfirmed coordinator
# grants.
ALLOWANCE_SHARE = 0.35
# Requests per node and window beyond which a node asks for a lease anyway.
MAX_PER_NODE = 16


def compute_extra(organisation, tolerance):
    """Return the requests beyond the quota that may arrive in a window."""
    quota = tolerance.window_seconds * organisation.rate + organisation.burst
    return tolerance.overshoot * quota + tolerance.slack


def compute_allowance(extra, rank, nodes):
    """Return the requests that a node may let through in a window on its own.

    Parameters
    ----------
    extra : float
        Requests beyond the quota that may arrive in a window, see `compute_extra`.
    rank : int
        Position of this node in an order that is the same at all nodes.
    nodes : int
        Number of nodes.

    Notes
    -----
    Whole requests are allotted by rank. With one request for each node, 107 nodes
    could exceed the tolerance of a small organisation in one moment.
    """
    each, more = divmod(int(ALLOWANCE_SHARE * extra), max(1, nodes))
    return min(MAX_PER_NODE, each + (rank < more))


class Allowance:
    """Counts the requests that were let through in a sliding window.

    Notes
    -----
    A token bucket would let through its capacity and what accrues within the window.
    """

    def __init__(self):
        self._times = deque()

    def admit(self, count, window_seconds, now):
        """Return whether one more request may be let through, and count it."""
        while self._times and now - self._times[0] > window_seconds:
            self._times.popleft()
        if len(self._times) >= count:
            return False
        self._times.append(now)
        return True
