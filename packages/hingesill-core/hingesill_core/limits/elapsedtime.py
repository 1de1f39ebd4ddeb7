"""Estimate of the time that a caller spent on earlier attempts."""

from msgspec import Struct, field

from hingesill_core.routing.quantile import Quantile

__all__ = ["ElapsedTimeEstimator"]

# Decay of the longest time per request, as a share.
DECAY_PER_REQUEST = 0.002
# First attempts declare at least this share of the longest time. Less is ignored in
# the estimate: a caller that retries after a second, with four seconds in all,
# declares less.
MIN_FIRST_ATTEMPT_SHARE = 0.8
# Accepted share of first attempts that are classified as repeated ones.
MISCLASSIFIED_SHARE = 0.15
# Step of the estimate, as a share of the longest time.
QUANTILE_STEP = 0.01
# Pause of the estimation after an unserved request, in seconds: callers retry then.
RETRY_PAUSE_SECONDS = 2.0
# Initial estimate of the shortest time of first attempts, as a share of the longest.
INITIAL_SHARE = 0.95


class ElapsedTimeEstimator(Struct):
    """The remaining time that callers of each route declare with their first attempts.

    Notes
    -----
    Callers declare their remaining time. A caller with clearly less than first
    attempts declare is assumed to have spent the difference on attempts at other
    nodes: its answer can no longer meet the route's target, counted from its first
    attempt, and it is served after others. The spread of first attempts is estimated
    over all routes together, as a node of a large fleet sees few requests of each.

    If every caller were compared with the longest time, many first attempts that
    declare less would be classified as late, and would wait for an endpoint behind
    all others.

    Attributes
    ----------
    longest : dict
        Seconds by route; the longest time that a caller declared recently.
    first_attempt_share : Quantile
        Share of the longest time that nearly all first attempts declare.
    learning_from : float
        Seconds of the node's clock from which the share is updated.
    """

    longest: dict = field(default_factory=dict)
    first_attempt_share: Quantile = field(
        default_factory=lambda: Quantile(
            MISCLASSIFIED_SHARE, INITIAL_SHARE, QUANTILE_STEP
        )
    )
    learning_from: float = float("-inf")

    def record_unserved(self, now):
        """Record, in seconds of the node's clock, that a caller got no answer."""
        self.learning_from = now + RETRY_PAUSE_SECONDS

    def estimate(self, route, remaining, now):
        """Return the estimated seconds that a caller spent on earlier attempts.

        Parameters
        ----------
        route : Route
            Route of the request.
        remaining : float
            Remaining seconds that the caller declared.
        now : float
            Seconds of the node's clock.
        """
        is_learning = now >= self.learning_from
        decay = 1 - DECAY_PER_REQUEST if is_learning else 1.0
        longest = max(remaining, self.longest.get(route, 0.0) * decay)
        self.longest[route] = longest
        if not longest:
            return 0.0
        declared_share = remaining / longest
        if is_learning and declared_share >= MIN_FIRST_ATTEMPT_SHARE:
            self.first_attempt_share.record(declared_share)
        return max(0.0, min(1.0, self.first_attempt_share.value) * longest - remaining)
