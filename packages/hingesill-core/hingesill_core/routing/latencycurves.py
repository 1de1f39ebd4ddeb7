"""How answer times grow with the taken slots, by service and size of endpoint."""

from math import log

from msgspec import Struct, field

from hingesill_core.routing.baselinelatency import MOST_RATIO
from hingesill_core.routing.concurrencylevels import (
    FEWEST_ANSWERS,
    MOST_ANSWERS,
    ConcurrencyLevel,
    combine,
    find_usable,
)
from hingesill_core.routing.profile import LevelProfile

__all__ = [
    "LatencyCurve",
    "LatencyCurves",
    "compute_concurrency_limits",
    "merge_level_profiles",
]

# Interval at which curves are evaluated, in seconds.
REVIEW_SECONDS = 0.25


class LatencyCurve(Struct):
    """How answer times grow with the taken slots of endpoints of one size.

    Attributes
    ----------
    slots : int
        Of each endpoint.
    own, reported, told : dict
        `Level` by the number of taken slots: of the service's answers at this node
        that no other node knows of, of those that its relay knows of, and of all that
        the fleet does.
    """

    slots: int
    own: dict = field(default_factory=dict)
    reported: dict = field(default_factory=dict)
    told: dict = field(default_factory=dict)

    def note(self, number, ratio, now):
        """Take an answer of a send that made so many slots taken."""
        self.own.setdefault(number, ConcurrencyLevel()).note(
            log(min(ratio, MOST_RATIO)), now
        )

    def list_known(self, pooled, now):
        """Return the levels of which enough is known, by number in rising order.

        Parameters
        ----------
        pooled : LatencyCurve or None
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
        return self.own.keys() | self.reported.keys() | self.told.keys()

    def combine(self, number, now):
        """Return one Level for own answers and those that others told of."""
        known = (self.own, self.reported, self.told)
        return combine((levels.get(number) for levels in known), now)

    def add(self, number, level, now):
        """Take answers of another node as own ones."""
        self.own[number] = combine((self.own.get(number), level), now)


class LatencyCurves:
    """The curves of one service's endpoints, by their number of slots.

    Parameters
    ----------
    pooled : LatencyCurves or None
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
            curve = self.curves[slots] = LatencyCurve(slots)
        return curve

    def get_concurrency_limit(self, slots, now):
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
        curve = self.curves.get(slots) or LatencyCurve(slots)
        return find_usable(curve.list_known(pooled, now), slots)

    def get_unpublished_share(self, now):
        """Return the share of the known answers that other nodes do not know of."""
        own = count_answers((curve.own for curve in self.curves.values()), now)
        told = self.count_published(now)
        return own / (own + told) if own >= FEWEST_ANSWERS else 0.0

    def count_published(self, now):
        """Return how many answers the fleet knows of."""
        return count_answers((curve.told for curve in self.curves.values()), now)

    def list_levels(self, now):
        """Return a LevelProfile of all that is known of each level."""
        return tuple(
            build_level(slots, number, curve.combine(number, now))
            for slots, curve in sorted(self.curves.items())
            for number in sorted(curve.list_numbers())
        )

    def list_published(self, now):
        """Return a LevelProfile of what the fleet knows of each level."""
        return tuple(
            build_level(slots, number, level)
            for slots, curve in sorted(self.curves.items())
            for number, level in sorted(curve.told.items())
        )

    def take_unreported(self, now):
        """Return a LevelProfile of each level of own answers, now the relay's to tell.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.

        Notes
        -----
        They count here until the fleet is told of them.
        """
        news = []
        for slots, curve in sorted(self.curves.items()):
            for number, level in sorted(curve.own.items()):
                news.append(build_level(slots, number, level))
                reported = (curve.reported.get(number), level)
                curve.reported[number] = combine(reported, now)
            curve.own.clear()
        return tuple(news)

    def merge_report(self, levels, now):
        """Take another node's answers as own ones.

        Parameters
        ----------
        levels : iterable of LevelProfile
            What cannot be is passed over, and a node counts for as many answers as a
            level remembers at most.
        now : float
            Seconds of the node's clock.
        """
        for told in levels:
            if 0 < told.level <= told.slots and told.answers > 0:
                most = log(MOST_RATIO)
                mean = max(-most, min(most, told.mean))
                level = ConcurrencyLevel(min(MOST_ANSWERS, told.answers), mean, now)
                self._get_curve(told.slots).add(told.level, level, now)

    def adopt(self, levels, now):
        """Take what the fleet has learnt of this service.

        Parameters
        ----------
        levels : iterable of LevelProfile
            They take the place of the same levels told before.
        now : float
            Seconds of the node's clock.
        """
        for told in levels:
            level = ConcurrencyLevel(min(MOST_ANSWERS, told.answers), told.mean, now)
            self._get_curve(told.slots).told[told.level] = level
        for curve in self.curves.values():
            curve.reported.clear()
        self._usable.clear()

    def mark_published(self, levels, now):
        """Note that other nodes know of all own answers by some LevelProfiles."""
        for curve in self.curves.values():
            curve.own.clear()
        self.adopt(levels, now)


def build_level(slots, number, level):
    """Return the LevelProfile of a Level."""
    return LevelProfile(slots, number, level.answers, level.mean)


def count_answers(curves, now):
    """Return how many answers the levels of several curves stand for."""
    return sum(level.count(now) for levels in curves for level in levels.values())


def merge_level_profiles(profiles):
    """Return the LevelProfiles of the answers of several ServiceProfiles."""
    groups = {}
    for profile in profiles:
        for told in profile.levels:
            level = ConcurrencyLevel(told.answers, told.mean)
            groups.setdefault((told.slots, told.level), []).append(level)
    pooled = {key: combine(levels, 0.0) for key, levels in groups.items()}
    return tuple(
        build_level(slots, number, level)
        for (slots, number), level in sorted(pooled.items())
    )


def compute_concurrency_limits(levels):
    """Return what LevelProfiles say: the usable slots by the endpoint's slots."""
    curves = LatencyCurves()
    curves.adopt(levels, 0.0)
    return {slots: curves.get_concurrency_limit(slots, 0.0) for slots in curves.curves}
