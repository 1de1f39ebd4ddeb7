"""Workloads of a simulation: callers, faults of endpoints, outages."""

from math import prod

from msgspec import Struct, field

from hingesill_core.configuration.services import Route, SendBudget
from hingesill_core.organisations.organisation import Organisation

__all__ = ["Kind", "Workload", "Request", "FaultPeriod"]


class Kind(Struct, frozen=True):
    """A kind of request.

    Parameters
    ----------
    route : Route
        Its target and whether it is repeatable.
    share : float
        Share of all requests.
    service_time : float
        Mean seconds at an endpoint with free slots.
    limit : float
        Seconds until its caller gives up.
    value, late_value : float
        What an answer in time and a late one are worth to its caller.
    """

    route: Route
    share: float
    service_time: float
    limit: float
    value: float = 1.0
    late_value: float = 0.1


class FaultPeriod(Struct, frozen=True):
    """Faults of some endpoints for a period.

    Parameters
    ----------
    begin, end : float
        Seconds from the start.
    first, last : float
        Range of the affected endpoints, as shares of all.
    slowness : float
        Factor of the service time, which the endpoint does not report.
    lost : float
        Share of the answers that never arrive, though the request is executed.
    broken : float
        Share of the answers in whose place the connection breaks.
    down : bool
        Each request fails on arrival by a broken connection.
    shed : float
        Share of the requests that are refused at once.
    cold : bool
        The endpoints are cold, and report so in replies to load queries.
    unhealthy : bool
        The endpoints report that they are unhealthy.
    limit : float or None
        Requests a second that they report as their rate limit.
    """

    begin: float
    end: float
    first: float = 0.0
    last: float = 1.0
    slowness: float = 1.0
    lost: float = 0.0
    broken: float = 0.0
    down: bool = False
    shed: float = 0.0
    cold: bool = False
    unhealthy: bool = False
    limit: float | None = None


class Workload(Struct, frozen=True):
    """A workload.

    Parameters
    ----------
    nodes, endpoints : int
        Their numbers.
    kinds : tuple of Kind
        Kinds of requests.
    rate : float
        Requests a second.
    seconds : float
        Duration for which requests arrive.
    spells : tuple of FaultPeriod
        Faults of endpoints.
    bursts : tuple of tuple
        Begin, end and factor of periods with more requests, or fewer.
    outages : tuple of tuple
        Begin and end of periods without any node; the nodes have no state afterwards.
    impatient_share : float
        Share of the callers that retry at once, regardless of Retry-After.
    min_time_share : float
        Minimum share of their kind's time that callers declare, at random.
    warm_up_rate : float
        Requests a second that a cold endpoint can serve; 0 if the operator declared
        none.
    sends : SendBudget
        Extra sends of the fleet.
    early_refusal : bool
        Whether requests that cannot be sent in time are refused at once.
    organisations : dict
        Share of the requests by Organisation; empty without organisations.
    surges : tuple of tuple
        Begin, end, factor, and the Kind or Organisation whose requests are multiplied.
    slow_share : float
        Share of the time in which an endpoint works slowly, and reports so.
    full_slots_factor : float
        Factor of the service time while all slots are in use.
    query_rate : float
        Load queries a second of all nodes for each endpoint.
    """

    nodes: int
    endpoints: int
    kinds: tuple
    rate: float
    seconds: float
    spells: tuple = ()
    bursts: tuple = ()
    outages: tuple = ()
    impatient_share: float = 0.0
    min_time_share: float = 1.0
    warm_up_rate: float = 0.0
    sends: SendBudget = SendBudget(0.0, 0.15, 344.0)
    early_refusal: bool = False
    organisations: dict = {}
    surges: tuple = ()
    slow_share: float = 0.0
    full_slots_factor: float = 1.7
    query_rate: float = 54.0

    def get_weights(self, shares, now):
        """Return the weight of each Kind or Organisation at a time."""
        return [
            share * prod(f for b, e, f, of in self.surges if b <= now < e and of is key)
            for key, share in shares.items()
        ]

    def get_factor(self, now):
        """Return the factor of the request rate at a time."""
        for begin, end, factor in self.bursts:
            if begin <= now < end:
                return factor
        return 1.0

    def is_out(self, now):
        """Return whether there are no nodes at a time."""
        return any(begin <= now < end for begin, end in self.outages)


class Request(Struct, eq=False):
    """A caller's request over all its attempts.

    Attributes
    ----------
    time : float
        Seconds until the caller gives up.
    answered_at : float or None
        Time of the answer.
    refusals : list
        Seconds that a node held the request before each refusal.
    attempts : int
        Attempts so far.
    organisation : Organisation or None
        The organisation of its caller.
    """

    kind: Kind
    sent_at: float
    is_impatient: bool
    time: float
    answered_at: float | None = None
    refusals: list = field(default_factory=list)
    attempts: int = 0
    organisation: Organisation | None = None

    @property
    def deadline(self):
        """Time at which the caller gives up."""
        return self.sent_at + self.time

    def is_in_time(self):
        """Return whether the answer met the target, counted from the first attempt."""
        if self.answered_at is None:
            return False
        return self.answered_at - self.sent_at <= self.kind.route.target

    def get_value(self):
        """Return what the caller got."""
        if self.answered_at is None:
            return 0.0
        return self.kind.value if self.is_in_time() else self.kind.late_value
