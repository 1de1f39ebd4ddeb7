"""Selection of the endpoints to query for their load."""

from hingesill_core.routing.quantile import Quantile

__all__ = ["EndpointSelection", "can_get_work", "takes_work"]

# Quantile of the reported slowness that counts as the baseline.
BASELINE_QUANTILE = 0.25


class EndpointSelection:
    """Selects endpoints for load queries.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service; the states of its endpoints are read.
    rules : QueryRules
        Parameters of the load queries.

    Attributes
    ----------
    slowness : Quantile
        Reported slowness of the endpoints.
    is_connected : callable
        Returns by an endpoint's identity whether the node has an idle connection to it.
    """

    def __init__(self, dispatcher, rules):
        self.dispatcher = dispatcher
        self.rules = rules
        self.slowness = Quantile(BASELINE_QUANTILE)
        self.is_connected = lambda identity: False

    def sample(self, candidates, count, now, is_first):
        """Return a random sample of endpoints, all but one in the own data centre.

        Parameters
        ----------
        candidates : list of EndpointState
            As returned by `list_candidates`.
        count : int
            Size of the sample; at most the number of candidates.
        now : float
            Seconds of the node's clock.
        is_first : bool
            Whether this is the first round of queries for a new request.

        Notes
        -----
        Replies from the own data centre arrive first, so a request stays there if there
        is capacity; if all of these endpoints are full, the one elsewhere may have
        capacity in the same round. With many local endpoints, the first round queries
        only them: this saves traffic between data centres and new connections, and the
        next round is milliseconds away.
        """
        near = [state for state in candidates if state.is_near]
        is_local_only = is_first and len(near) >= self.rules.min_local
        near_count = min(len(near), max(0, count - (not is_local_only)))
        pick = self._pick_connected if is_first else self._pick
        chosen = pick(near, near_count, now)
        others = [state for state in candidates if state not in chosen]
        return [*chosen, *pick(others, count - len(chosen), now)]

    def _pick(self, candidates, count, now):
        """Return a random sample of at most `count` endpoints."""
        return self.dispatcher.rng.sample(candidates, min(count, len(candidates)))

    def _pick_connected(self, candidates, count, now):
        """Return a random sample of endpoints, those with idle connections first.

        Notes
        -----
        A node of a large fleet queries each endpoint less often than the idle timeout
        of connections, so a uniform sample opens a connection for most queries. The
        preference applies only to a request's first queries: in a burst the connected
        endpoints are full, and querying them again makes requests miss their targets.
        An endpoint that was slow a moment ago is not preferred either: it has free
        slots, and would attract requests.
        """
        rng = self.dispatcher.rng
        if len(candidates) <= count:
            return candidates
        connected = [
            state
            for state in candidates
            if self.is_connected(state.identity) and not self._was_slow(state, now)
        ]
        if len(connected) >= count:
            return rng.sample(connected, count)
        others = [state for state in candidates if state not in connected]
        return [*connected, *rng.sample(others, count - len(connected))]

    def _was_slow(self, state, now):
        """Return whether an endpoint's last report is recent and shows slow work."""
        report = state.report
        if report is None or now - report.received_at > self.rules.slow_report_seconds:
            return False
        return report.slowness >= self.get_max_slowness()

    def get_max_slowness(self):
        """Return the slowness from which an endpoint is excluded."""
        return self.rules.max_slowness * max(1.0, self.slowness.value)

    def list_candidates(self, now, routes):
        """Return the endpoints to query, without recently queried ones if possible.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        routes : collection of Route
            Routes of the queued requests; an endpoint may be queried for any of them.
        """
        eligible = [s for s in self.dispatcher.states.values() if can_get_work(s, now)]
        if all(route.homes for route in routes):
            eligible = [s for s in eligible if any(map(s.serves_route, routes))]
        recently = now - self.rules.selective_seconds
        for keep in (
            lambda s: s.query_health.accepts_traffic()
            or s.query_health.is_trial_due(now),
            lambda s: s.queried_at < recently,
        ):
            eligible = [state for state in eligible if keep(state)] or eligible
        return eligible


def takes_work(state, now):
    """Return whether an endpoint accepts requests, regardless of its rate limit."""
    return not state.is_draining(now) and state.availability.takes_requests(now)


def can_get_work(state, now):
    """Return whether an endpoint may receive requests, as far as known."""
    if not takes_work(state, now) or not state.is_within_limit(now):
        return False
    return state.health.accepts_traffic() or state.health.is_trial_due(now)
