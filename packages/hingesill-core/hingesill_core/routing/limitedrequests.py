"""Requests that only endpoints in need could serve."""

from hingesill_core.routing.selection import can_get_work

__all__ = ["LimitedRequests"]


class LimitedRequests:
    """Which requests of a service need a grant, and which will get none.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def needs_grant(self, route, now):
        """Tell whether all endpoints that may serve a route are in need."""
        limits = self._dispatcher.limits
        return not any(
            state.is_home_of(route) and can_get_work(state, now)
            for state in self._dispatcher.states.values()
            if state.identity not in limits.limited
        )

    def is_surplus(self, ticket, now):
        """Count a new request; tell whether it is to be refused at once."""
        if not self.needs_grant(ticket.route, now):
            return False
        dispatcher = self._dispatcher
        dispatcher.limits.grant_client.record_request(now)
        tickets = [*dispatcher.queue, ticket]
        patience = ticket.deadline - now
        dispatcher.limits.grant_client.want(len(tickets), patience, now)
        return ticket in self.list_surplus([(t, t.deadline) for t in tickets], now)

    def list_surplus(self, waiting, now):
        """Return the waiting tickets that only endpoints in need could serve, too late.

        Parameters
        ----------
        waiting : list of tuple
            Each ticket with the time until which it waits, the most urgent one first.
        now : float
            Seconds of the node's clock.
        """
        limits = self._dispatcher.limits
        surplus = limits.grant_client.list_surplus([until for _, until in waiting], now)
        tickets = [waiting[index][0] for index in surplus]
        needing = {}
        for route in {ticket.route for ticket in tickets}:
            needing[route] = self.needs_grant(route, now)
        return [ticket for ticket in tickets if needing[ticket.route]]
