"""The limits of one service's endpoints at one node."""

from msgspec import Struct
from msgspec.structs import replace

from hingesill_core.ratelimits.grantclient import GrantClient
from hingesill_core.ratelimits.grantscheduler import GrantScheduler
from hingesill_core.ratelimits.reportedlimits import LimitTable, ReportedLimit

__all__ = ["GONE", "LimitChange", "ServiceLimits"]

# Lowest limit that the coordinator assumes, in requests a second, where only responses
# to requests show that a limit has ended.
MIN_TRIAL_RATE = 0.25
# Source of a change: the endpoint has left the directory.
GONE = "gone"
# Share of the limits that the substitute grants: some nodes may still reach the primary
# coordinator, and both together must keep the limit.
SUBSTITUTE_SHARE = 0.5
# Age of a report from which on a limited endpoint is queried, in seconds.
STALE_SECONDS = 0.5


class LimitChange(Struct, frozen=True):
    """Start, change or end of an endpoint's limit, as far as this node knows.

    Parameters
    ----------
    service : str
        Name of the service.
    report : ReportedLimit
        The new limit.
    before : float or None
        The earlier limit in requests a second.
    source : str
        ``answer``, ``health``, ``node``, or ``gone``.
    """

    service: str
    report: ReportedLimit
    before: float | None
    source: str


class ServiceLimits:
    """Enforces the limits of a service's endpoints together with other nodes.

    The primary coordinator, a node that is found by hashing, grants the requests that
    the endpoints accept at regular intervals, and the other nodes request grants ahead
    of demand. So the limit holds whatever the number of nodes, no capacity accumulates
    while callers pause, and a node with most of the callers gets most of the grants.
    While no coordinator replies, each node admits an equal share at random.

    Parameters
    ----------
    name : str
        Name of the service.
    rng : random.Random
        Source of all random choices.
    observe : callable
        Called with each LimitChange.

    Attributes
    ----------
    limited : dict
        Requests a second by identity, for the endpoints that have a limit now. It is
        read for each request, so it is changed in place and never replaced.
    coordinators : list
        Addresses of the coordinators, the primary first.
    own : tuple or None
        The node's own address; None if other nodes cannot reach it.
    grant_client : GrantClient
        Requests grants for this node.
    usable : callable
        Returns whether an endpoint accepts requests, given its identity and the time.
    """

    def __init__(self, name, rng, observe=lambda change: None):
        self.name = name
        self.observe = observe
        self.table = LimitTable()
        self.limited = self.table.limited
        self.scheduler = GrantScheduler(rng)
        self.grant_client = GrantClient(self, rng)
        self.coordinators = []
        self.own = None
        self.usable = lambda endpoint, now: True
        # A reply to a load query without a limit ends a limit only if an earlier reply
        # to a load query contained one.
        self.is_in_health = False
        # Limited endpoints whose limit may have ended: another node has a report of the
        # end, and its order to the report of this node is uncertain.
        self.uncertain_ends = set()
        # Current incarnation by identity of the registered endpoints; None until known.
        self.incarnations = None

    def record(self, endpoint, born, parsed, sent_at, now, is_health=False):
        """Record the limit in a response of an endpoint, or the absence of one.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        born : int
            Incarnation that responded.
        parsed : ParsedLimit
            The limit in the header of the response.
        sent_at, now : float
            Time at which the request was sent and time at which the header was read.
        is_health : bool
            Whether the response is a reply to a load query.
        """
        per_second = parsed.per_second
        if per_second is None and not (self.limited and parsed.is_valid):
            return
        if is_health and per_second is not None:
            self.is_in_health = True
        if is_health and not self.is_in_health:
            return
        report = ReportedLimit(endpoint, born, per_second, sent_at, now)
        self.apply_report(report, "health" if is_health else "answer")

    def apply_report(self, report, source):
        """Apply a report; return whether it changed the endpoint's limit."""
        incarnations = self.incarnations or {}
        if incarnations.get(report.endpoint, report.born) != report.born:
            return False
        known = self.table.get(report.endpoint)
        if not self.table.apply_report(report):
            return False
        before = None if known is None else known.per_second
        self.grant_client.record_change(report, before)
        self.observe(LimitChange(self.name, report, before, source))
        return True

    def has_same(self, report):
        """Return whether a report agrees with the known one."""
        known = self.table.get(report.endpoint)
        return (
            known is not None
            and known.born == report.born
            and known.per_second == report.per_second
        )

    def record_uncertain_end(self, report):
        """Record the end of a limit that another node reports and that didn't apply.

        Notes
        -----
        The other node does not query the endpoint again, as it knows no limit. So no
        later report of the end would reach this node.
        """
        known = self.table.get(report.endpoint)
        if (
            report.endpoint in self.limited
            and known.born == report.born
            and report.latest > known.earliest
        ):
            self.uncertain_ends.add(report.endpoint)

    def keep(self, incarnations):
        """Delete the reports of endpoints that have left.

        Parameters
        ----------
        incarnations : dict
            Current incarnation by identity of the registered endpoints.
        """
        self.incarnations = incarnations
        for report in self.table.keep(incarnations):
            self.grant_client.grants.drop(report.endpoint)
            if report.per_second is not None:
                ended = replace(report, per_second=None)
                self.observe(LimitChange(self.name, ended, report.per_second, GONE))

    def is_primary(self):
        """Return whether this node is the primary coordinator."""
        return self.own is not None and self.coordinators[:1] == [self.own]

    def list_stale(self, now):
        """Return the limited endpoints without a recent report."""
        return [
            report.endpoint
            for report in self.table.list_limited()
            if now - report.latest > STALE_SECONDS
        ]

    def take_queried(self, now):
        """Return the endpoints that this node has to query for their limits now.

        Notes
        -----
        The primary coordinator queries limited endpoints on behalf of all nodes.
        """
        queried = set(self.list_stale(now)) if self.is_primary() else set()
        queried |= self.uncertain_ends & self.limited.keys()
        self.uncertain_ends.clear()
        return sorted(queried)

    def allows(self, endpoint, now):
        """Return whether a request may be sent to an endpoint now."""
        return (
            endpoint not in self.limited
            or self.grant_client.grants.find(endpoint, now) is not None
        )

    def consume_grant(self, endpoint, now):
        """Use a grant for a request that is sent to a limited endpoint."""
        if endpoint not in self.limited:
            return
        grant = self.grant_client.grants.find(endpoint, now)
        if grant is not None:
            self.grant_client.grants.remove(grant)

    def grant(self, wanted, horizon, now, excluded):
        """Return the GrantResult of a grant request, as a coordinator.

        Notes
        -----
        This node's own view of the endpoints has no effect on the grants of other
        nodes: it may be unable to reach an endpoint that all others reach.
        """
        return self.scheduler.grant(self.list_rates(), wanted, horizon, now, excluded)

    def list_unusable(self, now):
        """Return the limited endpoints that this node does not use now."""
        return [name for name in self.limited if not self.usable(name, now)]

    def list_rates(self):
        """Return the rates at which this node grants requests, by endpoint."""
        share = SUBSTITUTE_SHARE if self._is_substitute() else 1.0
        min_rate = 0.0 if self.is_in_health else MIN_TRIAL_RATE
        return {
            endpoint: max(share * rate, min_rate)
            for endpoint, rate in self.limited.items()
        }

    def _is_substitute(self):
        return bool(self.coordinators) and not self.is_primary()
