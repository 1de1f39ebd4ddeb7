"""What the endpoints of one service still take, at one node."""

from msgspec import Struct
from msgspec.structs import replace

from hingesill_core.ratelimits.grantclient import GrantClient
from hingesill_core.ratelimits.grantscheduler import GrantScheduler
from hingesill_core.ratelimits.reportedlimits import LimitBook, ReportedLimit

__all__ = ["GONE", "LimitChange", "ServiceLimits"]

# Lowest limit that the coordinator assumes, in requests a second, where only answers to
# requests tell that a limit has ended.
LEAST_TRIED_RATE = 0.25
# Source of a change: the endpoint has left the directory.
GONE = "gone"
# Share of the limits that a substitute grants: some nodes may still reach the first
# coordinator, and both together must keep the limit.
SECOND_PART = 0.5
# Time without an answer after which a limited endpoint is queried, in seconds.
UNHEARD_SECONDS = 0.5


class LimitChange(Struct, frozen=True):
    """An endpoint's limit began, changed or ended, as far as this node knows.

    Parameters
    ----------
    service : str
        The endpoint's.
    word : ReportedLimit
        What it says now.
    before : float or None
        Requests a second that it named before.
    source : str
        ``answer``, ``health``, ``node``, or ``gone``.
    """

    service: str
    report: ReportedLimit
    before: float | None
    source: str


class ServiceLimits:
    """Keeps the limits that endpoints of a service name, together with other nodes.

    A first node of the fleet, found by hashing, grants what the endpoints take, one
    request after another, and the others ask it ahead of need: so the limit holds
    whatever the number of nodes, nothing is saved up while callers rest, and a node
    with most of the callers gets most of it. While no coordinator replies, each node
    takes an even part by chance.

    Parameters
    ----------
    name : str
        Of the service.
    rng : random.Random
        For all choices.
    observe : callable
        Called with each LimitChange.

    Attributes
    ----------
    limited : dict
        Requests a second by identity, of the endpoints that name a limit now. It is
        looked at for each request, so it is changed in place and never replaced.
    coordinators : list
        Addresses of the nodes that grant, the first one first.
    own : tuple or None
        The node's own address; None if it can't be reached by others.
    grant_client : GrantClient
        Gets this node's requests their grants.
    usable : callable
        Tells by identity and time whether an endpoint takes any work.
    """

    def __init__(self, name, rng, observe=lambda change: None):
        self.name = name
        self.observe = observe
        self.book = LimitBook()
        self.limited = self.book.limited
        self.ledger = GrantScheduler(rng)
        self.grant_client = GrantClient(self, rng)
        self.coordinators = []
        self.own = None
        self.usable = lambda endpoint, now: True
        # Only once an answer to a question has named a limit, one that doesn't says
        # that there is none.
        self.is_in_health = False
        # The life by identity of the endpoints that are there, once that is known.
        self.lives = None

    def note(self, endpoint, born, named, sent_at, now, is_health=False):
        """Take what an answer of an endpoint named, or that it named nothing.

        Parameters
        ----------
        endpoint : str
            Its identity.
        born : int
            The life that answered.
        named : ParsedLimit
            In the head of the answer.
        sent_at, now : float
            When the request was sent and its answer's head was read.
        is_health : bool
            It was an answer to a question for its load.
        """
        per_second = named.per_second
        if per_second is None and not (self.limited and named.is_valid):
            return
        if is_health and per_second is not None:
            self.is_in_health = True
        if is_health and not self.is_in_health:
            return
        report = ReportedLimit(endpoint, born, per_second, sent_at, now)
        self.take(report, "health" if is_health else "answer")

    def take(self, report, source):
        """Take a word; return whether the endpoint's limit changed by it."""
        lives = self.lives or {}
        if lives.get(report.endpoint, report.born) != report.born:
            return False
        held = self.book.get(report.endpoint)
        if not self.book.take(report):
            return False
        before = None if held is None else held.per_second
        self.grant_client.record_change(report, before)
        self.observe(LimitChange(self.name, report, before, source))
        return True

    def has_same(self, report):
        """Tell whether a word says nothing else than what is known."""
        held = self.book.get(report.endpoint)
        return (
            held is not None
            and held.born == report.born
            and held.per_second == report.per_second
        )

    def keep(self, lives):
        """Forget what endpoints said that are gone.

        Parameters
        ----------
        lives : dict
            The life by identity of the endpoints that are there.
        """
        self.lives = lives
        for report in self.book.keep(lives):
            self.grant_client.held.drop(report.endpoint)
            if report.per_second is not None:
                ended = replace(report, per_second=None)
                self.observe(LimitChange(self.name, ended, report.per_second, GONE))

    def is_first(self):
        """Tell whether this node grants before all others."""
        return self.own is not None and self.coordinators[:1] == [self.own]

    def list_stale(self, now):
        """Return endpoints that named a limit and were not heard of lately."""
        return [
            report.endpoint
            for report in self.book.list_limited()
            if now - report.latest > UNHEARD_SECONDS
        ]

    def allows(self, endpoint, now):
        """Tell whether a request may be sent to an endpoint now."""
        return (
            endpoint not in self.limited
            or self.grant_client.held.find(endpoint, now) is not None
        )

    def use(self, endpoint, now):
        """Count a request that is sent to an endpoint."""
        if endpoint not in self.limited:
            return
        grant = self.grant_client.held.find(endpoint, now)
        if grant is not None:
            self.grant_client.held.use(grant)

    def grant(self, wanted, horizon, now, excluded):
        """Return the Granted for a node that wants grants, as a coordinator does.

        Notes
        -----
        What this node itself sees of an endpoint decides nothing for others: it may
        reach none of them, and others all.
        """
        return self.ledger.grant(self.list_rates(), wanted, horizon, now, excluded)

    def list_avoided(self, now):
        """Return the limited endpoints that this node does not use now."""
        return [name for name in self.limited if not self.usable(name, now)]

    def list_rates(self):
        """Return what this node gives out a second, by endpoint."""
        part = SECOND_PART if self._is_second() else 1.0
        least = 0.0 if self.is_in_health else LEAST_TRIED_RATE
        return {
            endpoint: max(part * rate, least) for endpoint, rate in self.limited.items()
        }

    def _is_second(self):
        return bool(self.coordinators) and not self.is_first()
