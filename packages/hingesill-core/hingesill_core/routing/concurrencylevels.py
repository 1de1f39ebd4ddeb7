"""How many slots of an endpoint are worth taking, learnt from answers.

Work may take longer for all requests at an endpoint once many of its slots are taken.
The level of an answer is how many slots were taken when its request was sent, that one
included. The most work is done at the level whose number, divided by the time that an
answer takes there, is largest.
"""

from math import log, sqrt

from msgspec import Struct

__all__ = [
    "FEWEST_ANSWERS",
    "HALF_LIFE",
    "MOST_ANSWERS",
    "ConcurrencyLevel",
    "combine",
    "find_usable",
]

# Answers that a level's mean remembers, so that it follows a change.
MOST_ANSWERS = 100
# A level with fewer answers says nothing.
FEWEST_ANSWERS = 8
# Half-life of the evidence on an unused level, in seconds.
HALF_LIFE = 120.0
# Spread of the logarithm of an answer's time, by the route's usual time: that of the
# work itself, and spells of slow VMs.
SPREAD = 0.4
# Logarithm of the throughput that may be given up for a lower level, which answers
# sooner.
LEAN = 0.09
# Standard errors by which a level must fall short of the best one.
CERTAINTY = 0.75


class ConcurrencyLevel(Struct):
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
        return ConcurrencyLevel(noted_at=now)
    means = (level.mean * count for level, count in zip(levels, counts))
    return ConcurrencyLevel(min(MOST_ANSWERS, total), sum(means) / total, now)


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
