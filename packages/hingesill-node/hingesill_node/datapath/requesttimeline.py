"""The steps of one request, in order, for its log line."""

from enum import Enum

from msgspec import Struct, field

__all__ = ["RequestTimeline", "Step", "StepKind", "describe_report", "describe_status"]

MAX_STEPS = 24
# Maximum length of an endpoint's header value in a step, in characters.
MAX_HEADER_VALUE_LENGTH = 40


class StepKind(str, Enum):
    """Kind of a step of a request, with its text in the log."""

    QUERIED = "asked"
    QUEUED = "held"
    SENT = "sent"
    HEDGED = "hedged"
    ENDED = "ended"
    SKIPPED = "skipped"
    RETRIED = "retried"
    NOT_RETRIED = "not-retried"
    CALLER_GONE = "caller-gone"
    FORWARDED = "through"
    RETURNED = "returned"


class Step(Struct, frozen=True):
    """One step of a request.

    Parameters
    ----------
    milliseconds : int
        Time since the request arrived.
    kind : StepKind
        Kind of the step.
    endpoint : str
        Address of the endpoint concerned, if any.
    detail : str
        Evidence for the decision, or its reason.
    """

    milliseconds: int
    kind: StepKind
    endpoint: str = ""
    detail: str = ""

    def __str__(self):
        parts = (f"{self.milliseconds}ms", self.kind.value, self.endpoint, self.detail)
        return " ".join(part for part in parts if part)


class RequestTimeline(Struct):
    """The first `MAX_STEPS` steps of one request.

    Attributes
    ----------
    started : float
        Arrival time in seconds of the node's clock.
    steps : list of Step
        The steps in order.
    left_out : int
        Number of steps beyond `MAX_STEPS`.
    has_lost : bool
        Whether a send lost its answer.
    """

    started: float
    steps: list = field(default_factory=list)
    left_out: int = 0
    has_lost: bool = False

    def add(self, kind, now, endpoint="", detail=""):
        """Add a step."""
        if len(self.steps) >= MAX_STEPS:
            self.left_out += 1
            return
        milliseconds = round((now - self.started) * 1000)
        self.steps.append(Step(milliseconds, kind, endpoint, detail))


def describe_report(report):
    """Return a load report as text."""
    if report is None:
        return "no report"
    return f"{report.running}/{report.slots} x{report.slowness:.2g}"


def describe_status(status, response):
    """Return a send's status as text, with its answer's Retry-After if any.

    Parameters
    ----------
    status : SendStatus
        The send's status.
    response : EndpointResponse or None
        None if no response head was received.
    """
    backoff = None if response is None else response.get("Retry-After")
    if backoff is None:
        return status.value
    return f"{status.value} retry-after {backoff[:MAX_HEADER_VALUE_LENGTH]}"
