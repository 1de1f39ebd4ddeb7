"""How answer times grow with the taken slots, by service and size of endpoint."""

from math import log

from msgspec import Struct, field

from hingesill_core.routing.levels import (
    FEWEST_ANSWERS,
    MOST_ANSWERS,
    Level,
    combine,
    find_usable,
)
from hingesill_core.routing.profile import LevelProfile, ServiceProfile
from hingesill_core.routing.usualtimes import MOST_RATIO

__all__ = ["SlotCurve", "SlotCurves", "conclude", "pool_profiles"]

# What the curves say is worked out again so often.
REVIEW_SECONDS = 0.25


class SlotCurve(Struct):
    """How answer times grow with the taken slots of endpoints of one size.

    Attributes
    ----------
    slots : int
        Of each endpoint.
    own, told : dict
        `Level` by the number of taken slots: of the service's answers at this node
        that other nodes don't know of, and of all that they do.
    """

    slots: int
    own: dict = field(default_factory=dict)
    told: dict = field(default_factory=dict)

    def note(self, number, ratio, now):
        """Take an answer of a send that made so many slots taken."""
        self.own.setdefault(number, Level()).note(log(min(ratio, MOST_RATIO)), now)

    def list_known(self, pooled, now):
        """Return the levels of which enough is known, by number in rising order.

        Parameters
        ----------
        pooled : SlotCurve or None
            Of all services of the node; it stands in for what is not known of this
            one.
        now : float
            Seconds of the node's clock.
        """
        known = {}
        numbers = self.list_numbers() | (pooled.list_numbers() if pooled else set())
        for number in sorted(numbers):
            level = self.combine(number, now)
            if level.answers < FEWEST_ANSWERS and pooled is not None:
                level = pooled.combine(number, now)
            if level.answers >= FEWEST_ANSWERS:
                known[number] = level
        return known

    def list_numbers(self):
        """Return the set of levels of which anything is known."""
        return self.own.keys() | self.told.keys()

    def combine(self, number, now):
        """Return one Level for own answers and those that others told of."""
        return combine((self.own.get(number), self.told.get(number)), now)


class SlotCurves:
    """The curves of one service's endpoints, by their number of slots.

    Parameters
    ----------
    pooled : SlotCurves or None
        Of all services of the node; takes each answer too.
    """

    def __init__(self, pooled=None):
        self.pooled = pooled
        self.curves = {}
        self._usable = {}

    def note(self, number, slots, ratio, now):
        """Take an answer.

        Parameters
        ----------
        number : int
            Slots taken when the request was sent, that one included.
        slots : int
            The endpoint's.
        ratio : float
            Time of the answer by the route's usual time.
        now : float
            Seconds of the node's clock.
        """
        if not 0 < number <= slots:
            return
        self._get_curve(slots).note(number, ratio, now)
        if self.pooled is not None:
            self.pooled.note(number, slots, ratio, now)

    def _get_curve(self, slots):
        curve = self.curves.get(slots)
        if curve is None:
            curve = self.curves[slots] = SlotCurve(slots)
        return curve

    def get_usable(self, slots, now):
        """Return how many of an endpoint's slots are worth taking.

        Parameters
        ----------
        slots : int
            The endpoint's.
        now : float
            Seconds of the node's clock.
        """
        usable, until = self._usable.get(slots, (slots, now))
        if now >= until:
            usable = self._find_usable(slots, now)
            self._usable[slots] = usable, now + REVIEW_SECONDS
        return usable

    def _find_usable(self, slots, now):
        pooled = self.pooled.curves.get(slots) if self.pooled is not None else None
        curve = self.curves.get(slots) or SlotCurve(slots)
        return find_usable(curve.list_known(pooled, now), slots)

    def get_news_share(self, now):
        """Return the share of the known answers that other nodes do not know of."""
        own = count_answers((curve.own for curve in self.curves.values()), now)
        told = count_answers((curve.told for curve in self.curves.values()), now)
        return own / (own + told) if own >= FEWEST_ANSWERS else 0.0

    def build_profile(self, now):
        """Return the ServiceProfile of what other nodes told and of own answers."""
        return ServiceProfile(
            tuple(
                LevelProfile(slots, number, level.answers, level.mean)
                for slots, curve in sorted(self.curves.items())
                for number in sorted(curve.list_numbers())
                for level in [curve.combine(number, now)]
            )
        )

    def adopt(self, profile, now):
        """Take what other nodes have learnt of this service.

        Parameters
        ----------
        profile : ServiceProfile
            Its levels take the place of the same levels told before.
        now : float
            Seconds of the node's clock.
        """
        for told in profile.levels:
            level = Level(min(MOST_ANSWERS, told.answers), told.mean, now)
            self._get_curve(told.slots).told[told.level] = level
        self._usable.clear()

    def mark_told(self, profile, now):
        """Note that other nodes know of all own answers by a profile."""
        for curve in self.curves.values():
            curve.own.clear()
        self.adopt(profile, now)


def count_answers(curves, now):
    """Return how many answers the levels of several curves stand for."""
    return sum(level.count(now) for levels in curves for level in levels.values())


def pool_profiles(profiles):
    """Return one ServiceProfile for the answers of several."""
    groups = {}
    for profile in profiles:
        for told in profile.levels:
            level = Level(told.answers, told.mean)
            groups.setdefault((told.slots, told.level), []).append(level)
    pooled = {key: combine(levels, 0.0) for key, levels in groups.items()}
    return ServiceProfile(
        tuple(
            LevelProfile(slots, number, level.answers, level.mean)
            for (slots, number), level in sorted(pooled.items())
        )
    )


def conclude(profile):
    """Return what a ServiceProfile says: the usable slots by the endpoint's slots."""
    curves = SlotCurves()
    curves.adopt(profile, 0.0)
    return {slots: curves.get_usable(slots, 0.0) for slots in curves.curves}
