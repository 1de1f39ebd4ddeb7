"""Shares of the probe budget: held by lease, checked against the holder's own clock.

The fleet has a fixed number of shares, each a lease in the store. Only a holder
probes. A node that cannot be sure that it holds its share does not probe, so an
outage of the store stops all probing within one lease and nothing else.
"""

from msgspec import Struct

__all__ = ["PROBE_SHARES", "PROBE_SHARE_TTL_SECONDS", "ProbeShare"]

PROBE_SHARES = 6
PROBE_SHARE_TTL_SECONDS = 15.0
MARGIN_SECONDS = 1.0
MAX_CLOCK_DRIFT = 0.01


class ProbeShare(Struct):
    """One share from its holder's point of view; times in seconds of the lease clock.

    Parameters
    ----------
    number : int
        Index of the share.
    lease : str
        The store's identifier of the lease.
    held_until : float
        Time until which the holder relies on the lease.
    acquired_at : float
        Time of acquisition; the holder begins with an empty token bucket.
    """

    number: int
    lease: str
    held_until: float
    acquired_at: float

    @classmethod
    def acquire(cls, number, lease, ttl, requested_at):
        """Return a share whose lease was requested at the given time."""
        return cls(number, lease, compute_end(requested_at, ttl), requested_at)

    def renew(self, ttl, requested_at):
        """Apply a renewal that was requested at the given time.

        Notes
        -----
        The lease counts from before the call: a delayed response must not extend it.
        """
        self.held_until = max(self.held_until, compute_end(requested_at, ttl))

    def is_held(self, now):
        """Return whether the holder may still rely on the share."""
        return now < self.held_until


def compute_end(requested_at, ttl):
    """Return until when a lease is relied on, less the margin and the clock drift."""
    return requested_at + ttl * (1 - MAX_CLOCK_DRIFT) - MARGIN_SECONDS
