"""Tokens of organisations' quotas for the requests at one node."""

import heapq
from collections import deque
from itertools import count

import eventlet
from eventlet import event as green_event
from msgspec import Struct, field

from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus, QuotaTolerance
from hingesill_core.quotas.fleet import (
    MAX_WAIT_SECONDS as DECISION_SECONDS,
    FleetQuotas,
)
from hingesill_node.quotas.labels import OrganisationLabels
from hingesill_node.quotas.quotalog import QuotaLog

__all__ = ["MAX_WAIT_SECONDS", "QuotaGate", "compute_max_age", "split_tolerance"]

# Time after which a request gets its decision, in seconds; a little more than that of
# the decisions, so that they are due.
MAX_WAIT_SECONDS = DECISION_SECONDS + 0.0005
# Interval at which decisions on waiting requests are read, in seconds.
RESUME_INTERVAL_SECONDS = 0.005
# Age after which waits without a decision are deleted, in seconds. No request waits
# that long: the organisation was removed in the meantime.
MAX_WAITER_AGE_SECONDS = 1.0
# Retry-After of a request whose decision did not arrive in time, in seconds.
DEFAULT_RETRY_AFTER_SECONDS = 0.1
# Share of the tolerance for tokens that requests hold while they wait for an endpoint:
# requests with tokens of several seconds may arrive at endpoints within one.
HELD_SHARE = 0.4
# Interval at which held tokens are checked, in seconds.
EXPIRY_INTERVAL_SECONDS = 0.05
# Minimum time for which a token may be held, in seconds: the wait for the token and the
# connection to the endpoint take part of it.
MIN_AGE_SECONDS = 0.05
NO_DECISION = QuotaDecision(QuotaStatus.REFUSED, DEFAULT_RETRY_AFTER_SECONDS)


class Waiter(Struct, eq=False):
    """A request that waits for its decision.

    Attributes
    ----------
    since : float
        Time at which the wait began.
    is_abandoned : bool
        The decision is no longer needed; a token is given back.
    """

    since: float
    is_abandoned: bool = False
    event: object = field(default_factory=green_event.Event)


class QuotaGate:
    """Gets tokens for requests and counts them.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    tolerance : QuotaTolerance
        How far the arrivals of all nodes together may exceed a quota.
    clock : callable
        Seconds of a clock that continues while the node is suspended.
    quotas : FleetQuotas or None
        The decisions; created if None.

    Attributes
    ----------
    on_activity : callable
        Called after a request asked for a token.
    on_coordinator_lost : callable
        Called with the address of a coordinator that does not answer.
    """

    def __init__(self, rng, tolerance, clock, quotas=None):
        self.clock = clock
        self.log = QuotaLog(clock)
        kept, self.held_tolerance = split_tolerance(tolerance)
        self.quotas = quotas or FleetQuotas(rng, kept, self._handle_change)
        self.labels = OrganisationLabels("quota")
        self.on_activity = lambda: None
        self.on_coordinator_lost = lambda node: None
        self._on_configured = lambda: None
        self._organisations = None
        self._waiters = {}
        self._resume_loop = None
        # Requests with a token, by the time at which it expires, and by organisation.
        self._holders = []
        self._holders_by_name = {}
        self._numbers = count()
        self._expiry_loop = None

    def _handle_change(self, change):
        """Log a QuotaChange, and have a coordinator checked that does not answer."""
        self.log.log_change(change)
        if change.kind == "coordinator-lost" and change.coordinator is not None:
            self.on_coordinator_lost(change.coordinator)

    def configure(self, organisations):
        """Set the organisations: a dict of Organisation by name, or None."""
        if organisations is self._organisations:
            return
        self._organisations = organisations
        self.labels.configure(organisations)
        self.quotas.configure(organisations, self.clock())
        self._on_configured()

    def watch_organisations(self, callback):
        """Call a function when the organisations change, and now if there are any."""
        self._on_configured = callback
        if self._organisations is not None:
            callback()

    def knows(self, name):
        """Return whether an organisation is in the configuration."""
        return self._organisations is not None and name in self._organisations

    def count_over(self):
        """Return the number of organisations that are over their quota."""
        return sum(usage.is_over for usage in self.quotas.usage.values())

    def count_waiting(self):
        """Return the number of requests that wait for a token."""
        return sum(
            not waiter.is_abandoned
            for waiters in self._waiters.values()
            for waiter in waiters
        )

    def get_max_age(self, organisation):
        """Return the seconds for which a token may be held before it is used."""
        return compute_max_age(self.held_tolerance, organisation)

    def acquire(self, name, may_wait):
        """Return the QuotaDecision on one arrival, which is never ``WAITING``.

        Parameters
        ----------
        name : str
            Name of the organisation.
        may_wait : bool
            Whether the decision may take `MAX_WAIT_SECONDS`; otherwise a request
            without a token at once is refused.
        """
        now = self.clock()
        decision = self.quotas.acquire(name, now)
        self.on_activity()
        if decision.status is QuotaStatus.WAITING:
            waiter = Waiter(now, is_abandoned=not may_wait)
            self._add(name, waiter)
            decision = self._wait(name, waiter) if may_wait else NO_DECISION
            self.labels.add(name, "waited" if may_wait else "not-waited")
        if decision.status is QuotaStatus.ADMITTED:
            self.labels.add(name, "admitted")
        return decision

    def _add(self, name, waiter):
        self._waiters.setdefault(name, deque()).append(waiter)
        if self._resume_loop is None:
            self._resume_loop = eventlet.spawn(self._run_resumptions)

    def _wait(self, name, waiter):
        """Return the decision on a waiting request."""
        try:
            waiter.event.wait(timeout=MAX_WAIT_SECONDS)
            if not waiter.event.ready():
                read_pending_datagrams()
                self.resume(name)
        finally:
            waiter.is_abandoned = not waiter.event.ready()
        return NO_DECISION if waiter.is_abandoned else waiter.event.wait()

    def _run_resumptions(self):
        """Read decisions as long as requests wait."""
        while self._waiters:
            eventlet.sleep(RESUME_INTERVAL_SECONDS)
            read_pending_datagrams()
            for name in list(self._waiters):
                self.resume(name)
        self._resume_loop = None

    def resume(self, name):
        """Deliver decisions to the waiting requests of an organisation."""
        now = self.clock()
        waiters = self._waiters.get(name, ())
        for decision in self.quotas.resume(name, now):
            waiter = waiters.popleft() if waiters else None
            if waiter is not None and not waiter.is_abandoned:
                waiter.event.send(decision)
            elif decision.status is QuotaStatus.ADMITTED:
                self.quotas.give_back(name, now)
        while waiters and now - waiters[0].since > MAX_WAITER_AGE_SECONDS:
            waiters.popleft()
        if not waiters:
            self._waiters.pop(name, None)

    def watch_token(self, holder, token):
        """Have a request give its token back at the end of the token's time."""
        item = (token.expires_at, next(self._numbers), holder, token)
        heapq.heappush(self._holders, item)
        holders = self._holders_by_name.setdefault(token.organisation, deque())
        holders.append((holder, token))
        if self._expiry_loop is None:
            self._expiry_loop = eventlet.spawn(self._run_expiry)

    def _run_expiry(self):
        while self._holders:
            remaining = self._holders[0][0] - self.clock()
            eventlet.sleep(max(EXPIRY_INTERVAL_SECONDS, remaining))
            self.expire_tokens()
        self._expiry_loop = None

    def exchange_token(self, name, expired):
        """Return a valid token of another request that waits for an endpoint, or None.

        Parameters
        ----------
        name : str
            Name of the organisation.
        expired : Token
            What that request holds from now on; it is sent later.

        Notes
        -----
        Where requests wait for long, each is sent with the token of a later one.
        """
        now = self.clock()
        holders = self._holders_by_name.get(name, ())
        while holders:
            holder, token = holders.popleft()
            if holder.holds(token) and now <= token.expires_at:
                holder.replace(expired)
                return token
        return None

    def expire_tokens(self):
        """Have tokens given back that were held for too long.

        Notes
        -----
        The requests get other ones when they are sent. If their organisation is over
        its quota they keep what they have: others would take the tokens at once, and
        no waiting request would find one.
        """
        now = self.clock()
        usage = None
        while self._holders and self._holders[0][0] <= now:
            _, _, holder, token = heapq.heappop(self._holders)
            self._drop_expired(token.organisation, now)
            if not holder.holds(token):
                continue
            usage = self.quotas.usage if usage is None else usage
            used = usage.get(token.organisation)
            if used is None or not used.is_over:
                holder.release()

    def _drop_expired(self, name, now):
        holders = self._holders_by_name.get(name)
        while holders and holders[0][1].expires_at <= now:
            holders.popleft()
        if not holders:
            self._holders_by_name.pop(name, None)

    def give_back(self, name):
        """Return a token that no endpoint used."""
        self.labels.add(name, "returned")
        self.quotas.give_back(name, self.clock())

    def log_refusal(self, request_id, organisation, decision, waited):
        """Count and log the refusal of a request without a token."""
        self.labels.add(organisation.name, "refused")
        self.log.log_refusal(
            request_id,
            organisation,
            decision,
            waited,
            lambda: self.quotas.usage.get(organisation.name),
        )


def read_pending_datagrams():
    """Let the node's port handle what has arrived.

    Notes
    -----
    After a process stood still, timers run before sockets are read. Requests would be
    refused although their tokens have arrived.
    """
    eventlet.sleep(0)


def split_tolerance(tolerance):
    """Return the tolerances of the fleet's allocation and of held tokens."""
    window = tolerance.window_seconds
    return tuple(
        QuotaTolerance(window, share * tolerance.overshoot, share * tolerance.slack)
        for share in (1 - HELD_SHARE, HELD_SHARE)
    )


def compute_max_age(tolerance, organisation):
    """Return the seconds for which a token may be held.

    Parameters
    ----------
    tolerance : QuotaTolerance
        The part of the tolerance for held tokens.
    organisation : Organisation
        An organisation with a quota.

    Notes
    -----
    Requests that arrive in a window use tokens of this window and of the age before it.
    The rate of that age has to fit into the tolerance.
    """
    rate, burst = organisation.rate, organisation.burst
    window_quota = rate * tolerance.window_seconds + burst
    age = (tolerance.overshoot * window_quota + tolerance.slack) / rate
    return max(MIN_AGE_SECONDS, age)
