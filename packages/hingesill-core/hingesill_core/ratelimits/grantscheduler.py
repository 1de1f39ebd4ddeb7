"""Schedule of the requests that a coordinator grants at the endpoints of a service."""

from collections import Counter
from math import exp

from msgspec import Struct, field

__all__ = [
    "GrantScheduler",
    "GrantRun",
    "GrantResult",
    "MAX_HORIZON_SECONDS",
    "MAX_GRANT_RUNS_PER_REPLY",
]

# Maximum time ahead for which requests are granted, in seconds.
MAX_HORIZON_SECONDS = 0.7
# Endpoints in a reply, which has to fit into a datagram.
MAX_GRANT_RUNS_PER_REPLY = 24
# Decay time of the count of refused requests, in seconds.
UNMET_DEMAND_SECONDS = 1.0
# Requests a second below which an endpoint gets no grants.
MIN_RATE = 1e-6


class GrantRun(Struct, frozen=True, array_like=True):
    """Grants at one endpoint for one node, at regular intervals.

    Parameters
    ----------
    endpoint : str
        Identity of the endpoint.
    delay : float
        Seconds from now to the first request.
    interval : float
        Seconds between two requests.
    count : int
        Number of requests.
    """

    endpoint: str
    delay: float
    interval: float
    count: int


class GrantResult(Struct, frozen=True):
    """The outcome of one grant request.

    Parameters
    ----------
    runs : tuple of GrantRun
        The grants.
    retry_after : float
        Seconds until more grants are available; 0 if all wanted grants were given.
    wait : float
        Seconds after which a request that arrives now may get a grant.
    """

    runs: tuple[GrantRun, ...] = ()
    retry_after: float = 0.0
    wait: float = 0.0


class GrantScheduler(Struct):
    """Assigns the requests that limited endpoints accept, at regular intervals.

    Parameters
    ----------
    rng : random.Random
        Chooses the time of the first grant at an endpoint with a new limit.

    Notes
    -----
    Unused capacity is not accumulated: an endpoint that was idle for a long time gets
    one request immediately and the next one after the interval of its limit. At an
    endpoint whose limit is new here the first grant lies within the first interval, as
    another node may have granted requests there until now.
    """

    rng: object
    free_at: dict = field(default_factory=dict)
    rates: dict = field(default_factory=dict)
    unmet: float = 0.0
    unmet_at: float = 0.0

    def grant(self, rates, wanted, horizon, now, excluded=()):
        """Grant requests at the endpoints that are available first.

        Parameters
        ----------
        rates : dict
            Requests a second by identity of all limited endpoints.
        wanted : int
            Number of grants.
        horizon : float
            Seconds from now within which grants can be used.
        now : float
            Seconds of the node's clock.
        excluded : collection of str
            Endpoints that the requesting node does not use now. The schedule of their
            earlier grants is kept.

        Returns
        -------
        GrantResult
        """
        rates = {name: rate for name, rate in rates.items() if rate > MIN_RATE}
        self._set_rates(rates, now)
        usable = [name for name in rates if name not in excluded]
        until = now + min(horizon, MAX_HORIZON_SECONDS)
        runs = self._schedule(usable, wanted, until, now)
        missing = wanted - sum(run.count for run in runs)
        self._record_unmet(missing, now)
        if not missing:
            return GrantResult(runs)
        return GrantResult(runs, *self._estimate_waits(usable, horizon, now))

    def _schedule(self, usable, wanted, until, now):
        """Return GrantRuns at the usable endpoints that are available first."""
        delays = {}
        counts = Counter()
        while usable and counts.total() < wanted:
            endpoint = min(usable, key=self.free_at.__getitem__)
            at = max(now, self.free_at[endpoint])
            if at > until or (
                endpoint not in delays and len(delays) >= MAX_GRANT_RUNS_PER_REPLY
            ):
                break
            delays.setdefault(endpoint, at - now)
            counts[endpoint] += 1
            self.free_at[endpoint] = at + 1 / self.rates[endpoint]
        return tuple(
            GrantRun(endpoint, delay, 1 / self.rates[endpoint], counts[endpoint])
            for endpoint, delay in delays.items()
        )

    def _set_rates(self, rates, now):
        """Replace the limits; delete the schedule of endpoints without one."""
        free_at = {}
        for endpoint, rate in rates.items():
            interval = 1 / rate
            at = self.free_at.get(endpoint)
            if at is None:
                at = now + interval * self.rng.random()
            free_at[endpoint] = min(
                at, now + max(interval, MAX_HORIZON_SECONDS + interval)
            )
        self.free_at = free_at
        self.rates = rates

    def _record_unmet(self, missing, now):
        age = max(0.0, now - self.unmet_at)
        self.unmet = self.unmet * exp(-age / UNMET_DEMAND_SECONDS) + missing
        self.unmet_at = now

    def _estimate_waits(self, usable, horizon, now):
        """Return retry_after and wait of a GrantResult with too few grants."""
        if not usable:
            return UNMET_DEMAND_SECONDS, UNMET_DEMAND_SECONDS
        first = max(0.0, min(self.free_at[name] for name in usable) - now)
        retry_after = max(0.0, first - horizon)
        return retry_after, first + self.unmet / sum(
            self.rates[name] for name in usable
        )
