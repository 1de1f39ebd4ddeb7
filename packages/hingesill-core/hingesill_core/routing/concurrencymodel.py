"""A node's model of response times by concurrency at the endpoints of a service.

A node of a large fleet handles few requests, so its own observations are few. Each
follower reports them to its relay, the relay merges the reports, and publishes them to
all nodes as the profile in the store.
"""

from hingesill_core.routing.baselinelatency import BaselineLatencies
from hingesill_core.routing.latencycurves import (
    LatencyCurves,
    compute_concurrency_limits,
)
from hingesill_core.routing.profile import ServiceProfile

__all__ = ["ConcurrencyModel"]

# Share of unpublished answers above which the profile is published again.
MIN_UNPUBLISHED_SHARE = 0.25
# Published answers from which the profile is published only if the concurrency limits
# change, as each write wakes all relays.
STABLE_ANSWERS = 100


class ConcurrencyModel:
    """Response times of one service by the number of slots in use at its endpoints.

    Parameters
    ----------
    pooled : LatencyCurves or None
        Curves over all services of the node.
    """

    def __init__(self, pooled=None):
        self.curves = LatencyCurves(pooled)
        self.baselines = BaselineLatencies()

    def record_answer(self, route, seconds, occupied, slots, now):
        """Record an answer.

        Parameters
        ----------
        route : Route
            Route of the request.
        seconds : float
            Time from the send to the answer.
        occupied : int
            Slots in use when the request was sent, including its own.
        slots : int
            Slots of the endpoint.
        now : float
            Seconds of the node's clock.
        """
        ratio = self.baselines.compute_ratio(route, seconds, now)
        if ratio is not None:
            self.curves.record(occupied, slots, ratio, now)

    def get_concurrency_limit(self, slots, now):
        """Return the number of an endpoint's slots to use."""
        return self.curves.get_concurrency_limit(slots, now)

    def is_stable(self, now):
        """Return whether so much is published that single answers add little."""
        return self.curves.count_published(now) >= STABLE_ANSWERS

    def should_publish(self, now):
        """Return whether this node's observations should be published."""
        if self.baselines.has_unpublished():
            return True
        if self.curves.get_unpublished_share(now) <= MIN_UNPUBLISHED_SHARE:
            return False
        if not self.is_stable(now):
            return True
        published = compute_concurrency_limits(self.curves.list_published(now))
        return compute_concurrency_limits(self.curves.list_levels(now)) != published

    def build_profile(self, now):
        """Return the ServiceProfile of all observations."""
        levels = self.curves.list_levels(now)
        return ServiceProfile(levels, self.baselines.build(now))

    def take_unreported(self, now):
        """Return the ServiceProfile to report to the relay, or None."""
        levels = self.curves.take_unreported(now)
        usual_times = self.baselines.take_unreported(now)
        return ServiceProfile(levels, usual_times) if levels or usual_times else None

    def merge_report(self, profile, now):
        """Merge another node's ServiceProfile."""
        self.curves.merge_report(profile.levels, now)
        self.baselines.merge(profile.usual_times, now)

    def adopt(self, profile, now):
        """Apply the published ServiceProfile."""
        self.curves.adopt(profile.levels, now)
        self.baselines.adopt(profile.usual_times, now)

    def mark_published(self, profile, now):
        """Mark all observations as published in the given ServiceProfile."""
        self.curves.mark_published(profile.levels, now)
        self.baselines.adopt(profile.usual_times, now)
