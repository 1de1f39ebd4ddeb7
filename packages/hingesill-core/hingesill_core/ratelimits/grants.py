"""Unused grants of a node, and the rate of its grant requests."""

from itertools import chain
from math import ceil, exp, floor

from msgspec import Struct

from hingesill_core.ratelimits.grantscheduler import MAX_HORIZON_SECONDS

__all__ = ["GrantRequestPace", "Grant", "GrantPool"]

# Lifetime of a grant, in seconds: longer than a load query takes.
GRANT_LIFETIME_SECONDS = 0.6
# Minimum interval of grant requests, in seconds, and the burst after an idle time.
GRANT_REQUEST_INTERVAL_SECONDS = 0.6
GRANT_REQUEST_BURST = 2.0
# Timeout of a grant request, in seconds.
REPLY_TIMEOUT_SECONDS = 0.15
# Time for the round trip to the coordinator and one round of this node, in seconds.
# Under overload grants become usable at the end of the requested horizon, so it must be
# shorter than the patience of the waiting requests.
HORIZON_MARGIN_SECONDS = 0.05
# Mean number of requests in a grant's lifetime that makes a node busy: it then requests
# grants for all requests that will arrive before its next grant request.
BUSY_REQUESTS_PER_GRANT = 4.5
# Share of the expected requests for which a node that is not busy requests grants.
PREFETCH_SHARE = 0.8
# Window in which requests that need a grant are counted, in seconds; long enough that
# random variation does not make a node busy.
DEMAND_WINDOW_SECONDS = 2.0
# Upper bound of the grants in one grant request.
MAX_GRANTS_PER_REQUEST = 1024


class Grant(Struct, frozen=True):
    """Permission to send one request to an endpoint; times of the node's clock."""

    endpoint: str
    usable_from: float
    expires_at: float


class GrantPool:
    """Unused grants by endpoint, in order of time."""

    def __init__(self):
        self._grants = {}

    def add(self, run, now):
        """Add the grants of a GrantRun."""
        grants = self._grants.setdefault(run.endpoint, [])
        for number in range(run.count):
            usable_from = now + run.delay + number * run.interval
            expires_at = usable_from + GRANT_LIFETIME_SECONDS
            grants.append(Grant(run.endpoint, usable_from, expires_at))
        grants.sort(key=lambda grant: grant.usable_from)

    def find(self, endpoint, now):
        """Return a Grant that is usable now at an endpoint, or None."""
        for grant in self._grants.get(endpoint, ()):
            if grant.usable_from <= now < grant.expires_at:
                return grant
        return None

    def remove(self, grant):
        """Remove a grant that is used."""
        self._grants[grant.endpoint].remove(grant)

    def count(self, now):
        """Return the number of grants that are usable now or later."""
        return len(self.list_times(now))

    def list_times(self, now):
        """Return the times from which the grants are usable, the earliest first."""
        self._delete_expired(now)
        grants = chain.from_iterable(self._grants.values())
        return sorted(grant.usable_from for grant in grants)

    def _delete_expired(self, now):
        """Delete the grants that have expired."""
        for endpoint, grants in list(self._grants.items()):
            remaining = [grant for grant in grants if now < grant.expires_at]
            if remaining:
                self._grants[endpoint] = remaining
            else:
                del self._grants[endpoint]

    def drop(self, endpoint):
        """Delete the grants at an endpoint."""
        self._grants.pop(endpoint, None)


class GrantRequestPace(Struct):
    """The rate limit of a node's grant requests, and their size.

    Attributes
    ----------
    pause : float
        Seconds between two grant requests.
    tokens : float
        Grant requests that may be sent immediately.
    refilled_at : float
        Time of the last refill of the tokens.
    demand : float
        Decaying count of requests that needed a grant.
    demand_at : float
        Time of the last update of the demand.
    number : int
        Sequence number of the last grant request.
    requested_at : float or None
        Time of the pending grant request; None after its reply or its timeout.
    """

    pause: float = GRANT_REQUEST_INTERVAL_SECONDS
    tokens: float = GRANT_REQUEST_BURST
    refilled_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    number: int = 0
    requested_at: float | None = None

    def record_request(self, now):
        """Count a request that needs a grant."""
        self.demand = self._count_demand(now) + 1
        self.demand_at = now

    def _count_demand(self, now):
        return self.demand * exp(
            -max(0.0, now - self.demand_at) / DEMAND_WINDOW_SECONDS
        )

    def is_busy(self, now):
        """Return whether a grant is used before it expires, whenever it arrives."""
        return (
            self._count_demand(now) / DEMAND_WINDOW_SECONDS * GRANT_LIFETIME_SECONDS
            >= BUSY_REQUESTS_PER_GRANT
        )

    def count_wanted(self, waiting, unused, now):
        """Return the number of grants to request.

        Notes
        -----
        A busy node requests grants ahead of demand: otherwise a node with most of the
        traffic would get grants for one request at a time. At any other node, a grant
        that arrives after its request has ended would be wasted.
        """
        rate = self._count_demand(now) / DEMAND_WINDOW_SECONDS
        if self.is_busy(now):
            ahead = max(0, ceil(rate * self.pause) - waiting)
        else:
            ahead = floor(rate * GRANT_LIFETIME_SECONDS * PREFETCH_SHARE)
        waiting += ahead
        return min(MAX_GRANTS_PER_REQUEST, waiting) - unused

    def choose_horizon(self, patience, now):
        """Return the seconds within which grants can be used."""
        if self.is_busy(now):
            return MAX_HORIZON_SECONDS
        return max(0.0, min(patience - HORIZON_MARGIN_SECONDS, MAX_HORIZON_SECONDS))

    def acquire_token(self, now):
        """Return whether a grant request may be sent now, and count it."""
        gained = max(0.0, now - self.refilled_at) / self.pause
        self.tokens = min(GRANT_REQUEST_BURST, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def get_token_wait(self, now):
        """Return the seconds until the next grant request may be sent."""
        gained = max(0.0, now - self.refilled_at) / self.pause
        return max(0.0, (1.0 - self.tokens - gained) * self.pause)

    def start_request(self, now):
        """Record that a grant request is sent; return its number."""
        self.number += 1
        self.requested_at = now
        return self.number

    def is_pending(self, now):
        """Return whether a grant request waits for its reply."""
        return (
            self.requested_at is not None
            and now - self.requested_at < REPLY_TIMEOUT_SECONDS
        )

    def clear_timed_out(self, now):
        """Return whether a grant request has timed out, once for each."""
        if self.requested_at is None or self.is_pending(now):
            return False
        self.requested_at = None
        return True

    def complete(self, number, now):
        """Return whether a reply is in time and belongs to the pending request."""
        if number != self.number or not self.is_pending(now):
            return False
        self.requested_at = None
        return True
