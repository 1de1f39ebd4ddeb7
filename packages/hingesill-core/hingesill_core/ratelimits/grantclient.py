"""Requests grants from coordinators for waiting requests."""

from math import inf

from msgspec import Struct

from hingesill_core.ratelimits.grants import (
    GRANT_REQUEST_INTERVAL_SECONDS,
    GrantPool,
    GrantRequestPace,
)
from hingesill_core.ratelimits.grantscheduler import GrantRun
from hingesill_core.ratelimits.randomadmission import RandomAdmission

__all__ = ["PendingGrantRequest", "GrantClient"]

# Interval of trial requests, which show whether a limit has ended, in seconds.
TRIAL_SECONDS = 1.0
# Consecutive lost grant requests after which a coordinator is skipped, and the time for
# which it is skipped, in seconds.
LOSSES_BEFORE_SKIP = 2
SKIP_SECONDS = 2.0
# Minimum Retry-After of a refusal, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.05


class PendingGrantRequest(Struct, frozen=True):
    """A grant request to a coordinator.

    Parameters
    ----------
    node : tuple
        IP number and port of the coordinator.
    number : int
        Sequence number of this node's grant requests.
    wanted : int
        Number of grants.
    horizon : float
        Seconds within which grants can be used.
    """

    node: tuple
    number: int
    wanted: int
    horizon: float


class GrantClient:
    """Gets grants for the requests of one service at one node.

    Parameters
    ----------
    limits : ServiceLimits
        Limits of the service.
    rng : random.Random
        Source of all random choices.

    Attributes
    ----------
    grants : GrantPool
        Unused grants.
    pace : GrantRequestPace
        Rate limit of grant requests.
    nodes : int
        Number of nodes that share the limits.
    send_request : callable
        Sends a PendingGrantRequest.
    """

    def __init__(self, limits, rng):
        self.limits = limits
        self.rng = rng
        self.grants = GrantPool()
        self.pace = GrantRequestPace()
        self.random_admission = RandomAdmission()
        self.nodes = 1
        self.send_request = lambda request: None
        self._requested_coordinator = None
        self._consecutive_losses = 0
        self._skipped_until = {}
        self._last_trial_at = float("-inf")
        self._denied_until = float("-inf")
        self._retry_at = float("-inf")

    def record_request(self, now):
        """Count a request that needs a grant."""
        self.pace.record_request(now)

    def record_change(self, report, before):
        """Handle the change of an endpoint's limit.

        Parameters
        ----------
        report : ReportedLimit
            The new limit.
        before : float or None
            The earlier limit in requests a second.

        Notes
        -----
        Grants from a higher limit become invalid, and requests that were denied under
        the old limit may be granted now.
        """
        self._denied_until = float("-inf")
        is_higher = before is None or (report.per_second or 0.0) >= before
        if report.per_second is None or not is_higher:
            self.grants.drop(report.endpoint)

    def request_grants(self, waiting, patience, now):
        """Request grants for waiting requests, if necessary.

        Parameters
        ----------
        waiting : int
            Number of waiting requests.
        patience : float
            Seconds for which they wait at most.
        now : float
            Seconds of the node's clock.
        """
        if not self.limits.limited:
            return
        self._record_lost_request(now)
        wanted = self.pace.count_wanted(waiting, self.grants.count(now), now)
        if wanted > 0 and now >= self._denied_until and not self.pace.is_pending(now):
            self._acquire_grants(wanted, patience, now)

    def request_trial_grant(self, now):
        """Request a grant now and then, so that limited endpoints get a request.

        Notes
        -----
        Where replies to load queries contain no limits, only the response to a request
        shows that a limit has ended. Meanwhile other endpoints may have capacity for
        all requests, so that none would be sent to the limited one.
        """
        if self.limits.is_in_health or now - self._last_trial_at < TRIAL_SECONDS:
            return
        self._last_trial_at = now
        self.request_grants(1, GRANT_REQUEST_INTERVAL_SECONDS, now)

    def _acquire_grants(self, wanted, patience, now):
        coordinator = self._find_coordinator(now)
        if coordinator is None:
            self._admit_at_random(now)
            return
        if not self.pace.acquire_token(now):
            return
        horizon = self.pace.choose_horizon(patience, now)
        if coordinator == self.limits.own:
            excluded = self.limits.list_unusable(now)
            self._apply_result(self.limits.grant(wanted, horizon, now, excluded), now)
            return
        self._requested_coordinator = coordinator
        number = self.pace.start_request(now)
        self.send_request(PendingGrantRequest(coordinator, number, wanted, horizon))

    def _find_coordinator(self, now):
        """Return the coordinator to use, which may be this node itself, or None."""
        own = self.limits.own
        if own is None:
            return None
        for node in self.limits.coordinators:
            if node == own or self._skipped_until.get(node, now) <= now:
                return node
        return None

    def _record_lost_request(self, now):
        """Skip a coordinator that did not reply several times in succession."""
        if not self.pace.clear_timed_out(now):
            return
        self._consecutive_losses += 1
        if self._consecutive_losses >= LOSSES_BEFORE_SKIP:
            self._consecutive_losses = 0
            self._skipped_until[self._requested_coordinator] = now + SKIP_SECONDS

    def _admit_at_random(self, now):
        """Admit one request at random at this node's share of the limits."""
        excluded = self.limits.list_unusable(now)
        rates = self.limits.list_rates()
        rates = {name: rate for name, rate in rates.items() if name not in excluded}
        total = sum(rates.values())
        if self.random_admission.admit(total, self.nodes, now, self.rng):
            endpoint = self.rng.choices(list(rates), list(rates.values()))[0]
            self.grants.add(GrantRun(endpoint, 0.0, 0.0, 1), now)
            return
        self._deny(
            MIN_RETRY_AFTER_SECONDS, self.nodes / total if total else SKIP_SECONDS, now
        )

    def handle_reply(self, number, result, pause, now):
        """Apply the reply of a coordinator.

        Parameters
        ----------
        number : int
            Sequence number of the grant request; a late reply, or one to an earlier
            request, is ignored.
        result : GrantResult
            The grants.
        pause : float
            Seconds between two grant requests.
        now : float
            Seconds of the node's clock.
        """
        if not self.pace.complete(number, now):
            return
        self._consecutive_losses = 0
        self.pace.pause = pause
        self._apply_result(result, now)

    def _apply_result(self, result, now):
        for run in result.runs:
            self.grants.add(run, now)
        if result.retry_after > 0 or result.wait > 0:
            self._deny(result.retry_after, result.wait, now)

    def _deny(self, retry_after, wait, now):
        """Deny requests without a grant until the next grant request may get some."""
        self._denied_until = now + max(retry_after, self.pace.get_token_wait(now))
        self._retry_at = now + max(MIN_RETRY_AFTER_SECONDS, wait)

    def list_surplus(self, deadlines, now):
        """Return the indices of waiting requests that get no grant in time.

        Parameters
        ----------
        deadlines : list of float
            Time until which each request waits, the most urgent request first.
        now : float
            Seconds of the node's clock.
        """
        times = self.grants.list_times(now)
        times += [self._get_next_grant_time(now)] * (len(deadlines) - len(times))
        return [index for index, until in enumerate(deadlines) if times[index] > until]

    def _get_next_grant_time(self, now):
        """Return the time from which further grants may be usable."""
        if self.pace.is_pending(now):
            return now
        if now < self._denied_until:
            return inf
        return now + self.pace.get_token_wait(now)

    def get_wait(self, now):
        """Return the seconds until a request that is refused now may get a grant."""
        return max(0.0, self._retry_at - now)
