"""Whether a request can still make its deadline, and when to come back."""

from msgspec import Struct

__all__ = ["LatencyEstimate"]

PACE_WEIGHT = 0.05
INITIAL_PACE = 0.005
SHORTEST_TYPICAL = 0.0001
SHORTEST_RETRY_AFTER = 0.05
LONGEST_RETRY_AFTER = 5.0


class LatencyEstimate(Struct):
    """How long the answers of a route or a service take, in seconds.

    Attributes
    ----------
    typical : float
        Follows the median of unloaded answers, which a spell of slow answers
        does not lift.
    quick : float
        Follows the lower tenth, so that a request is refused only if even a
        quick answer would be too late.
    """

    median: float = INITIAL_PACE
    p10: float = INITIAL_PACE / 2
    answers: int = 0

    def note(self, seconds, load=1.0):
        """Take the time of an answer; the first one sets the scale.

        Parameters
        ----------
        seconds : float
            From the send to the answer.
        load : float
            How many times longer than unloaded it should have taken.
        """
        self.answers += 1
        if self.answers == 1:
            self.median = seconds
            self.p10 = seconds / 2
        self._follow_median(seconds / load)
        step = PACE_WEIGHT * self.median
        self.p10 += step * (0.1 if seconds > self.p10 else -0.9)
        self.p10 = max(self.p10, 0.0)

    def _follow_median(self, seconds):
        step = PACE_WEIGHT * self.median
        self.median += step if seconds > self.median else -step
        self.median = max(self.median, SHORTEST_TYPICAL)

    def estimate_queue_time(self, ahead, places):
        """Return how long a new ticket would wait.

        Parameters
        ----------
        ahead : int
            Tickets served before it.
        places : int
            Sends that may be in flight at once.
        """
        if places <= 0:
            return LONGEST_RETRY_AFTER
        return (ahead + 1) * self.median / places

    def suggest_retry_after(self, wait, rng):
        """Return the seconds after which to come back, spread at random."""
        base = min(LONGEST_RETRY_AFTER, max(SHORTEST_RETRY_AFTER, wait))
        return base * (1 + rng.random())
