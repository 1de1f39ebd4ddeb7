"""Token bucket whose level may fall below zero."""

from msgspec import Struct

__all__ = ["TokenBucket"]


class TokenBucket(Struct):
    """Tokens that are available at a time.

    Parameters
    ----------
    level : float
        Tokens; negative while more has been used than was available.
    at : float
        Time of the level in seconds.
    """

    level: float
    at: float

    def fill(self, rate, capacity, now):
        """Add what has accrued since the last call, at a rate up to a capacity.

        Notes
        -----
        A level above the capacity, which may have been lowered, is cut to it. A time
        before the last call changes nothing.
        """
        seconds = max(0.0, now - self.at)
        self.at = max(self.at, now)
        self.level = min(capacity, self.level + rate * seconds)

    def take(self, wanted):
        """Take up to a number of whole tokens and return how many."""
        taken = max(0, min(wanted, int(self.level + 1e-9)))
        self.level -= taken
        return taken
