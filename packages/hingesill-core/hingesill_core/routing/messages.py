"""Inputs and decisions of a dispatcher."""

from enum import Enum

from msgspec import Struct, field

from hingesill_core.configuration.services import Route
from hingesill_core.organisations.organisation import Organisation
from hingesill_core.ratelimits.reportedlimits import ParsedLimit
from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.load_report import LoadReport

__all__ = [
    "Forward",
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
        Its declared route.
    arrived : float
        Time of arrival, in seconds of the node's clock.
    deadline : float
        Time after which its answer is of no use, on the same clock.
    may_retry : bool
        False if a layer nearer to the caller retries.
    replayable : bool
        False once its body cannot be sent a second time.
    elapsed : float
        Estimated seconds that its caller has used for earlier attempts.
    retry_forbidden : bool
        Endpoints crashed while they had it, so that it is sent to no other.
    organisation : Organisation or None
        The organisation of its caller; None where callers need no keys.
    key_digest : str
        Digest of the caller's key; empty without one.
    is_forwarded : bool
        Another node forwarded it; it is not forwarded again.
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
    organisation: Organisation | None = None
    key_digest: str = ""
    is_forwarded: bool = False

    @property
    def rank(self):
        """Priority, 0 is the most urgent: the organisation's, or else the route's."""
        if self.organisation is None or self.organisation.rank is None:
            return self.route.rank
        return self.organisation.rank


class Send(Struct, eq=False):
    """Send the request to this endpoint now.

    Parameters
    ----------
    ticket : Ticket
        The request.
    endpoint : str
        Identity of the endpoint.
    started : float
        Time of the decision, in seconds of the node's clock.
    expected : float
        Expected seconds to an answer: the route's median under that load.
    load : float
        Expected ratio of the latency to the unloaded one.
    hedge : bool
        Another send of the request is in flight.
    occupied : int
        Requests at the endpoint including this one, by its load reply; 0 without one.
    born : int
        Incarnation of the endpoint.
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
    """The request is queued until ``dispatch_queued`` or ``expire`` yields it."""


class Forward(Struct, frozen=True):
    """Forward the request to another node: no endpoint can be reached from here."""


class Refusal(Struct, frozen=True):
    """The final response to a request without an answer of an endpoint.

    Parameters
    ----------
    reason : RefusalReason
        Reason of the refusal.
    outcome : Outcome
        NOT_RUN only if it is certain that no endpoint ran it.
    retry_after : float or None
        Seconds after which to retry; None if a retry would not help.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after: float | None = None


class RetryDenied(Struct, frozen=True):
    """The request is not sent again, for this reason."""

    reason: RetryReason


class SendStatus(str, Enum):
    """How a send ended.

    Notes
    -----
    ``NOT_SENT``: the endpoint stopped accepting requests before this one was written.
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
    """The result of a send.

    Parameters
    ----------
    end : SendStatus
        How it ended.
    report : LoadReport or None
        The endpoint's load report, if there was one.
    leaving : bool
        The endpoint reported that it is leaving.
    cold : bool
        The endpoint reported a cold start.
    backoff : RequestedBackoff
        Back-off that the endpoint requests from this node.
    limit : ParsedLimit or None
        Rate limit in the response; None without response headers of this endpoint.
    """

    end: SendStatus
    report: LoadReport | None = None
    leaving: bool = False
    cold: bool = False
    backoff: RequestedBackoff = NO_BACKOFF
    limit: ParsedLimit | None = None
