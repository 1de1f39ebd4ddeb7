"""A request that waits for an endpoint, and its order among others."""

from msgspec import Struct

from hingesill_core.routing.loadqueries import Stage

__all__ = ["WaitingRequest"]


class WaitingRequest(Struct, eq=False):
    """A request that waits for a suitable reply; times in seconds of the node's clock.

    Attributes
    ----------
    ticket : Ticket
        The request.
    since : float
        Time at which the wait began.
    late_at : float
        Time from which its answer cannot meet its target.
    until : float
        Time at which the wait ends.
    hedge : bool
        Another send of it is in flight.
    precedence : tuple
        Order among waiting requests where early refusal is enabled.
    is_guaranteed : bool
        Its organisation is well below its fair share.
    """

    ticket: object
    since: float
    late_at: float
    until: float
    hedge: bool = False
    precedence: tuple = ()
    is_guaranteed: bool = False

    def get_stage(self, now, rules):
        """Return the stage that decides which endpoints it accepts."""
        if self.hedge:
            return Stage.SELECTIVE
        if now >= self.late_at:
            return Stage.LATE
        is_new = now < self.since + rules.selective_seconds
        return Stage.SELECTIVE if is_new else Stage.ACCEPTING

    def get_order(self, now):
        """Return the key by which waiting requests get free slots.

        Notes
        -----
        The more urgent rank goes first, within it requests that can still meet their
        target, and of these the one with the least time left. Hedges get only slots
        that no other request waits for.
        """
        is_late = now >= self.late_at
        if self.precedence:
            beyond = not self.is_guaranteed
            rank = self.ticket.rank
            return (self.hedge, is_late, rank, beyond, *self.precedence, self.late_at)
        return (self.hedge, self.ticket.rank, is_late, self.late_at)
