"""The grants that a node holds, and when it requests more."""

from itertools import chain
from math import ceil, exp, floor

from msgspec import Struct

from hingesill_core.ratelimits.grantscheduler import HORIZON_SECONDS

__all__ = ["GrantRequestPace", "Grant", "GrantPool"]

# Lifetime of a grant, in seconds: longer than a load query takes.
GRANT_SECONDS = 0.6
# Shortest interval of grant requests, in seconds, and the burst after an idle time.
PAUSE_SECONDS = 0.6
MOST_AT_ONCE = 2.0
# Timeout of a grant request, in seconds.
REPLY_SECONDS = 0.15
# Round trip to the coordinator and one round of this node, in seconds. Under overload
# grants fall due at the end of the requested horizon, so that must end earlier.
MARGIN_SECONDS = 0.05
# Mean number of requests in a grant's lifetime from which on a node is busy and
# requests grants for all that will arrive until its next grant request.
BUSY_USES = 4.5
# Share of the expected requests for which any other node requests grants.
LIKELY_USED = 0.8
# Window in which requests that need a grant are counted, in seconds; long enough that
# random variation does not make a node busy.
COUNTED_SECONDS = 2.0
# Most grants in one request.
MAX_GRANTS_PER_REQUEST = 1024


class Grant(Struct, frozen=True):
    """One request that an endpoint takes from this node; times of the node's clock."""

    endpoint: str
    usable_from: float
    until: float


class GrantPool:
    """Grants that were not used yet, by endpoint, the first one first."""

    def __init__(self):
        self._grants = {}

    def add(self, run, now):
        """Take the grants of a GrantRun."""
        grants = self._grants.setdefault(run.endpoint, [])
        for number in range(run.count):
            usable_from = now + run.delay + number * run.interval
            until = usable_from + GRANT_SECONDS
            grants.append(Grant(run.endpoint, usable_from, until))
        grants.sort(key=lambda grant: grant.usable_from)

    def find(self, endpoint, now):
        """Return a Grant that may be used now at an endpoint, or None."""
        for grant in self._grants.get(endpoint, ()):
            if grant.usable_from <= now < grant.until:
                return grant
        return None

    def use(self, grant):
        """Take a grant out."""
        self._grants[grant.endpoint].remove(grant)

    def count(self, now):
        """Return how many may still be used, now or soon."""
        return len(self.list_times(now))

    def list_times(self, now):
        """Return from when on the grants may be used, the first one first."""
        self._forget(now)
        grants = chain.from_iterable(self._grants.values())
        return sorted(grant.usable_from for grant in grants)

    def _forget(self, now):
        """Forget the grants that have ended."""
        for endpoint, grants in list(self._grants.items()):
            left = [grant for grant in grants if now < grant.until]
            if left:
                self._grants[endpoint] = left
            else:
                del self._grants[endpoint]

    def drop(self, endpoint):
        """Forget the grants at an endpoint."""
        self._grants.pop(endpoint, None)


class GrantRequestPace(Struct):
    """When a node may ask, and for how many.

    Attributes
    ----------
    pause : float
        Seconds between two asks.
    allowed : float
        Asks that may be made at once.
    counted_at : float
        When that was counted.
    demand : float
        Requests in about the last second that needed a grant.
    noted_at : float
        When these were counted.
    number : int
        Of the last ask.
    asked_at : float or None
        When it was made; None if it was replied to, or is lost.
    """

    pause: float = PAUSE_SECONDS
    allowed: float = MOST_AT_ONCE
    counted_at: float = 0.0
    demand: float = 0.0
    noted_at: float = 0.0
    number: int = 0
    asked_at: float | None = None

    def record_request(self, now):
        """Count a request that needs a grant."""
        self.demand = self._count_demand(now) + 1
        self.noted_at = now

    def _count_demand(self, now):
        return self.demand * exp(-max(0.0, now - self.noted_at) / COUNTED_SECONDS)

    def is_busy(self, now):
        """Tell whether a grant that comes at any time is used before it ends."""
        return self._count_demand(now) / COUNTED_SECONDS * GRANT_SECONDS >= BUSY_USES

    def count_wanted(self, waiting, held, now):
        """Return how many grants are worth asking for.

        Notes
        -----
        A busy node asks ahead of need: with most of the traffic it would otherwise get
        one request at a time. Elsewhere a grant that comes when the request that waits
        for it is gone would be lost.
        """
        rate = self._count_demand(now) / COUNTED_SECONDS
        if self.is_busy(now):
            ahead = max(0, ceil(rate * self.pause) - waiting)
        else:
            ahead = floor(rate * GRANT_SECONDS * LIKELY_USED)
        waiting += ahead
        return min(MAX_GRANTS_PER_REQUEST, waiting) - held

    def choose_horizon(self, patience, now):
        """Return the seconds within which grants are of use."""
        if self.is_busy(now):
            return HORIZON_SECONDS
        return max(0.0, min(patience - MARGIN_SECONDS, HORIZON_SECONDS))

    def take_turn(self, now):
        """Tell whether an ask may be made now, and count it."""
        gained = max(0.0, now - self.counted_at) / self.pause
        self.allowed = min(MOST_AT_ONCE, self.allowed + gained)
        self.counted_at = now
        if self.allowed < 1.0:
            return False
        self.allowed -= 1.0
        return True

    def get_pause(self, now):
        """Return the seconds until the next ask may be made."""
        rested = max(0.0, now - self.counted_at) / self.pause
        return max(0.0, (1.0 - self.allowed - rested) * self.pause)

    def begin(self, now):
        """Note an ask that is sent; return its number."""
        self.number += 1
        self.asked_at = now
        return self.number

    def is_open(self, now):
        """Tell whether an ask waits for its reply."""
        return self.asked_at is not None and now - self.asked_at < REPLY_SECONDS

    def take_lost(self, now):
        """Tell, once for each, whether an ask got no reply."""
        if self.asked_at is None or self.is_open(now):
            return False
        self.asked_at = None
        return True

    def end(self, number, now):
        """Tell whether a reply is in time and the one that is waited for."""
        if number != self.number or not self.is_open(now):
            return False
        self.asked_at = None
        return True
