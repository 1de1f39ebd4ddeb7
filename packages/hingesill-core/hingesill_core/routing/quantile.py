"""A running estimate of a quantile that stores no samples."""

from msgspec import Struct

__all__ = ["Quantile"]

DEFAULT_STEP = 0.05


class Quantile(Struct):
    """Tracks a quantile of a stream of values.

    Attributes
    ----------
    share : float
        Share of the values below the quantile.
    value : float
        Current estimate.
    step : float
        Half of the largest change by one value, as a share of the estimate.
    """

    share: float = 0.5
    value: float = 1.0
    step: float = DEFAULT_STEP

    def record(self, value):
        """Record one value."""
        step = 2 * self.step * self.value
        self.value += step * (self.share if value > self.value else self.share - 1)
