"""The short queue at the node: live requests before deferrable ones."""

from collections import OrderedDict

__all__ = ["RequestQueue"]


class RequestQueue:
    """Requests that wait for an endpoint.

    Parameters
    ----------
    limit : int
        How many may wait, both priorities together.
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
        """Return how many would be served before a new ticket."""
        return len(self._live) if ticket.route.live else len(self)

    def add(self, ticket):
        """Add a ticket at the end of its priority."""
        line = self._live if ticket.route.live else self._deferrable
        line[ticket] = None
        ticket.waiting = True

    def remove(self, ticket):
        """Take a ticket out, whether it waits or not."""
        line = self._live if ticket.route.live else self._deferrable
        line.pop(ticket, None)
        ticket.waiting = False

    def evict_deferrable(self):
        """Take out the newest deferrable ticket and return it, or None."""
        if not self._deferrable:
            return None
        ticket, _ = self._deferrable.popitem()
        ticket.waiting = False
        return ticket

    def get_first(self, live):
        """Return the first ticket of a priority without taking it out, or None."""
        line = self._live if live else self._deferrable
        return next(iter(line), None)
