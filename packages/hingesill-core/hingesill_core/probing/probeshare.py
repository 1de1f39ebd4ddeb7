"""Shares of the probe budget: held by lease, checked on the holder's own clock.

The fleet has a fixed number of shares, each a lease in the store. Only a holder
probes. Whoever cannot be sure that it holds its share does not probe, so a store
that is away ends all probing within one lease and nothing else.
"""

from msgspec import Struct

__all__ = ["PROBE_SHARES", "PROBE_SHARE_TTL_SECONDS", "ProbeShare"]

PROBE_SHARES = 6
PROBE_SHARE_TTL_SECONDS = 15.0
MARGIN = 1.0
DRIFT = 0.01


class ProbeShare(Struct):
    """One share as its holder sees it; times in seconds of the lease clock.

    Parameters
    ----------
    number : int
        Which share.
    lease : str
        The store's name for the lease.
    held_until : float
        The holder counts on it until then.
    acquired_at : float
        When the holder got it; it begins with an empty bucket.
    """

    number: int
    lease: str
    held_until: float
    acquired_at: float

    @classmethod
    def acquire(cls, number, lease, ttl, asked_at):
        """Return a share whose lease was asked for at a time."""
        return cls(number, lease, compute_end(asked_at, ttl), asked_at)

    def renew(self, ttl, asked_at):
        """Take a renewal that was asked for at a time.

        Notes
        -----
        The lease counts from before the call: an answer that was long on its
        way must not prolong it.
        """
        self.held_until = max(self.held_until, compute_end(asked_at, ttl))

    def is_held(self, now):
        """Tell whether the holder may still count on the share."""
        return now < self.held_until


def compute_end(asked_at, ttl):
    """Return until when a lease is counted on: less the margin and the drift."""
    return asked_at + ttl * (1 - DRIFT) - MARGIN
