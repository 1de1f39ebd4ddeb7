"""What a node knows of the slots of a service's endpoints, and what is worth telling.

A node of a large fleet answers few requests, so it learns little alone. Each follower
reports its answers to its relay, the relay sums up, and the profile that is kept in the
store tells all nodes.
"""

from hingesill_core.routing.baselinelatency import BaselineLatencies
from hingesill_core.routing.latencycurves import (
    LatencyCurves,
    compute_concurrency_limits,
)
from hingesill_core.routing.profile import ServiceProfile

__all__ = ["ConcurrencyModel"]

# Share of new answers from which on the profile is published again.
LEAST_NEWS = 0.25
# Answers after which the profile is published only if its conclusion changes, as each
# write wakes all relays.
SETTLED_ANSWERS = 100


class ConcurrencyModel:
    """How answer times of one service grow with the taken slots of its endpoints.

    Parameters
    ----------
    pooled : LatencyCurves or None
        Of all services of the node.
    """

    def __init__(self, pooled=None):
        self.curves = LatencyCurves(pooled)
        self.usual_times = BaselineLatencies()

    def record_answer(self, route, seconds, occupied, slots, now):
        """Take an answer.

        Parameters
        ----------
        route : Route
            The request's.
        seconds : float
            From the send to the answer.
        occupied : int
            Slots taken when the request was sent, that one included.
        slots : int
            The endpoint's.
        now : float
            Seconds of the node's clock.
        """
        ratio = self.usual_times.rate(route, seconds, now)
        if ratio is not None:
            self.curves.note(occupied, slots, ratio, now)

    def get_concurrency_limit(self, slots, now):
        """Return how many of an endpoint's slots are worth taking."""
        return self.curves.get_concurrency_limit(slots, now)

    def is_stable(self, now):
        """Tell whether the fleet knows so much that single answers add little."""
        return self.curves.count_published(now) >= SETTLED_ANSWERS

    def should_publish(self, now):
        """Tell whether the fleet should know what is known here."""
        if self.usual_times.has_unpublished():
            return True
        if self.curves.get_unpublished_share(now) <= LEAST_NEWS:
            return False
        if not self.is_stable(now):
            return True
        told = compute_concurrency_limits(self.curves.list_published(now))
        return compute_concurrency_limits(self.curves.list_levels(now)) != told

    def build_profile(self, now):
        """Return the ServiceProfile of all that is known."""
        levels = self.curves.list_levels(now)
        return ServiceProfile(levels, self.usual_times.build(now))

    def take_unreported(self, now):
        """Return the ServiceProfile of own answers for the relay, or None."""
        levels = self.curves.take_unreported(now)
        usual_times = self.usual_times.take_unreported(now)
        return ServiceProfile(levels, usual_times) if levels or usual_times else None

    def merge_report(self, profile, now):
        """Take the ServiceProfile of another node's answers."""
        self.curves.merge_report(profile.levels, now)
        self.usual_times.merge(profile.usual_times, now)

    def adopt(self, profile, now):
        """Take the ServiceProfile that the fleet knows."""
        self.curves.adopt(profile.levels, now)
        self.usual_times.adopt(profile.usual_times, now)

    def mark_published(self, profile, now):
        """Note that the fleet knows a ServiceProfile with all that is known here."""
        self.curves.mark_published(profile.levels, now)
        self.usual_times.adopt(profile.usual_times, now)
