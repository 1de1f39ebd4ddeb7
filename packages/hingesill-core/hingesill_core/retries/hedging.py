"""When a repeatable request that has no answer yet is sent a second time."""

from dataclasses import dataclass

__all__ = ["HedgeDelay"]

QUANTILE = 0.95
STEP = 0.05
INITIAL_DELAY = 0.02
SHORTEST_DELAY = 0.002


@dataclass(slots=True)
class HedgeDelay:
    """Follows the 95th of 100 answer times, in seconds.

    Notes
    -----
    A stochastic quantile: each longer time lifts the estimate by 19 times what
    a shorter one lowers it by.
    """

    seconds: float = INITIAL_DELAY

    def note(self, seconds):
        """Take the time of an answer that was not cut off by a hedge."""
        step = STEP * max(self.seconds, SHORTEST_DELAY)
        if seconds > self.seconds:
            self.seconds += step * QUANTILE
        else:
            self.seconds -= step * (1 - QUANTILE)
        self.seconds = max(SHORTEST_DELAY, self.seconds)
