"""How often one share may probe, so that the whole fleet keeps the budget."""

from math import floor

from msgspec import Struct

from hingesill_core.probing.probeshare import PROBE_SHARE_TTL_SECONDS, PROBE_SHARES

__all__ = ["ProbeRate", "ProbeRateLimiter", "compute_probe_rate"]

FEWEST_A_SHARE = 3


class ProbeRate(Struct, frozen=True):
    """A service's probes, as a share of the budget.

    Parameters
    ----------
    shares : int
        Shares that take part in this service; the others do not probe it.
    interval : float
        Least seconds between two probes of one share.
    """

    shares: int
    interval: float


def compute_probe_rate(budget, slots):
    """Return the pace of a service, or None if its budget allows no probe.

    Parameters
    ----------
    budget : ProbeBudget
        As declared: probes a second over a window, and the share of the
        endpoints' capacity that they may take.
    slots : int
        Slots of all endpoints.

    Notes
    -----
    With strictly spaced probes a share sends at most ``window / interval + 1``
    in any window. Each lease that changes hands may add one more: a holder that
    was paused between its check and its send. At most ``window / ttl + 1``
    leases change hands in a window. The interval is chosen so that all of this
    together stays within the budget.
    """
    rate = min(budget.per_second, budget.capacity_share * slots / budget.cost)
    allowed = floor(rate * budget.window)
    late = floor(budget.window / PROBE_SHARE_TTL_SECONDS) + 1
    least = FEWEST_A_SHARE + late
    shares = min(PROBE_SHARES, allowed // least)
    if shares == 0:
        return None
    a_share = allowed // shares
    return ProbeRate(shares, budget.window / (a_share - 1 - late))


class ProbeRateLimiter(Struct):
    """Spaces one share's probes of one service.

    Attributes
    ----------
    next_at : float
        The earliest time of the next probe, on the lease clock.
    """

    next_at: float = 0.0

    def take(self, share, pace, now):
        """Take the right to send one probe now; return whether there is one.

        Notes
        -----
        To be called right before the send. A new holder waits a full interval
        first, as the one before it may just have sent.
        """
        if share.number >= pace.shares or not share.is_held(now):
            return False
        if now < max(self.next_at, share.acquired_at + pace.interval):
            return False
        self.next_at = now + pace.interval
        return True
