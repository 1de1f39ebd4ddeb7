"""A second send that looks for its endpoint beside the first one."""

from hingesill_core.routing.messages import Send, SendStatus

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
        runner = exchange.runner
        found = self.room.wait(exchange.request, ask)
        self.is_waiting = False
        if not isinstance(found.decision, Send):
            runner.dispatcher.hedging.end(exchange.ticket)
        elif self.is_wanted and not runner.guard.is_suspect(exchange.request):
            self._start(found)
        else:
            runner.give_back(found.decision, found.connection)
        if exchange.hedge is self:
            exchange.hedge = None

    def _start(self, found):
        """Send to the endpoint that was found."""
        started = self.exchange.sends.start(found.decision, found.connection)
        if started is SendStatus.NOT_SENT:
            self.exchange.runner.dispatcher.hedging.end(self.exchange.ticket)

    def withdraw(self):
        """Send nothing any more."""
        self.is_wanted = False
        if self.is_waiting:
            self.room.withdraw(self.exchange.ticket)
