"""Response times by the number of slots in use, by service and size of endpoint."""

from math import log

from msgspec import Struct, field

from hingesill_core.routing.baselinelatency import MAX_RATIO
from hingesill_core.routing.concurrencylevels import (
    MAX_ANSWERS,
    MIN_ANSWERS,
    ConcurrencyLevel,
    combine,
    find_concurrency_limit,
)
from hingesill_core.routing.profile import LevelProfile

__all__ = [
    "LatencyCurve",
    "LatencyCurves",
    "compute_concurrency_limits",
    "merge_level_profiles",
]

# Interval at which the concurrency limits are computed again, in seconds.
UPDATE_SECONDS = 0.25


class LatencyCurve(Struct):
    """Response times by the number of slots in use, for endpoints of one size.

    Attributes
    ----------
    slots : int
        Slots of each endpoint.
    own, reported, published : dict
        `ConcurrencyLevel` by the number of slots in use: of answers at this node that
        are not reported yet, of those reported to its relay but not yet published, and
        of those published to the fleet.
    """

    slots: int
    own: dict = field(default_factory=dict)
    reported: dict = field(default_factory=dict)
    published: dict = field(default_factory=dict)

    def record(self, number, ratio, now):
        """Record an answer of a send that brought this many slots into use."""
        self.own.setdefault(number, ConcurrencyLevel()).record(
            log(min(ratio, MAX_RATIO)), now
        )

    def list_known(self, pooled, now):
        """Return the levels with enough answers, by number in ascending order.

        Parameters
        ----------
        pooled : LatencyCurve or None
            Curve over all services of the node, used for levels without enough answers
            of this service.
        now : float
            Seconds of the node's clock.
        """
        known = {}
        numbers = self.list_numbers() | (pooled.list_numbers() if pooled else set())
        for number in sorted(numbers):
            level = self.combine(number, now)
            if level.answers < MIN_ANSWERS and pooled is not None:
                level = pooled.combine(number, now)
            if level.answers >= MIN_ANSWERS:
                known[number] = level
        return known

    def list_numbers(self):
        """Return the set of levels with any answers."""
        return self.own.keys() | self.reported.keys() | self.published.keys()

    def combine(self, number, now):
        """Return one ConcurrencyLevel for own, reported and published answers."""
        known = (self.own, self.reported, self.published)
        return combine((levels.get(number) for levels in known), now)

    def add(self, number, level, now):
        """Add answers of another node to the own ones."""
        self.own[number] = combine((self.own.get(number), level), now)


class LatencyCurves:
    """The curves of one service, by the endpoint's number of slots.

    Parameters
    ----------
    pooled : LatencyCurves or None
        Curves over all services of the node; each answer is recorded there too.
    """

    def __init__(self, pooled=None):
        self.pooled = pooled
        self.curves = {}
        self._limits = {}

    def record(self, number, slots, ratio, now):
        """Record an answer.

        Parameters
        ----------
        number : int
            Slots in use when the request was sent, including its own.
        slots : int
            Slots of the endpoint.
        ratio : float
            Response time divided by the route's baseline latency.
        now : float
            Seconds of the node's clock.
        """
        if not 0 < number <= slots:
            return
        self._get_curve(slots).record(number, ratio, now)
        if self.pooled is not None:
            self.pooled.record(number, slots, ratio, now)

    def _get_curve(self, slots):
        curve = self.curves.get(slots)
        if curve is None:
            curve = self.curves[slots] = LatencyCurve(slots)
        return curve

    def get_concurrency_limit(self, slots, now):
        """Return the number of an endpoint's slots to use.

        Parameters
        ----------
        slots : int
            Slots of the endpoint.
        now : float
            Seconds of the node's clock.
        """
        limit, until = self._limits.get(slots, (slots, now))
        if now >= until:
            limit = self._find_concurrency_limit(slots, now)
            self._limits[slots] = limit, now + UPDATE_SECONDS
        return limit

    def _find_concurrency_limit(self, slots, now):
        pooled = self.pooled.curves.get(slots) if self.pooled is not None else None
        curve = self.curves.get(slots) or LatencyCurve(slots)
        return find_concurrency_limit(curve.list_known(pooled, now), slots)

    def get_unpublished_share(self, now):
        """Return the share of the answers that is not published."""
        own = count_answers((curve.own for curve in self.curves.values()), now)
        published = self.count_published(now)
        return own / (own + published) if own >= MIN_ANSWERS else 0.0

    def count_published(self, now):
        """Return the weighted number of published answers."""
        return count_answers((curve.published for curve in self.curves.values()), now)

    def list_levels(self, now):
        """Return the LevelProfiles of all answers."""
        return tuple(
            build_level(slots, number, curve.combine(number, now))
            for slots, curve in sorted(self.curves.items())
            for number in sorted(curve.list_numbers())
        )

    def list_published(self, now):
        """Return the LevelProfiles of the published answers."""
        return tuple(
            build_level(slots, number, level)
            for slots, curve in sorted(self.curves.items())
            for number, level in sorted(curve.published.items())
        )

    def take_unreported(self, now):
        """Return the LevelProfiles of own answers and mark these as reported.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.

        Notes
        -----
        Reported answers count at this node until the next profile is published.
        """
        unreported = []
        for slots, curve in sorted(self.curves.items()):
            for number, level in sorted(curve.own.items()):
                unreported.append(build_level(slots, number, level))
                reported = (curve.reported.get(number), level)
                curve.reported[number] = combine(reported, now)
            curve.own.clear()
        return tuple(unreported)

    def merge_report(self, levels, now):
        """Add another node's answers to the own ones.

        Parameters
        ----------
        levels : iterable of LevelProfile
            Invalid levels are ignored, and the report counts for at most MAX_ANSWERS
            per level.
        now : float
            Seconds of the node's clock.
        """
        for item in levels:
            if 0 < item.level <= item.slots and item.answers > 0:
                max_mean = log(MAX_RATIO)
                mean = max(-max_mean, min(max_mean, item.mean))
                level = ConcurrencyLevel(min(MAX_ANSWERS, item.answers), mean, now)
                self._get_curve(item.slots).add(item.level, level, now)

    def adopt(self, levels, now):
        """Apply the published observations of this service.

        Parameters
        ----------
        levels : iterable of LevelProfile
            They replace the same levels published before.
        now : float
            Seconds of the node's clock.
        """
        for item in levels:
            level = ConcurrencyLevel(min(MAX_ANSWERS, item.answers), item.mean, now)
            self._get_curve(item.slots).published[item.level] = level
        for curve in self.curves.values():
            curve.reported.clear()
        self._limits.clear()

    def mark_published(self, levels, now):
        """Mark all own answers as published in the given LevelProfiles."""
        for curve in self.curves.values():
            curve.own.clear()
        self.adopt(levels, now)


def build_level(slots, number, level):
    """Return the LevelProfile of a ConcurrencyLevel."""
    return LevelProfile(slots, number, level.answers, level.mean)


def count_answers(curves, now):
    """Return the weighted number of answers of several curves."""
    return sum(level.count(now) for levels in curves for level in levels.values())


def merge_level_profiles(profiles):
    """Return the merged LevelProfiles of several ServiceProfiles."""
    groups = {}
    for profile in profiles:
        for item in profile.levels:
            level = ConcurrencyLevel(item.answers, item.mean)
            groups.setdefault((item.slots, item.level), []).append(level)
    pooled = {key: combine(levels, 0.0) for key, levels in groups.items()}
    return tuple(
        build_level(slots, number, level)
        for (slots, number), level in sorted(pooled.items())
    )


def compute_concurrency_limits(levels):
    """Return the concurrency limit by the endpoint's slots, from LevelProfiles."""
    curves = LatencyCurves()
    curves.adopt(levels, 0.0)
    return {slots: curves.get_concurrency_limit(slots, 0.0) for slots in curves.curves}
