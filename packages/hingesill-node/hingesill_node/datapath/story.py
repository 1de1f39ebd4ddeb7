"""What was decided about one request, in order, for its line in the log."""

from enum import Enum

from msgspec import Struct, field

__all__ = ["Step", "StepKind", "Story", "describe_end", "describe_report"]

MOST_STEPS = 24
# Characters of an endpoint's header in a step.
LONGEST_VALUE = 40


class StepKind(str, Enum):
    """What happened."""

    ASKED = "asked"
    HELD = "held"
    SENT = "sent"
    HEDGED = "hedged"
    ENDED = "ended"
    RETRIED = "retried"
    NOT_RETRIED = "not-retried"
    CALLER_GONE = "caller-gone"


class Step(Struct, frozen=True):
    """One step of a request.

    Parameters
    ----------
    milliseconds : int
        Since the request arrived.
    kind : StepKind
        What happened.
    endpoint : str
        Whom it concerns, if any.
    detail : str
        What decided it.
    """

    milliseconds: int
    kind: StepKind
    endpoint: str = ""
    detail: str = ""

    def __str__(self):
        words = (f"{self.milliseconds}ms", self.kind.value, self.endpoint, self.detail)
        return " ".join(word for word in words if word)


class Story(Struct):
    """The steps of one request, the first ones if there are very many.

    Attributes
    ----------
    started : float
        Seconds of the node's clock.
    steps : list of Step
        In order.
    left_out : int
        Steps beyond the bound.
    has_lost : bool
        An endpoint gave no answer.
    """

    started: float
    steps: list = field(default_factory=list)
    left_out: int = 0
    has_lost: bool = False

    def add(self, kind, now, endpoint="", detail=""):
        """Add a step."""
        if len(self.steps) >= MOST_STEPS:
            self.left_out += 1
            return
        milliseconds = round((now - self.started) * 1000)
        self.steps.append(Step(milliseconds, kind, endpoint, detail))


def describe_report(report):
    """Return a load report as text."""
    if report is None:
        return "no report"
    return f"{report.running}/{report.slots} x{report.slowness:.2g}"


def describe_end(end, response):
    """Return how a send ended as text, with the rest that its answer asks for.

    Parameters
    ----------
    end : SendStatus
        How it ended.
    response : EndpointResponse or None
        None if no head came.
    """
    backoff = None if response is None else response.get("Retry-After")
    if backoff is None:
        return end.value
    return f"{end.value} retry-after {backoff[:LONGEST_VALUE]}"
