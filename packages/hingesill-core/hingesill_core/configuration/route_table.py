"""Which route a request takes: the longest path prefix of its method."""

__all__ = ["RouteTable"]


class RouteTable:
    """All routes of a configuration, built once a configuration.

    Parameters
    ----------
    services : iterable of Service
        The services in force.

    Notes
    -----
    A prefix ends at a path segment: ``/moves`` covers ``/moves`` and
    ``/moves/7`` but not ``/movers``. A look-up costs one dictionary access a
    segment of the path, whatever the number of routes.
    """

    def __init__(self, services):
        self._routes = {}
        for service in services:
            for route in service.routes:
                key = (route.method, route.path.rstrip("/") or "/")
                self._routes.setdefault(key, route)

    def find(self, method, path):
        """Return the route, or None.

        Parameters
        ----------
        method : str
            In capitals.
        path : str
            Without the query.
        """
        prefix = path.rstrip("/") or "/"
        while True:
            route = self._routes.get((method, prefix))
            if route is not None:
                return route
            if prefix == "/":
                return None
            prefix = prefix[: prefix.rfind("/")] or "/"
