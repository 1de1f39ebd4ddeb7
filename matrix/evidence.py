"""What a scenario leaves behind for the checkers of the promises."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["DrainRecord", "Evidence", "NotApplicable", "Violation"]


@dataclass(frozen=True)
class Violation:
    """A promise that was broken.

    Parameters
    ----------
    place : str
        The request, endpoint or node.
    what : str
        What was seen there.
    """

    place: str
    what: str


@dataclass(frozen=True)
class NotApplicable:
    """A promise that a scenario says nothing about.

    Parameters
    ----------
    why : str
        The reason, which is printed.
    """

    why: str


@dataclass(frozen=True)
class DrainRecord:
    """An endpoint that was told to leave.

    Parameters
    ----------
    endpoint : str
        Its address.
    ran_before, ran_after : int
        What it had run when the few seconds were over, and at the end.
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
        What callers were told.
    ran : Counter
        How often each request id ran, by the endpoints' own record.
    excused : set of str
        Request ids of callers that left on purpose.
    probe_times : list of float
        When endpoints were probed, in seconds of one clock.
    probe_budget, probe_window : float
        Probes allowed in a window, and its seconds.
    drain : DrainRecord or None
        Set if an endpoint was told to leave.
    stopped : int or None
        Exit code of a node that was stopped in a planned way.
    cuts_expected : bool
        The fault itself ends connections of callers.
    changes : list of ChangeRecord
        Changes of the configuration, with what became of them.
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
