"""How many slots of an endpoint are worth taking, learnt from answers.

Work may take longer for all requests at an endpoint once many of its slots are taken.
The level of an answer is how many slots were taken when its request was sent, that one
included. The most work is done at the level whose number, divided by the time that an
answer takes there, is largest.
"""

from math import exp, log, sqrt

from msgspec import Struct, field

from hingesill_core.routing.profile import LevelProfile, ServiceProfile

__all__ = [
    "SlotCurve",
    "SlotCurves",
    "UsualTimes",
    "conclude",
    "find_usable",
    "pool_profiles",
]

# Answers that a level's mean remembers, so that it follows a change.
MOST_ANSWERS = 100
# A level with fewer answers says nothing.
FEWEST_ANSWERS = 8
# Evidence of a level that is not used any more fades by half in so many seconds, so
# that the levels above are tried again.
HALF_LIFE = 120.0
# Spread of the logarithm of an answer's time, by the route's usual time. Source:
# answers of work times with a spread of 0.3 and spells of slow VMs, from the logs.
SPREAD = 0.4
# An answer within a smaller share of its route's usual time did no usual work, as one
# that failed at once: some in a hundred of these hid a slowdown by 1.7.
LEAST_RATIO = 1 / 3
# No answer takes less; so its logarithm is bounded.
LEAST_SECONDS = 0.0001
# An answer counts as at most so many times slower than usual.
MOST_RATIO = 3.0
# Of two levels at which the same work is done the lower one answers sooner; it may do
# less work by so much, as a logarithm. Source: chosen, half of the step from five slots
# to six.
LEAN = 0.09
# What a level does less than the best must exceed so many standard errors.
CERTAINTY = 0.75
# What the curves say is worked out again so often.
REVIEW_SECONDS = 0.25


class Level(Struct):
    """Answers of sends that found so many slots taken.

    Attributes
    ----------
    answers : float
        How many there were, less with their age.
    mean : float
        Of the logarithm of an answer's time, divided by its route's usual time.
    noted_at : float
        When the last one came, in seconds of the node's clock.
    """

    answers: float = 0.0
    mean: float = 0.0
    noted_at: float = 0.0

    def note(self, value, now):
        """Take one logarithm."""
        self.answers = min(MOST_ANSWERS, self.count(now)) + 1
        self.mean += (value - self.mean) / self.answers
        self.noted_at = now

    def count(self, now):
        """Return how many answers the mean stands for now."""
        return self.answers * 0.5 ** ((now - self.noted_at) / HALF_LIFE)


def combine(levels, now):
    """Return one Level for the answers of several; None stands for no answers."""
    levels = [level for level in levels if level is not None]
    counts = [level.count(now) for level in levels]
    total = sum(counts)
    if not total:
        return Level(noted_at=now)
    means = (level.mean * count for level, count in zip(levels, counts))
    return Level(min(MOST_ANSWERS, total), sum(means) / total, now)


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
        for number in range(1, self.slots + 1):
            level = combine((self.own.get(number), self.told.get(number)), now)
            if level.answers < FEWEST_ANSWERS and pooled is not None:
                level = combine((pooled.own.get(number), pooled.told.get(number)), now)
            if level.answers >= FEWEST_ANSWERS:
                known[number] = level
        return known


class Block(Struct):
    """Adjacent levels that count as equally fast.

    Attributes
    ----------
    numbers : list of int
        Of the levels.
    answers, mean : float
        As of a `Level`.
    """

    numbers: list
    answers: float
    mean: float

    def estimate_work(self):
        """Return the logarithm of the work done at the highest of the levels."""
        return log(self.numbers[-1]) - self.mean


def build_blocks(known):
    """Return the levels as blocks whose means rise.

    Notes
    -----
    More taken slots never make work faster: where few answers look as if, the levels
    are taken together (pooled adjacent violators).
    """
    blocks = []
    for number, level in known.items():
        blocks.append(Block([number], level.answers, level.mean))
        while len(blocks) > 1 and blocks[-2].mean >= blocks[-1].mean:
            upper, lower = blocks.pop(), blocks.pop()
            total = lower.answers + upper.answers
            mean = (lower.mean * lower.answers + upper.mean * upper.answers) / total
            blocks.append(Block(lower.numbers + upper.numbers, total, mean))
    return blocks


def find_usable(known, slots):
    """Return the level up to which taking one more slot does more work.

    Parameters
    ----------
    known : dict
        `Level` by the number of taken slots, in rising order.
    slots : int
        Of the endpoint.

    Notes
    -----
    That is the highest level that is not worse than the best beyond doubt. Levels
    above all that are known are taken, so that something is learnt of them.
    """
    if not known:
        return slots
    blocks = build_blocks(known)
    best = max(blocks, key=Block.estimate_work)

    def is_good(block):
        loss = best.estimate_work() - block.estimate_work()
        error = SPREAD * sqrt(1 / best.answers + 1 / block.answers)
        return block is best or loss + LEAN <= CERTAINTY * error

    highest = [block for block in blocks if is_good(block)][-1]
    return slots if highest is blocks[-1] else highest.numbers[-1]


class UsualTimes:
    """How long the answers of each route take, over all levels.

    Notes
    -----
    It moves slowly on purpose. Sends to fuller endpoints come in bursts, and a value
    that follows them within some ten answers takes a slowdown by 1.65 for one by 1.3.
    """

    def __init__(self):
        self._by_route = {}

    def rate(self, route, seconds, now):
        """Return an answer's time by the usual time, and let that follow it.

        Returns
        -------
        float or None
            None as long as little is known, or if no usual work was done.
        """
        usual = self._by_route.setdefault(route, Level())
        value = log(max(seconds, LEAST_SECONDS))
        if usual.answers < FEWEST_ANSWERS:
            usual.note(value, now)
            return None
        ratio = exp(value - usual.mean)
        if ratio < LEAST_RATIO:
            return None
        usual.note(min(value, usual.mean + log(MOST_RATIO)), now)
        return ratio


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
        """Return how many of an endpoint's slots are worth taking."""
        usable, until = self._usable.get(slots, (slots, now))
        if now >= until:
            usable = self._find_usable(slots, now)
            self._usable[slots] = usable, now + REVIEW_SECONDS
        return usable

    def _find_usable(self, slots, now):
        pooled = self.pooled.curves.get(slots) if self.pooled is not None else None
        known = self._get_curve(slots).list_known(pooled, now)
        return find_usable(known, slots)

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
                for number in sorted(curve.own.keys() | curve.told.keys())
                for level in [
                    combine((curve.own.get(number), curve.told.get(number)), now)
                ]
            )
        )

    def adopt(self, profile, now):
        """Take what other nodes have learnt of this service."""
        for told in profile.levels:
            level = Level(min(MOST_ANSWERS, told.answers), told.mean, now)
            self._get_curve(told.slots).told[told.level] = level
        self._usable.clear()

    def forget_untold(self):
        """Note that other nodes know of all own answers by now."""
        for curve in self.curves.values():
            curve.own.clear()


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
