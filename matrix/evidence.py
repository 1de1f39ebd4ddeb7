"""Records of a scenario that the checkers of the promises evaluate."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["DrainRecord", "Evidence", "NotApplicable", "Violation"]


@dataclass(frozen=True)
class Violation:
    """Violation of a promise.

    Parameters
    ----------
    place : str
        Request, endpoint or node that shows the violation.
    what : str
        Description of the violation.
    """

    place: str
    what: str


@dataclass(frozen=True)
class NotApplicable:
    """Result for a promise that a scenario does not exercise.

    Parameters
    ----------
    why : str
        Reason, as printed.
    """

    why: str


@dataclass(frozen=True)
class DrainRecord:
    """Requests run by an endpoint that was drained.

    Parameters
    ----------
    endpoint : str
        Address of the endpoint.
    ran_before, ran_after : int
        Number of requests run at the end of the drain delay and some time later.
    """

    endpoint: str
    ran_before: int
    ran_after: int


@dataclass
class Evidence:
    """All records of one scenario.

    Attributes
    ----------
    calls : list of Call
        Calls with the outcome that the caller received.
    ran : Counter
        Number of executions per request id, as recorded by the endpoints.
    excused : set of str
        Request ids of callers that deliberately closed their connection.
    probe_times : list of float
        Times of probes, in seconds of one clock shared by all endpoints.
    probe_budget, probe_window : float
        Maximum number of probes in a window, and its length in seconds.
    drain : DrainRecord or None
        Set if an endpoint was drained.
    stopped : int or None
        Exit code of a node that was shut down gracefully.
    cuts_expected : bool
        Whether the fault itself closes connections of callers.
    changes : list of ChangeRecord
        Configuration changes with their outcomes.
    """

    calls: list = field(default_factory=list)
    ran: Counter = field(default_factory=Counter)
    excused: set = field(default_factory=set)
    probe_times: list = field(default_factory=list)
    probe_budget: float = 0.0
    probe_window: float = 10.0
    drain: DrainRecord | None = None
    stopped: int | None = None
    cuts_expected: bool = False
    changes: list = field(default_factory=list)
