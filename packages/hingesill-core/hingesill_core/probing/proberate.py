"""The probe rate of one share, such that the whole fleet stays within the budget."""

from math import floor

from msgspec import Struct

from hingesill_core.probing.probeshare import PROBE_SHARE_TTL_SECONDS, PROBE_SHARES

__all__ = ["ProbeRate", "ProbeRateLimiter", "compute_probe_rate"]

MIN_PROBES_PER_SHARE = 3


class ProbeRate(Struct, frozen=True):
    """The probe rate of a service, as shares of its budget.

    Parameters
    ----------
    shares : int
        Shares that probe this service; the others do not.
    interval : float
        Minimum seconds between two probes of one share.
    """

    shares: int
    interval: float


def compute_probe_rate(budget, slots):
    """Return the probe rate of a service, or None if its budget allows no probe.

    Parameters
    ----------
    budget : ProbeBudget
        Declared probes a second over a window, and the share of the endpoints'
        capacity that they may use.
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
    late_probes = floor(budget.window / PROBE_SHARE_TTL_SECONDS) + 1
    min_probes = MIN_PROBES_PER_SHARE + late_probes
    shares = min(PROBE_SHARES, allowed // min_probes)
    if shares == 0:
        return None
    probes_per_share = allowed // shares
    return ProbeRate(shares, budget.window / (probes_per_share - 1 - late_probes))


class ProbeRateLimiter(Struct):
    """Spaces one share's probes of one service.

    Attributes
    ----------
    next_at : float
        The earliest time of the next probe, on the lease clock.
    """

    next_at: float = 0.0

    def try_acquire(self, share, probe_rate, now):
        """Acquire permission for one probe now; return whether it was granted.

        Notes
        -----
        Called right before the send. A new holder waits a full interval first, as the
        previous holder may just have sent a probe.
        """
        if share.number >= probe_rate.shares or not share.is_held(now):
            return False
        if now < max(self.next_at, share.acquired_at + probe_rate.interval):
            return False
        self.next_at = now + probe_rate.interval
        return True
