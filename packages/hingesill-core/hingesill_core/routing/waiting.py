"""A request that waits for an endpoint, and its place among others."""

from msgspec import Struct

from hingesill_core.routing.loadqueries import Stage

__all__ = ["Waiting"]


class Waiting(Struct, eq=False):
    """A request that waits for a reply that will do; times of the node's clock.

    Attributes
    ----------
    ticket : Ticket
        The request.
    since : float
        When it began to wait.
    late_at : float
        From then on its answer cannot be in time for its target.
    until : float
        From then on it waits no longer.
    hedge : bool
        Another send of it is under way.
    """

    ticket: object
    since: float
    late_at: float
    until: float
    hedge: bool = False

    def get_stage(self, now, rules):
        """Return how much the request puts up with."""
        if self.hedge:
            return Stage.SELECTIVE
        if now >= self.late_at:
            return Stage.LATE
        is_new = now < self.since + rules.selective
        return Stage.SELECTIVE if is_new else Stage.ACCEPTING

    def get_order(self, now):
        """Return the key by which requests take what becomes free.

        Notes
        -----
        The more urgent rank goes first, within it those that can still be in
        time, and of these the one with the least time left. Hedges take what
        nobody else waits for.
        """
        is_late = now >= self.late_at
        return (self.hedge, self.ticket.route.rank, is_late, self.late_at)
