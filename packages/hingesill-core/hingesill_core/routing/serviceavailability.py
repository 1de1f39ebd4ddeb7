"""Which endpoints of a service accept requests, and when the next one will."""

from math import inf, isfinite

from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.selection import takes_work

__all__ = ["ServiceAvailability"]

# Longest wait for the end of a back-off, in seconds.
MAX_BACKOFF_WAIT_SECONDS = 0.02
# Random spread added to a Retry-After at the end of a back-off, in seconds.
RETRY_AFTER_SPREAD_SECONDS = 0.5


class ServiceAvailability:
    """Back-off and draining of the endpoints of a service.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service; its endpoint states are read and written.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def record(self, identity, born, backoff, leaving, now):
        """Record back-off and draining from response headers.

        Parameters
        ----------
        identity : str
            The endpoint's identity.
        born : int
            Incarnation that responded.
        backoff : RequestedBackoff
            Back-off that it requests.
        leaving : bool
            It reports that it is leaving.
        now : float
            Seconds of the node's clock.
        """
        name = self._dispatcher.service.name
        availabilities = self._dispatcher.availabilities
        availabilities.record_backoff(name, identity, born, backoff, now)
        if leaving:
            availabilities.record_leaving(name, identity, born, now)

    def may_write(self, send, now):
        """Return whether a send may still be written once its connection is open.

        Parameters
        ----------
        send : Send
            The send.
        now : float
            Seconds of the node's clock.
        """
        state = self._dispatcher.find_state(send)
        return state is not None and takes_work(state, now)

    def count_backing_off(self, now):
        """Return the number of endpoints whose back-off lasts."""
        if not self._dispatcher.availabilities.has_retained:
            return 0
        states = self._dispatcher.states.values()
        return sum(state.availability.is_backing_off(now) for state in states)

    def get_wait(self, route, now, tried=()):
        """Return the seconds until an endpoint accepts a route's requests.

        Parameters
        ----------
        route : Route
            Route of the requests.
        now : float
            Seconds of the node's clock.
        tried : collection of str
            Identities of endpoints that are left out.

        Returns
        -------
        float
            0 if one accepts them now, infinite if none is known that ever will.
        """
        soonest = inf
        for state in self._dispatcher.states.values():
            if state.identity in tried or not state.serves_route(route):
                continue
            if state.is_draining(now):
                continue
            wait = state.availability.backoff_until - now
            if wait <= 0:
                return 0.0
            soonest = min(soonest, wait)
        return soonest

    def find_refusal(self, ticket, now, tried=()):
        """Return the Refusal of a request that no endpoint accepts soon, or None.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.
        tried : collection of str
            Identities of endpoints that are left out.
        """
        wait = self.get_wait(ticket.route, now, tried)
        if wait <= MAX_BACKOFF_WAIT_SECONDS:
            return None
        reason = RefusalReason.NO_ENDPOINT
        if isfinite(wait):
            reason = RefusalReason.ENDPOINTS_RESTING
        return self._dispatcher.refuse(ticket, reason, now)

    def suggest_retry_after(self, route, now):
        """Return the Retry-After in seconds if all endpoints back off, else None."""
        wait = self.get_wait(route, now)
        if wait <= MAX_BACKOFF_WAIT_SECONDS or not isfinite(wait):
            return None
        return wait + RETRY_AFTER_SPREAD_SECONDS * self._dispatcher.rng.random()
