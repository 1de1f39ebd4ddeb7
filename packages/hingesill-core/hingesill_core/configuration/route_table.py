"""Which route a request takes: the longest path prefix of its host and method."""

__all__ = ["RouteTable"]

ANY = ""


class RouteTable:
    """All routes of a configuration, built once a configuration.

    Parameters
    ----------
    routes : iterable of Route
        The routes in force.

    Notes
    -----
    A prefix ends at a path segment: ``/moves`` covers ``/moves`` and
    ``/moves/7`` but not ``/movers``; ``/moves/`` covers ``/moves/7`` but not
    ``/moves``. A look-up costs a few dictionary accesses a segment of the
    path, whatever the number of routes. Routes of the request's host go before
    those of all hosts.
    """

    def __init__(self, routes):
        self._routes = {}
        for route in routes:
            key = (route.host.lower(), route.method, route.path)
            self._routes.setdefault(key, route)
        self._hosts = {host for host, _, _ in self._routes}

    def find(self, method, path, host=ANY):
        """Return the route, or None.

        Parameters
        ----------
        method : str
            In capitals.
        path : str
            Without the query.
        host : str
            The ``Host`` header.
        """
        for known in dict.fromkeys((host.lower(), ANY)):
            if known in self._hosts:
                route = self._find_prefix(known, method, path)
                if route is not None:
                    return route
        return None

    def _find_prefix(self, host, method, path):
        for prefix in list_prefixes(path):
            for known in (method, ANY):
                route = self._routes.get((host, known, prefix))
                if route is not None:
                    return route
        return None


def list_prefixes(path):
    """Yield the prefixes of a path that end at a segment, the longest first."""
    yield path
    end = path.rfind("/", 0, len(path))
    while end >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]
        end = path.rfind("/", 0, end)
