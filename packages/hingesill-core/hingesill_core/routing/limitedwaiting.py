"""Requests that wait for replies while endpoints of their service are in need."""

__all__ = ["LimitedWaiting"]

# Time for which a request waits for endpoints without a limit, in seconds.
PATIENCE_SECONDS = 0.03
# Time for which a late request waits for a limited endpoint, in seconds.
SOON_SECONDS = 0.05


class LimitedWaiting:
    """Has grants asked for, and tells which requests will get none in time.

    Parameters
    ----------
    binding : LateBinding
        Its waiting requests are read; hedges are no reason to ask.
    requests : LimitedRequests
        Of the service.
    """

    def __init__(self, binding, requests):
        self._binding = binding
        self._requests = requests
        self._grant_client = binding.limits.grant_client

    def admit(self, ticket, now):
        """Take note of a request that begins to wait; tell whether it may.

        Notes
        -----
        It may if grants are there or may come. Where a less urgent one is to go in its
        place, that is refused with the next round.
        """
        self._grant_client.request_trial_grant(now)
        if not self._requests.needs_grant(ticket.route, now):
            return True
        self._grant_client.record_request(now)
        self.want_grants(now)
        return ticket not in self.list_surplus(now)

    def want_grants(self, now):
        """Have grants asked for, for requests that endpoints without a need leave."""
        waiting = self._list_waiting()
        routes = {item.ticket.route for item in waiting}
        short = {r for r in routes if self._requests.needs_grant(r, now)}
        patient_since = now - PATIENCE_SECONDS
        needing = sum(
            item.since <= patient_since or item.ticket.route in short
            for item in waiting
        )
        patience = max((item.late_at - now for item in waiting), default=0.0)
        self._grant_client.want(needing, max(patience, SOON_SECONDS), now)

    def list_surplus(self, now):
        """Return the waiting tickets that will get no grant in time.

        Notes
        -----
        What the endpoints take is given to requests that can still meet their targets;
        those that can't are served by what is there now, or refused at once.
        """
        waiting = self._list_waiting()
        waiting.sort(key=lambda item: item.get_order(now))
        soon = now + SOON_SECONDS
        items = [(i.ticket, min(i.until, max(i.late_at, soon))) for i in waiting]
        return self._requests.list_surplus(items, now)

    def _list_waiting(self):
        return [item for item in self._binding.waiting.values() if not item.hedge]
