"""One node's part of a rate that a whole fleet shares, where nothing is agreed."""

from msgspec import Struct

__all__ = ["FleetShare"]

# What came free while the node did not look counts for so long; in seconds. All nodes
# together save up that much of the rate, however many they are.
COUNTED_SECONDS = 0.5
# Of the rate, what all nodes together aim at; the rest is for luck.
USED_SHARE = 0.6


class FleetShare(Struct):
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
