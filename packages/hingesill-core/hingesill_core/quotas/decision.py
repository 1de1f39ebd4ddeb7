"""Decisions on one arrival at an endpoint under a quota."""

from enum import Enum

from msgspec import Struct

__all__ = ["QuotaDecision", "QuotaStatus", "QuotaTolerance"]


class QuotaStatus(str, Enum):
    """Whether a request may be sent under its organisation's quota."""

    ADMITTED = "admitted"
    WAITING = "waiting"
    REFUSED = "refused"


class QuotaDecision(Struct, frozen=True):
    """The decision on one arrival.

    Parameters
    ----------
    status : QuotaStatus
        ``WAITING`` until messages of other nodes have come in.
    retry_after : float or None
        Seconds after which a refused caller finds a place.
    """

    status: QuotaStatus
    retry_after: float | None = None


class QuotaTolerance(Struct, frozen=True):
    """How far the arrivals of all nodes together may exceed a quota.

    Parameters
    ----------
    window_seconds : float
        Window in which arrivals are counted.
    overshoot : float
        Share of the quota of a window that may arrive in addition.
    slack : float
        Requests that may arrive in addition in a window.
    """

    window_seconds: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
