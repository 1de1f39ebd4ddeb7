"""The open connections of one address, and which of them make room for new ones."""

from heapq import nsmallest

from hingesill_node.datapath.connectionstate import ConnectionPhase, EvictionRank

__all__ = ["ConnectionTable"]

# Share of the connections that are closed at once, as each search looks at all of them.
CLOSED_SHARE = 1 / 32
HOLDING_RANKS = frozenset({EvictionRank.RECEIVING, EvictionRank.STALLED})


class ConnectionTable:
    """The connections of one address, up to a limit.

    Parameters
    ----------
    limit : int
        Maximum number of connections.
    """

    def __init__(self, limit):
        self.limit = limit
        self._states = set()
        self._evicted = 0
        self._batch = max(1, int(limit * CLOSED_SHARE))

    def __iter__(self):
        return iter(list(self._states))

    def __len__(self):
        return len(self._states)

    def add(self, state):
        """Add a connection."""
        self._states.add(state)

    def discard(self, state):
        """Remove a connection that has ended."""
        if state in self._states:
            self._states.discard(state)
            self._evicted -= state.is_evicted

    def has_room(self):
        """Return whether a connection may be added, after closing others for it.

        Notes
        -----
        A connection that is being closed makes room at once, though its descriptor is
        in use a little longer; so only few may be at the same time.
        """
        open_count = len(self._states) - self._evicted
        if open_count >= self.limit and self._evicted < self._batch:
            open_count -= self._make_room()
        return open_count < self.limit and len(self._states) < self.limit + self._batch

    def free_memory(self):
        """Close a few connections that hold parts of requests or unread answers."""
        if not self._evicted:
            self._make_room(HOLDING_RANKS)

    def _make_room(self, ranks=frozenset(EvictionRank)):
        """Close a few connections of some ranks; return their number.

        Notes
        -----
        The order is that of `EvictionRank`, and within a rank that of time. Connections
        whose request is with an endpoint are never closed.
        """
        evicted = 0
        ranked = (
            (rank, state.since, id(state), state)
            for state in self._states
            if (rank := state.find_eviction_rank()) in ranks
        )
        for *_, state in nsmallest(self._batch, ranked):
            evicted += state.evict()
        self._evicted += evicted
        return evicted

    def count(self, *phases):
        """Return the number of connections in any of some phases."""
        return sum(state.phase in phases for state in self._states)

    def count_owed(self):
        """Return the number of connections that still receive an answer."""
        return len(self) - self.count(ConnectionPhase.WAITING)
