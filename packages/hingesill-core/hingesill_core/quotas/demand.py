"""Estimate of the requests per second that arrive at a node."""

from math import exp

from msgspec import Struct

__all__ = ["DemandEstimate"]

# Decay time of the estimate, in seconds.
DECAY_SECONDS = 1.0


class DemandEstimate(Struct):
    """Exponentially decaying mean of an arrival rate.

    Parameters
    ----------
    value : float
        Requests per second at the time ``at``.
    at : float
        Time in seconds.
    """

    value: float = 0.0
    at: float = float("-inf")

    def record(self, now):
        """Count one arrival."""
        self.value = self.get(now) + 1.0 / DECAY_SECONDS
        self.at = now

    def get(self, now):
        """Return the estimate in requests per second."""
        return self.value * exp(-max(0.0, now - self.at) / DECAY_SECONDS)
