"""How long answers usually take, as a measure for single ones."""

from math import exp, log

from hingesill_core.routing.concurrencylevels import (
    FEWEST_ANSWERS,
    MOST_ANSWERS,
    ConcurrencyLevel,
    combine,
)
from hingesill_core.routing.profile import BaselineLatency

__all__ = ["MOST_RATIO", "BaselineLatencies"]

# Smallest ratio to the route's usual time that counts: faster answers did not do the
# usual work, as after an immediate failure.
LEAST_RATIO = 1 / 3
# Upper bound of the slowness of one answer, as a factor of the usual time.
MOST_RATIO = 3.0
# Lower bound of an answer's time, in seconds, so that its logarithm is bounded.
LEAST_SECONDS = 0.0001


class BaselineLatencies:
    """How long the answers of each route take, over all levels.

    Notes
    -----
    It moves slowly on purpose. Sends to fuller endpoints come in bursts, and a value
    that follows them soon takes a slowdown for a smaller one.
    """

    def __init__(self):
        self._by_route = {}
        self._told = set()
        self._kept = frozenset()
        self._has_new_answers = False

    def keep(self, routes):
        """Forget all other routes, and take nothing of them from other nodes."""
        self._kept = frozenset(get_key(route) for route in routes)
        self._by_route = {
            key: usual for key, usual in self._by_route.items() if key in self._kept
        }

    def take_unreported(self, now):
        """Return what `build` does; nothing if no answer came since the last call."""
        had, self._has_new_answers = self._has_new_answers, False
        return self.build(now) if had else ()

    def build(self, now):
        """Return the tuple of BaselineLatency of all routes with answers."""
        return tuple(
            BaselineLatency(*key, usual.count(now), usual.mean)
            for key, usual in sorted(self._by_route.items())
        )

    def merge(self, usual_times, now):
        """Take the times of another node's answers beside the own ones.

        Parameters
        ----------
        usual_times : iterable of BaselineLatency
            Of that node.
        now : float
            Seconds of the node's clock.
        """
        for told in usual_times:
            key = (told.host, told.method, told.path)
            if key in self._kept and told.answers > 0:
                level = ConcurrencyLevel(
                    min(MOST_ANSWERS, told.answers), told.mean, now
                )
                self._by_route[key] = combine((self._by_route.get(key), level), now)

    def adopt(self, usual_times, now):
        """Begin with what the fleet knows of routes of which this node knows little.

        Parameters
        ----------
        usual_times : iterable of BaselineLatency
            Of the fleet.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        A node of a large fleet answers a request of a route in seconds, so it would
        know what is usual after a minute.
        """
        for told in usual_times:
            key = (told.host, told.method, told.path)
            if key not in self._kept or told.answers < FEWEST_ANSWERS:
                continue
            self._told.add(key)
            own = self._by_route.get(key)
            if own is None or own.answers < FEWEST_ANSWERS:
                self._by_route[key] = ConcurrencyLevel(FEWEST_ANSWERS, told.mean, now)

    def has_unpublished(self):
        """Tell whether enough is known of a route that the fleet does not know."""
        return any(
            usual.answers >= FEWEST_ANSWERS and key not in self._told
            for key, usual in self._by_route.items()
        )

    def rate(self, route, seconds, now):
        """Return an answer's time by the usual time, and let that follow it.

        Parameters
        ----------
        route : Route
            The request's.
        seconds : float
            From the send to the answer.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        float or None
            None as long as little is known, or if no usual work was done.
        """
        self._has_new_answers = True
        usual = self._by_route.setdefault(get_key(route), ConcurrencyLevel())
        value = log(max(seconds, LEAST_SECONDS))
        if usual.answers < FEWEST_ANSWERS:
            usual.note(value, now)
            return None
        ratio = exp(value - usual.mean)
        if ratio < LEAST_RATIO:
            return None
        usual.note(min(value, usual.mean + log(MOST_RATIO)), now)
        return ratio


def get_key(route):
    """Return what stays of a route when its limits change."""
    return route.host, route.method, route.path
