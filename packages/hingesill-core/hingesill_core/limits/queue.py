"""The bounded request queue of a node: live requests before deferrable ones."""

from collections import OrderedDict

__all__ = ["RequestQueue"]


class RequestQueue:
    """Requests that wait for an endpoint.

    Parameters
    ----------
    limit : int
        Maximum length, both priorities together.
    """

    def __init__(self, limit):
        self.limit = limit
        self._live = OrderedDict()
        self._deferrable = OrderedDict()

    def __len__(self):
        return len(self._live) + len(self._deferrable)

    def __iter__(self):
        yield from self._live
        yield from self._deferrable

    def count_ahead(self, ticket):
        """Return how many requests would be served before a new one."""
        return len(self._live) if ticket.route.live else len(self)

    def add(self, ticket):
        """Append a request to the queue of its priority."""
        queue = self._live if ticket.route.live else self._deferrable
        queue[ticket] = None
        ticket.waiting = True

    def remove(self, ticket):
        """Remove a request if it is queued."""
        queue = self._live if ticket.route.live else self._deferrable
        queue.pop(ticket, None)
        ticket.waiting = False

    def evict_deferrable(self):
        """Remove the newest deferrable request and return it, or None."""
        if not self._deferrable:
            return None
        ticket, _ = self._deferrable.popitem()
        ticket.waiting = False
        return ticket

    def get_first(self, live):
        """Return the first request of a priority without removing it, or None."""
        queue = self._live if live else self._deferrable
        return next(iter(queue), None)
