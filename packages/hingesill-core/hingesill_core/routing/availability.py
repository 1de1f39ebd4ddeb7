"""Availability of endpoints: back-off and draining, as their responses report them."""

from math import inf
from weakref import WeakValueDictionary

from msgspec import Struct

__all__ = [
    "Availability",
    "AvailabilityRegistry",
    "AvailabilityChange",
    "MAX_BACKOFF_SECONDS",
    "NO_BACKOFF",
    "RequestedBackoff",
    "INVALID_BACKOFF",
]

# Upper bound of a back-off, in seconds.
MAX_BACKOFF_SECONDS = 600.0
# Back-off that is assumed where its length cannot be parsed, in seconds.
INVALID_BACKOFF_SECONDS = 1.0
# Time for which an address counts as leaving where it identifies no incarnation, in
# seconds.
LEAVING_SECONDS = 30.0
# Remaining part of that time in which the endpoint is probed, in seconds.
LEAVING_RENEWAL_SECONDS = 10.0
# Time for which the availability of a leaving incarnation is retained, in seconds.
RETENTION_SECONDS = 3600.0
# Upper bound of retained incarnations that are not in the directory.
MAX_RETAINED_INCARNATIONS = 65_536
# Interval of clean-ups, in seconds.
CLEAN_UP_INTERVAL_SECONDS = 10.0


class RequestedBackoff(Struct, frozen=True):
    """The back-off that a response requests from this node.

    Parameters
    ----------
    seconds : float
        Its length; 0 if none is requested.
    is_valid : bool
        False if the length could not be parsed.
    """

    seconds: float
    is_valid: bool = True


NO_BACKOFF = RequestedBackoff(0.0)
INVALID_BACKOFF = RequestedBackoff(INVALID_BACKOFF_SECONDS, is_valid=False)


class AvailabilityChange(Struct, frozen=True):
    """The start of a back-off, or the first report that an endpoint is leaving.

    Parameters
    ----------
    service, endpoint : str
        The service, and the endpoint's identity.
    born : int
        Incarnation that reported it.
    backoff : float or None
        Length of the back-off in seconds; None if the endpoint is leaving.
    availability : Availability
        Availability of that incarnation, updated later.
    """

    service: str
    endpoint: str
    born: int
    backoff: float | None
    availability: object


class Availability(Struct, eq=False, weakref=True):
    """Back-off and draining that one incarnation of an endpoint reported.

    Attributes
    ----------
    backoff_until : float
        End of its back-off, in seconds of the node's clock.
    leaving_until, leaving_reported_at : float
        Time until which it counts as leaving, and time of its last report that it is
        leaving, on the same clock.
    has_instance_id : bool
        Its identity belongs to one incarnation, which does not return after leaving.
    """

    backoff_until: float = -inf
    leaving_until: float = -inf
    leaving_reported_at: float = -inf
    has_instance_id: bool = False

    def record_backoff(self, seconds, now):
        """Record a requested back-off; the latest end applies.

        Parameters
        ----------
        seconds : float
            Length of the back-off.
        now : float
            Time at which the response was read, in seconds of the node's clock.

        Returns
        -------
        bool
            Whether this starts a back-off.
        """
        begins = not self.is_backing_off(now)
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self.backoff_until = max(self.backoff_until, until)
        return begins and self.is_backing_off(now)

    def record_leaving(self, now):
        """Record that the endpoint is leaving; return whether that is new.

        Parameters
        ----------
        now : float
            Time at which the response was read, in seconds of the node's clock.
        """
        is_new = not self.is_leaving(now)
        self.leaving_reported_at = now
        self.leaving_until = inf if self.has_instance_id else now + LEAVING_SECONDS
        return is_new

    def is_leaving(self, now):
        """Return whether the endpoint reported that it is leaving."""
        return now < self.leaving_until

    def needs_leave_renewal(self, now):
        """Return whether a probe is due to check that it is still leaving."""
        return (
            self.is_leaving(now) and self.leaving_until - now < LEAVING_RENEWAL_SECONDS
        )

    def is_backing_off(self, now):
        """Return whether the endpoint's back-off lasts."""
        return now < self.backoff_until

    def takes_requests(self, now):
        """Return whether a request may be sent to the endpoint."""
        return now >= self.backoff_until and now >= self.leaving_until

    def should_retain(self, now):
        """Return whether the record still matters if the incarnation returns."""
        return (
            self.is_backing_off(now)
            or now - self.leaving_reported_at < RETENTION_SECONDS
        )


class AvailabilityRegistry:
    """The Availability of each endpoint incarnation, for all services of a node.

    Parameters
    ----------
    observe : callable
        Called with each AvailabilityChange.

    Attributes
    ----------
    has_instance_ids : bool
        Identities are instance ids, not addresses that other endpoints may reuse.

    Notes
    -----
    An incarnation may disappear from the directory and return, as its entry lapses in
    a store outage or its service is declared again. Its reports apply until it ends.
    """

    def __init__(self, observe=lambda change: None):
        self.observe = observe
        self.has_instance_ids = False
        self._known = WeakValueDictionary()
        self._retained = {}
        self._clean_up_at = -inf

    def get(self, identity, born):
        """Return the Availability of an incarnation, created on first use.

        Parameters
        ----------
        identity : str
            The endpoint's identity.
        born : int
            Its incarnation.
        """
        key = (identity, born)
        availability = self._known.get(key)
        if availability is None:
            availability = self._known[key] = Availability(
                has_instance_id=self.has_instance_ids
            )
        return availability

    def record_backoff(self, service, identity, born, backoff, now):
        """Record the back-off that a response requests.

        Parameters
        ----------
        service, identity : str
            The service, and the endpoint's identity.
        born : int
            Incarnation that responded.
        backoff : RequestedBackoff
            Back-off in the response headers.
        now : float
            Time at which they were read, in seconds of the node's clock.
        """
        if not backoff.seconds:
            return
        availability = self.get(identity, born)
        self._retain((identity, born), availability, now)
        if availability.record_backoff(backoff.seconds, now):
            self._publish_change(service, identity, born, backoff.seconds)

    def record_leaving(self, service, identity, born, now):
        """Record a response that reports the endpoint as leaving.

        Parameters
        ----------
        service, identity : str
            The service, and the endpoint's identity.
        born : int
            Incarnation that responded.
        now : float
            Time at which the response was read, in seconds of the node's clock.
        """
        availability = self.get(identity, born)
        self._retain((identity, born), availability, now)
        if availability.record_leaving(now):
            self._publish_change(service, identity, born, None)

    def _publish_change(self, service, identity, born, backoff):
        availability = self.get(identity, born)
        change = AvailabilityChange(service, identity, born, backoff, availability)
        self.observe(change)

    @property
    def has_retained(self):
        """Whether there are recent reports of any incarnation."""
        return bool(self._retained)

    def count_backing_off(self, now):
        """Return the number of incarnations whose back-off lasts."""
        return sum(item.is_backing_off(now) for item in self._retained.values())

    def count_leaving(self, now):
        """Return the number of incarnations that reported that they are leaving."""
        return sum(item.is_leaving(now) for item in self._retained.values())

    def _retain(self, key, availability, now):
        """Keep an availability that nothing else refers to, and drop outdated ones."""
        if now >= self._clean_up_at:
            self._clean_up_at = now + CLEAN_UP_INTERVAL_SECONDS
            self._retained = {
                key: item
                for key, item in self._retained.items()
                if item.should_retain(now)
            }
        if len(self._retained) < MAX_RETAINED_INCARNATIONS:
            self._retained[key] = availability
