"""Choosing by fresh evidence: ask a few endpoints, send to one that is free.

An endpoint's load shifts in milliseconds, so a report that came with an earlier
answer says little. Here a request first asks a few endpoints for their load and
goes to one that has a free slot at this moment. If none has, it waits at the
node for some milliseconds and asks others, as a place in an endpoint's own
queue cannot be given up again for a better one.
"""

from dataclasses import dataclass, field

from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import SendEnd

__all__ = ["Ask", "AskPlan", "AskRules", "Reply", "judge_reply", "rank_reply"]


@dataclass(frozen=True, slots=True)
class AskRules:
    """How a service's requests ask; times in seconds.

    Attributes
    ----------
    at_once : int
        Endpoints asked in one round. Source: rounds on the users' bench, where
        a third one cost more probes and won nothing.
    pause : float
        Time between two rounds. Source: as above, 15 ms against none.
    patience : float
        Longest time in which only a free slot will do, as a share of the
        route's target.
    default_target : float
        Taken for a route without a declared target.
    longest_patience : float
        Bound of the patience for routes with a far target.
    most_slowness : float
        An endpoint that works slower than this is passed by while others are
        asked. Source: slow spells on shared VMs are a factor of five, and
        ordinary spread stays below two.
    most_waiting : int
        Requests waiting at an endpoint beyond which it is not worth a send:
        it would be turned away there.
    """

    at_once: int = 2
    pause: float = 0.015
    patience: float = 0.6
    default_target: float = 0.5
    longest_patience: float = 0.3
    most_slowness: float = 2.0
    most_waiting: int = 3


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask these endpoints for their load.

    Parameters
    ----------
    endpoints : tuple of str
        Identities.
    pause : float
        Seconds to wait first.
    """

    endpoints: tuple[str, ...]
    pause: float = 0.0


@dataclass(frozen=True, slots=True)
class Reply:
    """What asking an endpoint brought.

    Parameters
    ----------
    endpoint : str
        Its identity.
    end : SendEnd
        ANSWERED, or why there is no report.
    report : LoadReport or None
        Its load, if it told it.
    """

    endpoint: str
    end: SendEnd
    report: LoadReport | None = None


@dataclass(slots=True)
class AskPlan:
    """How far one request has come with asking.

    Attributes
    ----------
    started : float
        When it began, in seconds of the node's clock.
    until : float
        From then on the best endpoint seen will do.
    rounds : int
        Rounds of questions so far.
    asked : set of str
        Endpoints asked in the rounds so far.
    best : Reply or None
        The best reply that was not good enough.
    """

    started: float
    until: float
    rounds: int = 0
    asked: set[str] = field(default_factory=set)
    best: Reply | None = None

    def note(self, reply):
        """Keep a reply if it is the best so far."""
        if self.best is None or rank_reply(reply) < rank_reply(self.best):
            self.best = reply


def judge_reply(reply, rounds, rules):
    """Tell whether a request may go to the endpoint that replied.

    Parameters
    ----------
    reply : Reply
        With a report.
    rounds : int
        Rounds of questions so far; the first one asks for two free slots, as
        the last free one is often gone by the time the request arrives, and
        some endpoints slow down when nearly full.
    rules : AskRules
        The service's.
    """
    report = reply.report
    if report is None or report.slowness >= rules.most_slowness:
        return False
    slots = report.slots or 1
    free = slots - report.running
    wanted = 2 if rounds <= 1 and slots > 1 else 1
    return free >= wanted


def rank_reply(reply):
    """Return a number that is less for an endpoint that should answer sooner."""
    report = reply.report
    if report is None:
        return float("inf")
    slots = report.slots or 1
    occupied = (report.running + 1) / slots
    return max(1.0, occupied) * report.slowness
