"""What goes into a dispatcher and what comes out of it."""

from enum import Enum

from msgspec import Struct, field

from hingesill_core.configuration.services import Route
from hingesill_core.ratelimits.reportedlimits import ParsedLimit
from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.load_report import LoadReport

__all__ = [
    "RetryDenied",
    "Queued",
    "Refusal",
    "Send",
    "SendStatus",
    "SendResult",
    "Ticket",
]


class Ticket(Struct, eq=False):
    """One request of a caller on its way through the node.

    Parameters
    ----------
    route : Route
        What the operator declared for it.
    arrived : float
        Seconds of the node's clock.
    deadline : float
        When its answer is of no use any more, on the same clock.
    may_retry : bool
        False if a layer nearer to the caller sends again.
    replayable : bool
        False once its body cannot be sent a second time.
    spent : float
        Seconds that its caller seems to have spent on earlier tries.
    barred : bool
        Endpoints ended under it, so that this try goes to no other.
    """

    route: Route
    arrived: float
    deadline: float
    may_retry: bool = True
    replayable: bool = True
    tried: list[str] = field(default_factory=list)
    sends: int = 0
    exposed: bool = False
    waiting: bool = False
    elapsed: float = 0.0
    retry_forbidden: bool = False


class Send(Struct, eq=False):
    """Send the request to this endpoint now.

    Parameters
    ----------
    ticket : Ticket
        The request.
    endpoint : str
        The endpoint's address.
    started : float
        When it was decided, in seconds of the node's clock.
    expected : float
        Seconds that an answer of this route typically takes under that load.
    load : float
        How many times longer than unloaded it should take.
    hedge : bool
        Another send of the request is still under way.
    occupied : int
        Requests at the endpoint with this one, by its own fresh word; 0 if
        that was not asked for.
    born : int
        The life of the endpoint that it is for.
    """

    ticket: Ticket
    endpoint: str
    started: float
    expected: float
    load: float = 1.0
    hedge: bool = False
    occupied: int = 0
    born: int = 0


class Queued(Struct, frozen=True):
    """Hold the request: a later ``pump`` or ``expire`` names it."""


class Refusal(Struct, frozen=True):
    """The final answer of a request that gets none from an endpoint.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    outcome : Outcome
        NOT_RUN only if it is certain that no endpoint ran it.
    retry_after : float or None
        Seconds after which to come back; None if that would not help.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after: float | None = None


class RetryDenied(Struct, frozen=True):
    """A request is not sent again, with the reason."""

    reason: RetryReason


class SendStatus(str, Enum):
    """How a send ended.

    Notes
    -----
    ``NOT_SENT``: the endpoint stopped taking requests before this one was written.
    """

    ANSWERED = "answered"
    FAULT = "fault"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    CONNECT_FAILED = "connect-failed"
    LOST = "lost"
    LATE = "late"
    CANCELLED = "cancelled"


class SendResult(Struct, frozen=True):
    """What became of a send.

    Parameters
    ----------
    end : SendStatus
        How it ended.
    report : LoadReport or None
        The endpoint's word on its load, if one came.
    leaving : bool
        The endpoint said that it is leaving.
    cold : bool
        The endpoint said that it has just started.
    rest : RequestedBackoff
        For which the endpoint wants nothing more from this node.
    limit : ParsedLimit or None
        What the answer named; None if no head of this endpoint's came.
    """

    end: SendStatus
    report: LoadReport | None = None
    leaving: bool = False
    cold: bool = False
    backoff: RequestedBackoff = NO_BACKOFF
    limit: ParsedLimit | None = None
