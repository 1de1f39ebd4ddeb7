"""Estimates of response times, for admission by deadline and for Retry-After."""

from msgspec import Struct

__all__ = ["LatencyEstimate"]

STEP_SHARE = 0.05
# Share by which each faster answer lowers the slowest one.
SLOWEST_DECAY = 0.005
INITIAL_SECONDS = 0.005
MIN_MEDIAN_SECONDS = 0.0001
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 5.0


class LatencyEstimate(Struct):
    """Response times of a route or a service, in seconds.

    Attributes
    ----------
    median : float
        Running median without load, which a period of slow answers does not raise.
    p10 : float
        Running 10th percentile, so that a request is refused only if even a fast
        answer would be too late.
    slowest : float
        Slowest recent answer; a hundred faster ones lower it by two fifths.
    answers : int
        Number of answers recorded.
    """

    median: float = INITIAL_SECONDS
    p10: float = INITIAL_SECONDS / 2
    slowest: float = 0.0
    answers: int = 0

    def record(self, seconds, load=1.0):
        """Record the time of an answer; the first one initializes the estimates.

        Parameters
        ----------
        seconds : float
            Time from the send to the answer.
        load : float
            Expected slowdown by load; the median is tracked without it.
        """
        self.answers += 1
        if self.answers == 1:
            self.median = seconds
            self.p10 = seconds / 2
        self.slowest = max(seconds, self.slowest * (1 - SLOWEST_DECAY))
        self._follow_median(seconds / load)
        step = STEP_SHARE * self.median
        self.p10 += step * (0.1 if seconds > self.p10 else -0.9)
        self.p10 = max(self.p10, 0.0)

    def _follow_median(self, seconds):
        step = STEP_SHARE * self.median
        self.median += step if seconds > self.median else -step
        self.median = max(self.median, MIN_MEDIAN_SECONDS)

    def estimate_queue_time(self, ahead, capacity):
        """Return the estimated queueing time of a new request, in seconds.

        Parameters
        ----------
        ahead : int
            Requests served before it.
        capacity : int
            Sends that may be in flight at once.
        """
        if capacity <= 0:
            return MAX_RETRY_AFTER_SECONDS
        return (ahead + 1) * self.median / capacity

    def suggest_retry_after(self, wait, rng):
        """Return the seconds for Retry-After, with random jitter."""
        base = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
        return base * (1 + rng.random())
