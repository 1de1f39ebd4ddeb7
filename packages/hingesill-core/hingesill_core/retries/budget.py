"""Budgets of extra sends: tokens that first sends earn."""

from msgspec import Struct

__all__ = ["BURST", "TokenBudget"]

BURST = 10.0


class TokenBudget(Struct):
    """Extra sends as a share of first sends.

    Parameters
    ----------
    share : float
        Tokens that each first send earns.
    tokens : float
        What has been saved up; a new process starts with none.
    burst : float
        The most that may be saved up.
    """

    share: float
    tokens: float = 0.0
    burst: float = BURST

    def set_share(self, share, burst=BURST):
        """Put another share in force; none at all takes away what was saved."""
        self.share = share
        self.burst = burst
        self.tokens = min(self.tokens, burst)
        if share == 0:
            self.tokens = 0.0

    def earn(self):
        """Take note of a first send."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def spend(self, keep=0.0):
        """Take one token; return whether there was one.

        Parameters
        ----------
        keep : float
            Tokens that are left for what matters more.
        """
        if self.tokens < 1.0 + keep:
            return False
        self.tokens -= 1.0
        return True

    def refund(self):
        """Return a token whose send did not come about."""
        self.tokens = min(self.burst, self.tokens + 1.0)
