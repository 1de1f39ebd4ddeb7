"""Random admission at a rate that all nodes share without coordination."""

from msgspec import Struct

__all__ = ["RandomAdmission"]

# Burst of all nodes together, in seconds of the rate.
BURST_SECONDS = 0.5
# Share of the rate that all nodes together aim at; the remainder is a reserve.
TARGET_SHARE = 0.6


class RandomAdmission(Struct):
    """Admits requests at random, at a node's share of a rate.

    Notes
    -----
    With a token bucket at each node, idle nodes would keep their tokens, and all nodes
    could spend them in the same moment, however low the limit is. Here the probability
    grows with the time since the last attempt, up to `BURST_SECONDS`, so that a node
    accumulates nothing while it is idle.
    """

    last_attempt_at: float = float("-inf")

    def admit(self, rate, nodes, now, rng):
        """Return whether this node may send one request now.

        Parameters
        ----------
        rate : float
            Requests a second of all nodes together.
        nodes : int
            Number of nodes that share the rate.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Source of the random choice.
        """
        seconds = min(BURST_SECONDS, max(0.0, now - self.last_attempt_at))
        self.last_attempt_at = now
        return rng.random() < TARGET_SHARE * rate / max(1, nodes) * seconds
