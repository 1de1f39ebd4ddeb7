"""A second send that looks for its endpoint beside the first one."""

from hingesill_core.routing.messages import Send, SendEnd, SendResult

__all__ = ["AskedHedge"]


class AskedHedge:
    """A second send that first looks for an endpoint, beside the one under way.

    Parameters
    ----------
    exchange : Exchange
        Of the request.
    room : WaitingRoom
        Of the service.
    """

    def __init__(self, exchange, room):
        self.exchange = exchange
        self.room = room
        self.is_waiting = True
        self.is_wanted = True

    def run(self, ask):
        """Wait for an endpoint and send, unless withdrawn meanwhile."""
        exchange = self.exchange
        found = self.room.wait(exchange.request, ask)
        self.is_waiting = False
        if not isinstance(found.decision, Send):
            exchange.runner.dispatcher.hedging.end(exchange.ticket)
        elif self.is_wanted:
            exchange.start_send(found.decision, found.connection)
        else:
            self._give_back(found)
        if exchange.hedge is self:
            exchange.hedge = None

    def _give_back(self, found):
        """Leave an endpoint that was found too late as it is."""
        runner = self.exchange.runner
        pool = runner.find_pool(found.decision.endpoint)
        runner.settle(found.decision, SendResult(SendEnd.CANCELLED))
        if found.connection is not None and pool is not None:
            pool.give_back(found.connection)

    def withdraw(self):
        """Send nothing any more."""
        self.is_wanted = False
        if self.is_waiting:
            self.room.withdraw(self.exchange.ticket)
