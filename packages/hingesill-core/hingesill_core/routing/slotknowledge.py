"""What a node knows of the slots of a service's endpoints, and what is worth telling.

A node of a large fleet answers few requests, so it learns little alone. Each follower
reports its answers to its relay, the relay sums up, and the profile that is kept in the
store tells all nodes.
"""

from hingesill_core.routing.curves import SlotCurves, conclude
from hingesill_core.routing.profile import ServiceProfile
from hingesill_core.routing.usualtimes import UsualTimes

__all__ = ["SlotKnowledge"]

# Share of new answers from which on the profile is published again.
LEAST_NEWS = 0.25
# Answers after which the profile is published only if its conclusion changes, as each
# write wakes all relays.
SETTLED_ANSWERS = 100


class SlotKnowledge:
    """How answer times of one service grow with the taken slots of its endpoints.

    Parameters
    ----------
    pooled : SlotCurves or None
        Of all services of the node.
    """

    def __init__(self, pooled=None):
        self.curves = SlotCurves(pooled)
        self.usual_times = UsualTimes()

    def note_answer(self, route, seconds, occupied, slots, now):
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

    def get_usable(self, slots, now):
        """Return how many of an endpoint's slots are worth taking."""
        return self.curves.get_usable(slots, now)

    def is_stable(self, now):
        """Tell whether the fleet knows so much that single answers add little."""
        return self.curves.count_told(now) >= SETTLED_ANSWERS

    def is_worth_telling(self, now):
        """Tell whether the fleet should know what is known here."""
        if self.usual_times.has_news():
            return True
        if self.curves.get_news_share(now) <= LEAST_NEWS:
            return False
        if not self.is_stable(now):
            return True
        told = conclude(self.curves.list_told(now))
        return conclude(self.curves.list_levels(now)) != told

    def build_profile(self, now):
        """Return the ServiceProfile of all that is known."""
        levels = self.curves.list_levels(now)
        return ServiceProfile(levels, self.usual_times.build(now))

    def take_news(self, now):
        """Return the ServiceProfile of own answers for the relay, or None."""
        levels = self.curves.take_news(now)
        usual_times = self.usual_times.take_news(now)
        return ServiceProfile(levels, usual_times) if levels or usual_times else None

    def add_news(self, profile, now):
        """Take the ServiceProfile of another node's answers."""
        self.curves.add_news(profile.levels, now)
        self.usual_times.merge(profile.usual_times, now)

    def adopt(self, profile, now):
        """Take the ServiceProfile that the fleet knows."""
        self.curves.adopt(profile.levels, now)
        self.usual_times.adopt(profile.usual_times, now)

    def mark_told(self, profile, now):
        """Note that the fleet knows a ServiceProfile with all that is known here."""
        self.curves.mark_told(profile.levels, now)
        self.usual_times.adopt(profile.usual_times, now)
