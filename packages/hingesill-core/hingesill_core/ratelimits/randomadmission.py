"""One node's part of a rate that a whole fleet shares, where nothing is agreed."""

from msgspec import Struct

__all__ = ["RandomAdmission"]

# Burst of all nodes together, in seconds of the rate.
COUNTED_SECONDS = 0.5
# Share of the rate that all nodes together aim at; the rest is reserve.
USED_SHARE = 0.6


class RandomAdmission(Struct):
    """Takes a part of a rate by chance.

    Notes
    -----
    A token for each node would be saved up while it is idle, and all tokens would be
    spent together when callers come to all nodes at once, however few requests the
    endpoint takes. Here what a node may take grows with the time in which it
    looks, and is gone when it doesn't.
    """

    looked_at: float = float("-inf")

    def take(self, rate, nodes, now, rng):
        """Tell whether this node may take one now.

        Parameters
        ----------
        rate : float
            A second, of all nodes together.
        nodes : int
            That share it.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Decides.
        """
        seconds = min(COUNTED_SECONDS, max(0.0, now - self.looked_at))
        self.looked_at = now
        return rng.random() < USED_SHARE * rate / max(1, nodes) * seconds
