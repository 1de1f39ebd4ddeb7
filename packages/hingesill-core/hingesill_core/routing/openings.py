"""When an endpoint takes requests again, where all of a service want none now."""

from math import inf, isfinite

from hingesill_core.reasons import RefusalReason

__all__ = ["Openings"]

# Longest wait for the end of a rest, in seconds.
PATIENCE_SECONDS = 0.02
# Spread of Retry-After behind the end of a rest, in seconds.
SPREAD_SECONDS = 0.5


class Openings:
    """What a service's endpoints say on when they take requests.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's; its endpoints' states are read.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def get_wait(self, route, now, tried=()):
        """Return the seconds until an endpoint takes a route's requests.

        Parameters
        ----------
        route : Route
            Of the requests.
        now : float
            Seconds of the node's clock.
        tried : collection of str
            Identities of endpoints that do not count.

        Returns
        -------
        float
            0 if one does now, infinite if none ever will, as far as known.
        """
        soonest = inf
        for state in self._dispatcher.states.values():
            if state.identity in tried or not state.is_home_of(route):
                continue
            if state.is_draining(now):
                continue
            wait = state.availability.resting_until - now
            if wait <= 0:
                return 0.0
            soonest = min(soonest, wait)
        return soonest

    def find_refusal(self, ticket, now, tried=()):
        """Return the Refusal of a request that no endpoint takes soon, or None."""
        wait = self.get_wait(ticket.route, now, tried)
        if wait <= PATIENCE_SECONDS:
            return None
        reason = RefusalReason.NO_ENDPOINT
        if isfinite(wait):
            reason = RefusalReason.ENDPOINTS_RESTING
        return self._dispatcher.refuse(ticket, reason, now)

    def suggest_return(self, route, now):
        """Return when to come back if all endpoints rest; None if they do not."""
        wait = self.get_wait(route, now)
        if wait <= PATIENCE_SECONDS or not isfinite(wait):
            return None
        return wait + SPREAD_SECONDS * self._dispatcher.rng.random()
