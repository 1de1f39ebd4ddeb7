"""Requests that only rate-limited endpoints could serve."""

from hingesill_core.routing.selection import can_get_work

__all__ = ["LimitedRequests"]


class LimitedRequests:
    """Decides which requests of a service need a grant and which will get none.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def needs_grant(self, route, now):
        """Return whether all endpoints that may serve a route are rate-limited."""
        limits = self._dispatcher.limits
        return not any(
            state.serves_route(route) and can_get_work(state, now)
            for state in self._dispatcher.states.values()
            if state.identity not in limits.limited
        )

    def is_surplus(self, ticket, now):
        """Record a new request; return whether to refuse it immediately."""
        if not self.needs_grant(ticket.route, now):
            return False
        dispatcher = self._dispatcher
        dispatcher.limits.grant_client.record_request(now)
        tickets = [*dispatcher.queue, ticket]
        max_wait = ticket.deadline - now
        dispatcher.limits.grant_client.request_grants(len(tickets), max_wait, now)
        return ticket in self.list_surplus([(t, t.deadline) for t in tickets], now)

    def list_surplus(self, waiting, now):
        """Return the waiting tickets that would get a grant only after their time.

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
