"""Token budgets of extra sends, earned by first sends."""

from msgspec import Struct

__all__ = ["BURST", "TokenBudget"]

BURST = 10.0


class TokenBudget(Struct):
    """A budget of extra sends as a share of first sends.

    Parameters
    ----------
    share : float
        Tokens that each first send earns.
    tokens : float
        Tokens available; a new process starts with none.
    burst : float
        Maximum number of tokens.
    """

    share: float
    tokens: float = 0.0
    burst: float = BURST

    def set_share(self, share, burst=BURST):
        """Apply another share; a share of zero removes the available tokens."""
        self.share = share
        self.burst = burst
        self.tokens = min(self.tokens, burst)
        if share == 0:
            self.tokens = 0.0

    def earn(self):
        """Record a first send."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def forfeit(self):
        """Give up what a first send earned that another node makes."""
        self.tokens = max(0.0, self.tokens - self.share)

    def spend(self, reserve=0.0):
        """Spend one token; return whether one was available.

        Parameters
        ----------
        reserve : float
            Tokens reserved for more important sends.
        """
        if not self.can_spend(reserve):
            return False
        self.tokens -= 1.0
        return True

    def can_spend(self, reserve=0.0):
        """Return whether a token is available; see `spend`."""
        return self.tokens >= 1.0 + reserve

    def refund(self):
        """Return the token of a send that was not made."""
        self.tokens = min(self.burst, self.tokens + 1.0)
