"""Whether a request is sent in time, decided when it arrives and while it waits."""

from msgspec import Struct

__all__ = ["LatestSend", "compute_latest_send", "suggest_return"]

# Time for which a request whose target cannot be met waits for leftover capacity, in
# seconds; about three rounds of load queries.
LEFTOVER_WAIT_SECONDS = 0.05

# Callers honour a Retry-After up to this share of their remaining time.
MAX_RETURN_SHARE = 1 / 3
# Lowest Retry-After, as a share of the longest that the caller honours.
MIN_RETURN_SPREAD = 0.5


class LatestSend(Struct, frozen=True):
    """Until when a send of a request is useful; seconds of the node's clock.

    Attributes
    ----------
    late_at : float
        Time from which an answer cannot meet the target.
    until : float
        Time at which the wait ends.
    """

    late_at: float
    until: float


def compute_latest_send(now, arrived, target, elapsed, work, deadline):
    """Return the LatestSend of a request.

    Parameters
    ----------
    now, arrived : float
        Seconds of the node's clock.
    target : float
        Target of its route, counted from the caller's first attempt.
    elapsed : float
        Seconds that the caller used for earlier attempts.
    work : float
        Usual seconds from a send to its answer.
    deadline : float
        Time at which the caller gives up.

    Notes
    -----
    A fixed share of the target would leave too little time to routes whose work takes
    a large part of it.
    """
    late_at = arrived + target - elapsed - work
    until = max(late_at, now + LEFTOVER_WAIT_SECONDS)
    return LatestSend(late_at, min(until, deadline - work))


def suggest_return(left, rng):
    """Return the Retry-After of a caller with so many seconds left."""
    longest = MAX_RETURN_SHARE * left
    return longest * (MIN_RETURN_SPREAD + (1 - MIN_RETURN_SPREAD) * rng.random())
