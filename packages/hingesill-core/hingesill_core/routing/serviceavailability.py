"""Which endpoints of a service take requests, and when one does again."""

from math import inf, isfinite

from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.selection import takes_work

__all__ = ["ServiceAvailability"]

# Longest wait for the end of a rest, in seconds.
PATIENCE_SECONDS = 0.02
# Spread of Retry-After behind the end of a rest, in seconds.
SPREAD_SECONDS = 0.5


class ServiceAvailability:
    """What the endpoints of a service say on further requests of this node.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's; its endpoints' states are read and written.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def note(self, identity, born, backoff, leaving, now):
        """Take what an answer says on further requests, when its head is read.

        Parameters
        ----------
        identity : str
            The endpoint's.
        born : int
            The life that answered.
        rest : RequestedBackoff
            That it asks for.
        leaving : bool
            It says that it is leaving.
        now : float
            The time.
        """
        name = self._dispatcher.service.name
        availabilities = self._dispatcher.availabilities
        availabilities.record_backoff(name, identity, born, backoff, now)
        if leaving:
            availabilities.record_leaving(name, identity, born, now)

    def may_write(self, send, now):
        """Tell whether a send may still be written, once its connection is there.

        Parameters
        ----------
        send : Send
            As it was given out.
        now : float
            Seconds of the node's clock.
        """
        state = self._dispatcher.find_state(send)
        return state is not None and takes_work(state, now)

    def count_backing_off(self, now):
        """Return how many of the endpoints asked for a rest that lasts."""
        if not self._dispatcher.availabilities.has_words:
            return 0
        states = self._dispatcher.states.values()
        return sum(state.availability.is_backing_off(now) for state in states)

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
            wait = state.availability.backoff_until - now
            if wait <= 0:
                return 0.0
            soonest = min(soonest, wait)
        return soonest

    def find_refusal(self, ticket, now, tried=()):
        """Return the Refusal of a request that no endpoint takes soon, or None.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.
        tried : collection of str
            Identities of endpoints that do not count.
        """
        wait = self.get_wait(ticket.route, now, tried)
        if wait <= PATIENCE_SECONDS:
            return None
        reason = RefusalReason.NO_ENDPOINT
        if isfinite(wait):
            reason = RefusalReason.ENDPOINTS_RESTING
        return self._dispatcher.refuse(ticket, reason, now)

    def suggest_retry_after(self, route, now):
        """Return the Retry-After in seconds if all endpoints rest, else None."""
        wait = self.get_wait(route, now)
        if wait <= PATIENCE_SECONDS or not isfinite(wait):
            return None
        return wait + SPREAD_SECONDS * self._dispatcher.rng.random()
