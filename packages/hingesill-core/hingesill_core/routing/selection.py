"""Which endpoints are worth a question."""

from hingesill_core.routing.quantile import Quantile

__all__ = ["EndpointSelection", "can_get_work", "takes_work"]

# Share of replies that are less slow than what counts as usual.
USUAL_SHARE = 0.25


class EndpointSelection:
    """Chooses endpoints to ask.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's; its endpoints' states are read.
    rules : QueryRules
        How to ask.

    Attributes
    ----------
    slowness : Quantile
        How slowly endpoints work, by their own words.
    is_connected : callable
        Tells by an endpoint's identity whether the node holds an idle connection.
    """

    def __init__(self, dispatcher, rules):
        self.dispatcher = dispatcher
        self.rules = rules
        self.slowness = Quantile(USUAL_SHARE)
        self.is_connected = lambda identity: False

    def sample(self, candidates, count, now, is_first):
        """Return endpoints at random, all but one of the own data centre.

        Parameters
        ----------
        candidates : list of EndpointState
            As `list_candidates` returns them.
        count : int
            How many are wanted; at most as many as there are candidates.
        now : float
            Seconds of the node's clock.
        is_first : bool
            These are the first questions for a new request.

        Notes
        -----
        Their replies come first, so a request stays near if there is room, and
        what is full here still finds room elsewhere in the same round. Where many
        are near, the first round asks only them: bytes between data centres and
        new connections are saved, and the next round is milliseconds away.
        """
        near = [state for state in candidates if state.is_near]
        stays = is_first and len(near) >= self.rules.many_near
        wanted = min(len(near), max(0, count - (not stays)))
        pick = self._pick_connected if is_first else self._pick
        chosen = pick(near, wanted, now)
        others = [state for state in candidates if state not in chosen]
        return [*chosen, *pick(others, count - len(chosen), now)]

    def _pick(self, candidates, count, now):
        """Return so many endpoints at random."""
        return self.dispatcher.rng.sample(candidates, min(count, len(candidates)))

    def _pick_connected(self, candidates, count, now):
        """Return so many endpoints at random, those with an idle connection first.

        Notes
        -----
        A node of a large fleet asks each endpoint less often than connections may
        rest, so that choosing among all opens a connection for most questions. It is
        for a request's first questions only: in a burst those with a connection are
        full, and asking them again makes requests miss their targets. One that was slow
        a moment ago is not preferred either: it stays free, and would draw requests.
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
        """Tell whether an endpoint worked slowly by its last word, if that is new."""
        report = state.report
        if report is None or now - report.received_at > self.rules.slow_holds:
            return False
        return report.slowness >= self.get_most_slowness()

    def get_most_slowness(self):
        """Return from which slowness on an endpoint is passed by."""
        return self.rules.most_slowness * max(1.0, self.slowness.value)

    def list_candidates(self, now, routes):
        """Return the endpoints worth asking, those not just asked if there are any.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        routes : collection of Route
            Of the requests that wait; an endpoint may be asked for any of them.
        """
        usable = [s for s in self.dispatcher.states.values() if can_get_work(s, now)]
        if all(route.homes for route in routes):
            usable = [s for s in usable if any(map(s.is_home_of, routes))]
        just_now = now - self.rules.selective
        for keep in (
            lambda s: s.reach.is_open() or s.reach.is_trial_due(now),
            lambda s: s.queried_at < just_now,
        ):
            usable = [state for state in usable if keep(state)] or usable
        return usable


def takes_work(state, now):
    """Tell whether an endpoint wants any, whatever the limit that it may name."""
    return not state.is_draining(now) and state.availability.takes_requests(now)


def can_get_work(state, now):
    """Tell whether an endpoint may get new work, as far as known."""
    if not takes_work(state, now) or not state.is_within_limit(now):
        return False
    return state.health.is_open() or state.health.is_trial_due(now)
