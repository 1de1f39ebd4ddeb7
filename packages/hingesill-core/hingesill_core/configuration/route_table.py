"""Route lookup: the longest path prefix for a request's host and method."""

__all__ = ["RouteTable"]

ANY = ""


class RouteTable:
    """All routes of a configuration, built once per configuration.

    Parameters
    ----------
    routes : iterable of Route
        Routes of the current configuration.

    Notes
    -----
    A prefix ends at a path segment: ``/moves`` covers ``/moves`` and ``/moves/7`` but
    not ``/movers``; ``/moves/`` covers ``/moves/7`` but not ``/moves``. A lookup costs
    a few dictionary accesses per segment of the path, whatever the number of routes.
    Routes of the request's host take precedence over routes of all hosts.
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
            HTTP method in capitals.
        path : str
            Path without the query.
        host : str
            Value of the ``Host`` header.
        """
        for candidate in dict.fromkeys((host.lower(), ANY)):
            if candidate in self._hosts:
                route = self._find_prefix(candidate, method, path)
                if route is not None:
                    return route
        return None

    def _find_prefix(self, host, method, path):
        for prefix in list_prefixes(path):
            for candidate in (method, ANY):
                route = self._routes.get((host, candidate, prefix))
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
