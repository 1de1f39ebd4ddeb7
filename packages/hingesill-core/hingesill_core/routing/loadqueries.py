"""Choosing by fresh evidence: which endpoint's reply will do for which request.

An endpoint's load shifts in milliseconds, so a report that came with an earlier
answer says little. Here a request waits at the node until an endpoint that was
just asked has a free slot: a place in an endpoint's own queue could not be given
up again for a better one.
"""

from enum import IntEnum

from msgspec import Struct

from hingesill_core.ratelimits.reportedlimits import ParsedLimit
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import SendStatus

__all__ = [
    "FRESH_REPORT_POLICY",
    "LoadQuery",
    "QueryRules",
    "LoadReply",
    "Stage",
    "is_good_enough",
]

# The policy of a declaration whose endpoints are asked before each send.
FRESH_REPORT_POLICY = "fresh_report"


class QueryRules(Struct, frozen=True):
    """How a service's requests ask; times in seconds.

    Attributes
    ----------
    at_once : int
        Endpoints asked for a new request, all but one in its data centre, or all
        of them where there are many.
    most_at_once : int
        Endpoints asked in a later round, for all waiting requests together.
    many_near : int
        With so many endpoints in its data centre, a new request asks there only;
        where there are two or three, it keeps asking elsewhere.
    selective : float
        For so long, two replies, a request takes only an endpoint with two free
        slots, as the last one is often gone when the request arrives.
    patience : float
        Share of a route's target in which only a free slot of an endpoint that
        is not slow will do.
    hedge_wait : float
        For so long a hedge looks for an endpoint: some rounds of questions. What
        is not found by then is a sign of load.
    longest_wait : float
        Share of a request's time after which it is refused, so that its caller
        still has more than half of it to try again.
    late_pause : float
        Between two questions while all requests that wait are late: some three
        rounds, so that late ones leave questions to those that can be in time.
    default_target : float
        Taken for a route without a declared target.
    most_slowness : float
        An endpoint that works slower than usual by this factor is passed by: slow
        spells on shared VMs are a factor of five, ordinary spread stays below two.
    slow_holds : float
        For so long after it said that it is slow, an idle connection to an endpoint
        is no reason to ask it: several spells of slow VMs.
    """

    at_once: int = 2
    most_at_once: int = 4
    many_near: int = 6
    selective: float = 0.02
    patience: float = 0.7
    hedge_wait: float = 0.06
    longest_wait: float = 0.45
    late_pause: float = 0.05
    default_target: float = 0.5
    most_slowness: float = 2.0
    slow_holds: float = 1.0


class Stage(IntEnum):
    """Which endpoints a waiting request takes.

    Notes
    -----
    A late request takes only what is left over by those that can still be in
    time, at this node and at others: under overload each slot that it took
    would make another request late, and the endpoints would never recover.
    """

    SELECTIVE = 0
    ACCEPTING = 1
    LATE = 2


class LoadQuery(Struct, frozen=True):
    """Ask these endpoints for their load; the request waits meanwhile.

    Parameters
    ----------
    endpoints : tuple of str
        Identities; none if the budget allows no question now.
    """

    endpoints: tuple[str, ...]


class LoadReply(Struct, frozen=True):
    """What asking an endpoint brought.

    Parameters
    ----------
    endpoint : str
        Its identity.
    end : SendStatus
        ANSWERED, or why there is no report.
    report : LoadReport or None
        Its load, if it told it.
    warm_in : float or None
        Seconds for which it is cold, 0 if it is warm; None if it did not tell.
    is_unhealthy : bool or None
        It says that it is not well, or leaving; None if it did not tell.
    born : int or None
        The life of the endpoint that was asked; None if that is not known.
    limit : ParsedLimit or None
        What the reply named; None if it did not come.
    sent_at : float or None
        When the question was sent; None if the reply is to no question.
    rest : RequestedBackoff
        For which the endpoint wants nothing more from this node.
    leaving : bool
        The endpoint said that it is leaving.
    """

    endpoint: str
    end: SendStatus
    report: LoadReport | None = None
    warm_in: float | None = None
    is_unhealthy: bool | None = None
    born: int | None = None
    limit: ParsedLimit | None = None
    sent_at: float | None = None
    backoff: RequestedBackoff = NO_BACKOFF
    leaving: bool = False


def is_good_enough(report, stage, usable, most_slowness):
    """Tell whether an endpoint will do for a request.

    Parameters
    ----------
    report : LoadReport
        Just received.
    stage : Stage
        Of the request.
    usable : int
        Slots of the endpoint that are worth taking.
    most_slowness : float
        An endpoint that works slower is passed by.
    """
    slots = report.slots or 1
    usable = min(usable, slots)
    free = usable - report.running
    if report.slowness >= most_slowness:
        return False
    if stage is Stage.LATE:
        return free >= min(usable, 2)
    if stage is Stage.SELECTIVE and slots > 1:
        return free >= 1 and slots - report.running >= 2
    return free >= 1
