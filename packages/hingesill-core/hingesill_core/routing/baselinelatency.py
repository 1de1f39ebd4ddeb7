"""Baseline latency per route, to which single response times are compared."""

from math import exp, log

from hingesill_core.routing.concurrencylevels import (
    MAX_ANSWERS,
    MIN_ANSWERS,
    ConcurrencyLevel,
    combine,
)
from hingesill_core.routing.profile import BaselineLatency

__all__ = ["MAX_RATIO", "BaselineLatencies"]

# Minimum ratio to the route's baseline that counts: faster answers did not do the usual
# work, for example after an immediate failure.
MIN_RATIO = 1 / 3
# Upper bound of the ratio of one answer to the baseline.
MAX_RATIO = 3.0
# Lower bound of a response time, in seconds, so that its logarithm is bounded.
MIN_SECONDS = 0.0001


class BaselineLatencies:
    """Baseline latency of each route, over all concurrency levels.

    Notes
    -----
    The baseline follows changes slowly on purpose. Sends to busier endpoints come in
    bursts, and a baseline that follows these quickly makes a slowdown look smaller.
    """

    def __init__(self):
        self._by_route = {}
        self._published = set()
        self._routes = frozenset()
        self._has_new_answers = False

    def retain(self, routes):
        """Remove all other routes, and ignore them in reports and profiles."""
        self._routes = frozenset(get_key(route) for route in routes)
        self._by_route = {
            key: baseline
            for key, baseline in self._by_route.items()
            if key in self._routes
        }

    def take_unreported(self, now):
        """Return the built baselines, or nothing without new answers."""
        had_new_answers, self._has_new_answers = self._has_new_answers, False
        return self.build(now) if had_new_answers else ()

    def build(self, now):
        """Return the BaselineLatency of each route with answers."""
        return tuple(
            BaselineLatency(*key, baseline.count(now), baseline.mean)
            for key, baseline in sorted(self._by_route.items())
        )

    def merge(self, usual_times, now):
        """Merge another node's baselines into the own ones.

        Parameters
        ----------
        usual_times : iterable of BaselineLatency
            Baselines of that node.
        now : float
            Seconds of the node's clock.
        """
        for item in usual_times:
            key = (item.host, item.method, item.path)
            if key in self._routes and item.answers > 0:
                level = ConcurrencyLevel(min(MAX_ANSWERS, item.answers), item.mean, now)
                self._by_route[key] = combine((self._by_route.get(key), level), now)

    def adopt(self, usual_times, now):
        """Apply published baselines to routes with too few own answers.

        Parameters
        ----------
        usual_times : iterable of BaselineLatency
            Published baselines.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        A node of a large fleet handles one request of a route in several seconds, so it
        would need a minute for a baseline of its own.
        """
        for item in usual_times:
            key = (item.host, item.method, item.path)
            if key not in self._routes or item.answers < MIN_ANSWERS:
                continue
            self._published.add(key)
            own = self._by_route.get(key)
            if own is None or own.answers < MIN_ANSWERS:
                self._by_route[key] = ConcurrencyLevel(MIN_ANSWERS, item.mean, now)

    def has_unpublished(self):
        """Return whether a route with enough answers is not published."""
        return any(
            baseline.answers >= MIN_ANSWERS and key not in self._published
            for key, baseline in self._by_route.items()
        )

    def get_usual(self, route):
        """Return the usual seconds to an answer of a route, or None if unknown."""
        baseline = self._by_route.get(get_key(route))
        if baseline is None or baseline.answers < MIN_ANSWERS:
            return None
        return exp(baseline.mean)

    def compute_ratio(self, route, seconds, now):
        """Return the ratio of a response time to the baseline, and update the baseline.

        Parameters
        ----------
        route : Route
            Route of the request.
        seconds : float
            Time from the send to the answer.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        float or None
            None if there are too few answers, or the answer was too fast to have done
            the usual work.
        """
        self._has_new_answers = True
        baseline = self._by_route.setdefault(get_key(route), ConcurrencyLevel())
        value = log(max(seconds, MIN_SECONDS))
        if baseline.answers < MIN_ANSWERS:
            baseline.record(value, now)
            return None
        ratio = exp(value - baseline.mean)
        if ratio < MIN_RATIO:
            return None
        baseline.record(min(value, baseline.mean + log(MAX_RATIO)), now)
        return ratio


def get_key(route):
    """Return the part of a route that stays the same when its limits change."""
    return route.host, route.method, route.path
