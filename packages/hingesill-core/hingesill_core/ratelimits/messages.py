"""Messages between nodes about the limits of endpoints."""

from msgspec import Struct

from hingesill_core.ratelimits.grantscheduler import GrantRun

__all__ = ["GrantReply", "GrantRequest", "LimitUpdate", "LimitQuery", "LimitRecord"]


class LimitRecord(Struct, frozen=True, array_like=True):
    """An endpoint's newest report that one node knows.

    Parameters
    ----------
    service, endpoint : str
        Name of the service and identity of the endpoint.
    born : int
        Incarnation that sent the report.
    per_second : float or None
        Requests from all nodes together; None for no limit.
    age : float
        Seconds from the latest time at which the report may have been written to the
        sending of this record.
    span : float
        Seconds between the earliest and the latest time at which the report may have
        been written.
    is_in_health : bool
        Whether replies to load queries contain limits as well.
    """

    service: str
    endpoint: str
    born: int
    per_second: float | None
    age: float
    span: float
    is_in_health: bool = False


class LimitUpdate(Struct, frozen=True, array_like=True, tag=1):
    """Limits that began, changed or ended.

    Parameters
    ----------
    records : tuple of LimitRecord
        The changes.
    """

    records: tuple[LimitRecord, ...]


class GrantRequest(Struct, frozen=True, array_like=True, tag=2):
    """A request to the coordinator for grants at the endpoints of a service.

    Parameters
    ----------
    number : int
        Sequence number of the sender's grant requests.
    service : str
        Name of the service.
    wanted : int
        Waiting requests and those expected before the next grant request.
    horizon : float
        Seconds within which the sender can use grants.
    records : tuple of LimitRecord
        Limits that the sender knows.
    excluded : tuple of str
        Limited endpoints that the sender does not use now.
    """

    number: int
    service: str
    wanted: int
    horizon: float = 0.0
    records: tuple[LimitRecord, ...] = ()
    excluded: tuple[str, ...] = ()


class GrantReply(Struct, frozen=True, array_like=True, tag=3):
    """A coordinator's reply to a grant request.

    Parameters
    ----------
    number : int
        Sequence number of the grant request.
    service : str
        Name of the service.
    runs : tuple of GrantRun
        The grants.
    retry_after, wait : float
        See `hingesill_core.ratelimits.grantscheduler.GrantResult`.
    pause : float
        Seconds between two grant requests of a node; longer in large fleets.
    records : tuple of LimitRecord
        Corrections of the limits in the request.
    """

    number: int
    service: str
    runs: tuple[GrantRun, ...]
    retry_after: float
    wait: float
    pause: float
    records: tuple[LimitRecord, ...] = ()


class LimitQuery(Struct, frozen=True, array_like=True, tag=4):
    """A starting node's query for all endpoints that have limits.

    Parameters
    ----------
    records : tuple of LimitRecord
        Empty, as the node knows no limits yet.
    """

    records: tuple[LimitRecord, ...] = ()
