"""Whether a request is sent in time, decided when it arrives.

A node of a large fleet has one request of a service waiting, or none, so the order of
its own requests decides little. What is scarce is shared by all nodes: each estimates
from load replies whether endpoints have free slots, and admits only the part of its
requests that goes first, so that these find one.
"""

from collections import deque
from math import log

from msgspec import Struct, field

from hingesill_core.routing.fairshare import GUARANTEED_LEVEL, FairShares

__all__ = [
    "AdmissionShare",
    "Assessment",
    "EarlyRefusal",
    "classify_work",
    "suggest_return",
]

# Time for which a request that is not admitted, or cannot meet its target, waits for
# capacity that others leave, in seconds. One load query is answered within 5 ms, and
# with the next round of queries 15 ms later the request is refused within 20 ms.
LEFTOVER_WAIT_SECONDS = 0.005
# Share of a route's target up to which its usual work is believed: the first answers
# of a node may come from slow endpoints.
MAX_WORK_SHARE = 0.5
# Work below which classes are not told apart, in seconds.
MIN_WORK_SECONDS = 0.001
# Ratio of the work of two classes. A node's estimate of the usual work of a route
# varies by a tenth or two, which must not decide between organisations.
WORK_CLASS_RATIO = 2**0.5
# Share of load replies with a free slot that the admitted requests leave: with it one
# of them finds a slot in five queries, about 30 ms.
FREE_REPLY_SHARE = 0.2
# Change of the admitted share by one load reply. A node gets 10 to 30 a second under
# load, so that it follows an overload within a second.
REPLY_GAIN = 0.2
# Lowest admitted share, so that a wrong signal stops no service.
MIN_SHARE = 0.05
# Period and number of the requests that a new one is compared with.
RECENT_SECONDS = 10.0
MAX_RECENT = 128
# Callers honour a Retry-After up to this share of their remaining time.
MAX_RETURN_SHARE = 1 / 3
# Lowest Retry-After, as a share of the longest that the caller honours.
MIN_RETURN_SPREAD = 0.5


class Assessment(Struct, frozen=True):
    """How a new request is treated; times in seconds of the node's clock.

    Attributes
    ----------
    late_at : float
        Time from which the request gets leftover capacity only.
    until : float
        Time at which its wait ends.
    precedence : tuple
        Order among waiting requests; the lowest goes first.
    is_guaranteed : bool
        Its organisation is well below its fair share, and it can meet its target.
    """

    late_at: float
    until: float
    precedence: tuple
    is_guaranteed: bool = False


class AdmissionShare(Struct):
    """The share of a node's work that is admitted, by load replies.

    Attributes
    ----------
    share : float
        Admitted share of the work that arrives.
    recent : deque
        Time, precedence and work of recent requests.
    """

    share: float = 1.0
    recent: deque = field(default_factory=deque)

    def record_reply(self, has_free_slot):
        """Record whether a load reply of a usable endpoint showed a free slot.

        Notes
        -----
        A reply without one counts only while an admitted request waits for a second
        round of queries: in a load that can just be served most endpoints are full.
        """
        share = self.share + REPLY_GAIN * (has_free_slot - FREE_REPLY_SHARE)
        self.share = min(1.0, max(MIN_SHARE, share))

    def admits(self, precedence, work, now, rng):
        """Record a request and return whether it belongs to the admitted share.

        Parameters
        ----------
        precedence : tuple
            Its order; the lowest goes first, and equal ones at random.
        work : float
            Usual seconds from a send to the answer.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Decides between requests of the same precedence.
        """
        recent = self.recent
        recent.append((now, precedence, work))
        while recent[0][0] < now - RECENT_SECONDS or len(recent) > MAX_RECENT:
            recent.popleft()
        if self.share >= 1.0:
            return True
        total = sum(seconds for _, _, seconds in recent)
        ahead = sum(seconds for _, other, seconds in recent if other < precedence)
        ahead += rng.random() * sum(s for _, other, s in recent if other == precedence)
        return ahead <= self.share * total


class EarlyRefusal:
    """Decisions under load of one service at one node.

    Attributes
    ----------
    admission : AdmissionShare
        Admitted share of the requests.
    shares : FairShares
        Shares of the organisations.
    """

    def __init__(self):
        self.admission = AdmissionShare()
        self.shares = FairShares()

    def assess(self, ticket, target, work, now, rng):
        """Return the Assessment of a new request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        target : float
            Target of its route in seconds.
        work : float
            Usual seconds from a send to the answer.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Source of random choices.

        Notes
        -----
        Requests that can meet their target go first, then by rank, then those with the
        least work, as most of them are served with the same capacity, then by their
        organisation's use of its fair share. Serving the one with the least time left
        first makes all of them late. A request that an endpoint has already refused has
        been admitted.
        """
        work = min(work, MAX_WORK_SHARE * target)
        late_at = ticket.arrived + target - ticket.elapsed - work
        is_late = now >= late_at
        organisation = ticket.organisation
        level = 0
        is_guaranteed = False
        if organisation is not None:
            level = self.shares.get_level(organisation.name, work, now, rng, is_late)
            is_guaranteed = level == GUARANTEED_LEVEL and not is_late
        precedence = (is_late, ticket.rank, classify_work(work), level)
        is_admitted = not is_late and self.admission.admits(precedence, work, now, rng)
        until = late_at
        if is_late or not (is_admitted or is_guaranteed or ticket.tried):
            late_at = min(late_at, now)
            until = now + LEFTOVER_WAIT_SECONDS
        until = min(until, ticket.deadline - work)
        return Assessment(late_at, until, precedence, is_guaranteed)

    def record_send(self, work, now):
        """Record work in seconds that was sent to an endpoint."""
        self.shares.record_send(work, now)


def classify_work(work):
    """Return the number of the class of so many seconds of work."""
    return round(log(max(work, MIN_WORK_SECONDS)) / log(WORK_CLASS_RATIO))


def suggest_return(left, rng):
    """Return the Retry-After of a caller with so many seconds left."""
    longest = MAX_RETURN_SHARE * left
    return longest * (MIN_RETURN_SPREAD + (1 - MIN_RETURN_SPREAD) * rng.random())
