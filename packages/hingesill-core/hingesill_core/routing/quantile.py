"""A running quantile that needs no memory of single values."""

from msgspec import Struct

__all__ = ["Quantile"]

STEP = 0.05


class Quantile(Struct):
    """Follows a quantile of what it is told.

    Attributes
    ----------
    share : float
        Of the values that are below it.
    """

    share: float = 0.5
    value: float = 1.0

    def note(self, value):
        """Take one value."""
        step = 2 * STEP * self.value
        self.value += step * (self.share if value > self.value else self.share - 1)
