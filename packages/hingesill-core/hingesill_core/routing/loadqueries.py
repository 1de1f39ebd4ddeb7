"""Load queries: choosing an endpoint by its current load just before a send.

An endpoint's load changes within milliseconds, so the report in an earlier answer is
soon out of date. Here a request waits at the node until an endpoint that was just
queried has a free slot: a request in an endpoint's own queue could not be moved to
another endpoint.
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

# Routing policy of services whose endpoints are queried before each send.
FRESH_REPORT_POLICY = "fresh_report"


class QueryRules(Struct, frozen=True):
    """Parameters of a service's load queries; times in seconds.

    Attributes
    ----------
    first_fan_out : int
        Endpoints queried for a new request: all but one in the node's data centre, or
        all of them where `min_local` are there.
    max_fan_out : int
        Endpoints queried in a later round, for all waiting requests together.
    min_local : int
        Number of endpoints in the node's data centre from which a new request queries
        only those; with two or three, it also queries endpoints elsewhere.
    selective_seconds : float
        Time of about two replies in which a request accepts only an endpoint with two
        free slots, as a single one is often taken when the request arrives.
    patient_share : float
        Share of a route's target in which a request accepts only a free slot of an
        endpoint that is not slow.
    hedge_wait_seconds : float
        Time in which a hedge looks for an endpoint, a few query rounds. If it finds
        none, the service is under load.
    max_wait_share : float
        Share of a request's time after which it is refused, so that its caller has more
        than half of it left for another attempt.
    late_query_interval : float
        Interval of load queries while all waiting requests are late, about three
        rounds, which leaves the query budget to requests that can meet their target.
    default_target : float
        Target of a route that declares none.
    max_slowness : float
        Ratio to the usual slowness from which an endpoint is skipped: slow periods of
        shared VMs have a factor of five, ordinary variation stays below two.
    slow_report_seconds : float
        Time after a report of slowness in which an idle connection does not make an
        endpoint preferred; it covers several slow periods of a VM.
    """

    first_fan_out: int = 2
    max_fan_out: int = 4
    min_local: int = 6
    selective_seconds: float = 0.02
    patient_share: float = 0.7
    hedge_wait_seconds: float = 0.06
    max_wait_share: float = 0.45
    late_query_interval: float = 0.05
    default_target: float = 0.5
    max_slowness: float = 2.0
    slow_report_seconds: float = 1.0


class Stage(IntEnum):
    """Which endpoints a waiting request accepts.

    Notes
    -----
    A late request uses only capacity that requests which can meet their target leave,
    at this node and at others: under overload each slot that it took would make another
    request late, and the endpoints would never recover.
    """

    SELECTIVE = 0
    ACCEPTING = 1
    LATE = 2


class LoadQuery(Struct, frozen=True):
    """Query these endpoints for their load; the request waits for the replies.

    Parameters
    ----------
    endpoints : tuple of str
        Identities; empty if the budget allows no query now.
    """

    endpoints: tuple[str, ...]


class LoadReply(Struct, frozen=True):
    """The result of one load query.

    Parameters
    ----------
    endpoint : str
        Identity of the endpoint.
    end : SendStatus
        ANSWERED, or why there is no report.
    report : LoadReport or None
        Its load, if it reported one.
    warm_in : float or None
        Seconds for which it stays cold, 0 if it is warm; None if not reported.
    is_unhealthy : bool or None
        It reports itself as unhealthy or leaving; None if not reported.
    born : int or None
        Incarnation that was queried; None if that is not known.
    limit : ParsedLimit or None
        Rate limit in the reply; None without a reply.
    sent_at : float or None
        Time of the query; None if the reply belongs to no query.
    backoff : RequestedBackoff
        Back-off that the endpoint requests from this node.
    leaving : bool
        The endpoint reports that it is leaving.
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


def is_good_enough(report, stage, usable, max_slowness):
    """Return whether an endpoint is acceptable for a request.

    Parameters
    ----------
    report : LoadReport
        The endpoint's current report.
    stage : Stage
        Stage of the request.
    usable : int
        Concurrency limit of the endpoint.
    max_slowness : float
        Slowness from which an endpoint is skipped.
    """
    slots = report.slots or 1
    usable = min(usable, slots)
    free = usable - report.running
    if report.slowness >= max_slowness:
        return False
    if stage is Stage.LATE:
        return free >= min(usable, 2)
    if stage is Stage.SELECTIVE and slots > 1:
        return free >= 1 and slots - report.running >= 2
    return free >= 1
