"""Loads as they are written for a play: callers, faults of endpoints, losses."""

from msgspec import Struct, field

from hingesill_core.configuration.services import Route, SendBudget

__all__ = ["Kind", "Workload", "Request", "FaultPeriod"]


class Kind(Struct, frozen=True):
    """A kind of request.

    Parameters
    ----------
    route : Route
        Its target and whether it may be repeated.
    share : float
        Of all requests.
    work : float
        Mean seconds at an endpoint that has slots free.
    limit : float
        Seconds that its caller gives it.
    """

    route: Route
    share: float
    work: float
    limit: float


class FaultPeriod(Struct, frozen=True):
    """What is wrong with some endpoints for a while.

    Parameters
    ----------
    begin, end : float
        Seconds from the start.
    first, last : float
        Which of the endpoints, as shares of their row.
    slowness : float
        Work takes so many times longer, and the endpoint does not say so.
    lost : float
        Share of the answers that never come, though the request runs.
    broken : float
        Share of the answers in whose place the connection breaks.
    down : bool
        Each request is broken off as it comes.
    shed : float
        Share of the requests that are refused at once.
    cold : bool
        They are cold, and say so to those who ask.
    ill : bool
        They say that they are not well.
    limit : float or None
        Requests a second that they name as their limit.
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
    ill: bool = False
    limit: float | None = None


class Workload(Struct, frozen=True):
    """A load.

    Parameters
    ----------
    nodes, endpoints : int
        How many there are.
    kinds : tuple of Kind
        What is asked for.
    rate : float
        Requests a second.
    seconds : float
        How long requests come.
    spells : tuple of Spell
        What is wrong with endpoints.
    bursts : tuple of tuple
        Begin, end and factor of times with more requests, or fewer.
    outages : tuple of tuple
        Begin and end of times without any node; the nodes know nothing afterwards.
    impatient : float
        Share of the callers that repeat at once, whatever they are told.
    least_time : float
        Callers bring this share of their kind's time at least, at random.
    warm_up_rate : float
        Requests a second that a cold endpoint bears; 0 if the operator declared none.
    sends : SendBudget
        Extra sends of the fleet.
    """

    nodes: int
    endpoints: int
    kinds: tuple
    rate: float
    seconds: float
    spells: tuple = ()
    bursts: tuple = ()
    outages: tuple = ()
    impatient: float = 0.0
    least_time: float = 1.0
    warm_up_rate: float = 0.0
    sends: SendBudget = SendBudget(0.0, 0.15, 344.0)

    def get_factor(self, now):
        """Return how many times more requests come at a time."""
        for begin, end, factor in self.bursts:
            if begin <= now < end:
                return factor
        return 1.0

    def is_out(self, now):
        """Tell whether there are no nodes at a time."""
        return any(begin <= now < end for begin, end in self.outages)


class Request(Struct, eq=False):
    """A caller's request over all its tries.

    Attributes
    ----------
    time : float
        Seconds that the caller gives it.
    answered_at : float or None
        When the answer came.
    refusals : list
        Seconds that a node held the request before each refusal.
    tries : int
        So far.
    """

    kind: Kind
    sent_at: float
    is_impatient: bool
    time: float
    answered_at: float | None = None
    refusals: list = field(default_factory=list)
    tries: int = 0

    @property
    def deadline(self):
        """When the caller gives up."""
        return self.sent_at + self.time

    def is_in_time(self):
        """Tell whether the answer met the target, counted from the first try."""
        if self.answered_at is None:
            return False
        return self.answered_at - self.sent_at <= self.kind.route.target
