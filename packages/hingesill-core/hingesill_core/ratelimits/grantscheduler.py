"""What a coordinator has granted of the limits of one service's endpoints."""

from collections import Counter
from math import exp

from msgspec import Struct, field

__all__ = [
    "GrantScheduler",
    "GrantRun",
    "Granted",
    "HORIZON_SECONDS",
    "MAX_GRANT_RUNS_PER_REPLY",
]

# Longest time ahead for which requests are granted, in seconds.
HORIZON_SECONDS = 0.7
# Most endpoints in a reply, so that it fits into a datagram.
MAX_GRANT_RUNS_PER_REPLY = 24
# Time for which refused requests count as demand, in seconds.
UNMET_SECONDS = 1.0
# Requests a second below which an endpoint counts as taking none.
LEAST_RATE = 1e-6


class GrantRun(Struct, frozen=True, array_like=True):
    """Requests that one endpoint takes from a node, one after another.

    Parameters
    ----------
    endpoint : str
        Its identity.
    delay : float
        Seconds from now at which it takes the first one.
    interval : float
        Seconds between two of them.
    count : int
        How many.
    """

    endpoint: str
    delay: float
    interval: float
    count: int


class Granted(Struct, frozen=True):
    """What one ask brought.

    Parameters
    ----------
    runs : tuple of GrantRun
        What endpoints take.
    retry_after : float
        Seconds until more may be granted; 0 if all was that was wanted.
    wait : float
        Seconds after which a request that came now may be granted.
    """

    runs: tuple[GrantRun, ...] = ()
    retry_after: float = 0.0
    wait: float = 0.0


class GrantScheduler(Struct):
    """Gives out the requests that endpoints take, one after another.

    Parameters
    ----------
    rng : random.Random
        Chooses where an endpoint that is new here begins.

    Notes
    -----
    Nothing is saved up: an endpoint that was left alone for long takes one request at
    once, and the next one when its limit allows it. One whose limit is new here begins
    within its first interval, as another node may have granted for it until now.
    """

    rng: object
    free_at: dict = field(default_factory=dict)
    rates: dict = field(default_factory=dict)
    unmet: float = 0.0
    unmet_at: float = 0.0

    def grant(self, rates, wanted, horizon, now, excluded=()):
        """Grant requests at the endpoints that are free first.

        Parameters
        ----------
        rates : dict
            Requests a second by identity of all limited endpoints.
        wanted : int
            How many.
        horizon : float
            Seconds from now within which they are of use.
        now : float
            The time.
        avoid : collection of str
            Endpoints that the node which asks does not use now. What was granted
            there is remembered all the same.

        Returns
        -------
        Granted
        """
        rates = {name: rate for name, rate in rates.items() if rate > LEAST_RATE}
        self._adopt(rates, now)
        usable = [name for name in rates if name not in excluded]
        until = now + min(horizon, HORIZON_SECONDS)
        runs = self._give_out(usable, wanted, until, now)
        missing = wanted - sum(run.count for run in runs)
        self._note_unmet(missing, now)
        if not missing:
            return Granted(runs)
        return Granted(runs, *self._estimate(usable, horizon, now))

    def _give_out(self, usable, wanted, until, now):
        """Return GrantRuns, of the usable endpoints that are free first."""
        begun = {}
        counts = Counter()
        while usable and counts.total() < wanted:
            endpoint = min(usable, key=self.free_at.__getitem__)
            at = max(now, self.free_at[endpoint])
            if at > until or (
                endpoint not in begun and len(begun) >= MAX_GRANT_RUNS_PER_REPLY
            ):
                break
            begun.setdefault(endpoint, at - now)
            counts[endpoint] += 1
            self.free_at[endpoint] = at + 1 / self.rates[endpoint]
        return tuple(
            GrantRun(endpoint, delay, 1 / self.rates[endpoint], counts[endpoint])
            for endpoint, delay in begun.items()
        )

    def _adopt(self, rates, now):
        """Take the limits as they are now; what is not limited is forgotten."""
        free_at = {}
        for endpoint, rate in rates.items():
            interval = 1 / rate
            at = self.free_at.get(endpoint)
            if at is None:
                at = now + interval * self.rng.random()
            free_at[endpoint] = min(at, now + max(interval, HORIZON_SECONDS + interval))
        self.free_at = free_at
        self.rates = rates

    def _note_unmet(self, missing, now):
        age = max(0.0, now - self.unmet_at)
        self.unmet = self.unmet * exp(-age / UNMET_SECONDS) + missing
        self.unmet_at = now

    def _estimate(self, usable, horizon, now):
        """Return retry_after and wait of a Granted that lacks some."""
        if not usable:
            return UNMET_SECONDS, UNMET_SECONDS
        first = max(0.0, min(self.free_at[name] for name in usable) - now)
        retry_after = max(0.0, first - horizon)
        return retry_after, first + self.unmet / sum(
            self.rates[name] for name in usable
        )
