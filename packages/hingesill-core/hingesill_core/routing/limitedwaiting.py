"""Requests that wait for load replies while endpoints are rate-limited."""

__all__ = ["LimitedWaiting"]

# Time for which a request waits for endpoints without a limit, in seconds.
UNLIMITED_WAIT_SECONDS = 0.03
# Time for which a late request waits for a limited endpoint, in seconds.
LATE_WAIT_SECONDS = 0.05


class LimitedWaiting:
    """Requests grants, and lists the waiting requests that will get none in time.

    Parameters
    ----------
    binding : LateBinding
        Its waiting requests are read; hedges need no grants here.
    requests : LimitedRequests
        Requests of the service that need grants.
    """

    def __init__(self, binding, requests):
        self._binding = binding
        self._requests = requests
        self._grant_client = binding.limits.grant_client

    def admit(self, ticket, now):
        """Record a request that begins to wait; return whether it may wait.

        Notes
        -----
        It may wait if grants are available or can arrive in time. If it supersedes a
        less urgent request, that one is refused in the next round.
        """
        self._grant_client.request_trial_grant(now)
        if not self._requests.needs_grant(ticket.route, now):
            return True
        self._grant_client.record_request(now)
        self.want_grants(now)
        return ticket not in self.list_surplus(now)

    def want_grants(self, now):
        """Request grants for requests that endpoints without a limit do not serve."""
        waiting = self._list_waiting()
        routes = {item.ticket.route for item in waiting}
        blocked_routes = {r for r in routes if self._requests.needs_grant(r, now)}
        waiting_since = now - UNLIMITED_WAIT_SECONDS
        needing = sum(
            item.since <= waiting_since or item.ticket.route in blocked_routes
            for item in waiting
        )
        max_wait = max((item.late_at - now for item in waiting), default=0.0)
        self._grant_client.request_grants(
            needing, max(max_wait, LATE_WAIT_SECONDS), now
        )

    def list_surplus(self, now):
        """Return the waiting tickets that will get no grant in time.

        Notes
        -----
        The capacity of limited endpoints goes to requests that can still meet their
        targets; late ones use current grants only, or are refused immediately.
        """
        waiting = self._list_waiting()
        waiting.sort(key=lambda item: item.get_order(now))
        soon = now + LATE_WAIT_SECONDS
        items = [(i.ticket, min(i.until, max(i.late_at, soon))) for i in waiting]
        return self._requests.list_surplus(items, now)

    def _list_waiting(self):
        return [item for item in self._binding.waiting.values() if not item.hedge]
