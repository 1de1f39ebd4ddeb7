"""Hedges that choose their endpoint by a load query."""

from hingesill_core.routing.messages import Send, SendStatus

__all__ = ["QueryingHedge"]


class QueryingHedge:
    """A second send that queries endpoints while the first send is in flight.

    Parameters
    ----------
    exchange : Exchange
        The exchange of the request.
    query_client : LoadQueryClient
        The load query client of the service.
    """

    def __init__(self, exchange, query_client):
        self.exchange = exchange
        self.query_client = query_client
        self.is_waiting = True
        self.is_wanted = True

    def run(self, query):
        """Wait for an endpoint, then send unless cancelled in the meantime."""
        exchange = self.exchange
        runner = exchange.runner
        result = self.query_client.wait(exchange.request, query)
        self.is_waiting = False
        if not isinstance(result.decision, Send):
            runner.dispatcher.hedging.cancel(exchange.ticket)
            if self.is_wanted:
                exchange.request.tokens.release()
        elif self._may_start():
            self._start(result)
        else:
            runner.cancel_send(result.decision, result.connection)
        if exchange.hedge is self:
            exchange.hedge = None

    def _may_start(self):
        """Return whether the send is still wanted and allowed."""
        exchange = self.exchange
        if not self.is_wanted or exchange.runner.guard.is_suspect(exchange.request):
            return False
        return exchange.check_key() is None

    def _start(self, result):
        """Send to the endpoint of a query result."""
        started = self.exchange.sends.start(result.decision, result.connection)
        if started is SendStatus.NOT_SENT:
            self.exchange.runner.dispatcher.hedging.cancel(self.exchange.ticket)

    def cancel(self):
        """Prevent the send if it has not started."""
        self.is_wanted = False
        if self.is_waiting:
            self.query_client.cancel(self.exchange.ticket)
