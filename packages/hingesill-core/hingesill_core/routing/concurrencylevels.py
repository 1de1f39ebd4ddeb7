"""The concurrency limit of an endpoint, estimated from response times.

Work may take longer for all requests at an endpoint once many of its slots are in use.
The level of an answer is the number of slots in use when its request was sent,
including its own. Throughput is highest at the level whose number, divided by the
response time at that level, is largest.
"""

from math import log, sqrt

from msgspec import Struct

__all__ = [
    "HALF_LIFE_SECONDS",
    "MAX_ANSWERS",
    "MIN_ANSWERS",
    "ConcurrencyLevel",
    "combine",
    "find_concurrency_limit",
]

# Number of answers that the mean of a level covers at most, so that it follows a
# change.
MAX_ANSWERS = 100
# Number of answers below which a level is ignored.
MIN_ANSWERS = 8
# Half-life of the answers of an unused level, in seconds.
HALF_LIFE_SECONDS = 120.0
# Standard deviation of the logarithm of the response time, divided by the route's
# baseline latency: variation of the work itself, and periods of slow VMs.
LOG_STANDARD_DEVIATION = 0.4
# Logarithm of the throughput that may be given up for a lower level with shorter
# response times.
LOG_THROUGHPUT_TOLERANCE = 0.09
# Standard errors by which a level must be worse than the best one to be excluded.
MIN_STANDARD_ERRORS = 0.75


class ConcurrencyLevel(Struct):
    """Answers of sends at one concurrency level.

    Attributes
    ----------
    answers : float
        Number of answers, decayed by age.
    mean : float
        Mean logarithm of the response time, divided by the route's baseline latency.
    recorded_at : float
        Time of the last answer, in seconds of the node's clock.
    """

    answers: float = 0.0
    mean: float = 0.0
    recorded_at: float = 0.0

    def record(self, value, now):
        """Record the logarithm of a ratio."""
        self.answers = min(MAX_ANSWERS, self.count(now)) + 1
        self.mean += (value - self.mean) / self.answers
        self.recorded_at = now

    def count(self, now):
        """Return the weighted number of answers now."""
        return self.answers * 0.5 ** ((now - self.recorded_at) / HALF_LIFE_SECONDS)


def combine(levels, now):
    """Return one ConcurrencyLevel for several; None stands for no answers."""
    levels = [level for level in levels if level is not None]
    counts = [level.count(now) for level in levels]
    total = sum(counts)
    if not total:
        return ConcurrencyLevel(recorded_at=now)
    means = (level.mean * count for level, count in zip(levels, counts))
    return ConcurrencyLevel(min(MAX_ANSWERS, total), sum(means) / total, now)


class Block(Struct):
    """Adjacent levels that are treated as equally fast.

    Attributes
    ----------
    numbers : list of int
        Numbers of the levels.
    answers, mean : float
        As in `ConcurrencyLevel`.
    """

    numbers: list
    answers: float
    mean: float

    def estimate_throughput(self):
        """Return the logarithm of the throughput at the highest of the levels."""
        return log(self.numbers[-1]) - self.mean


def build_blocks(known):
    """Return the levels as blocks with increasing means.

    Notes
    -----
    More slots in use never speed up work: where a few answers suggest it, the levels
    are merged (pool adjacent violators algorithm).
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


def find_concurrency_limit(known, slots):
    """Return the highest level at which one more slot in use increases the throughput.

    Parameters
    ----------
    known : dict
        `ConcurrencyLevel` by the number of slots in use, in ascending order.
    slots : int
        Slots of the endpoint.

    Notes
    -----
    This is the highest level that is not significantly worse than the best one. If it
    is the highest observed level, all slots are used, so that higher levels are
    observed.
    """
    if not known:
        return slots
    blocks = build_blocks(known)
    best = max(blocks, key=Block.estimate_throughput)

    def is_acceptable(block):
        loss = best.estimate_throughput() - block.estimate_throughput()
        error = LOG_STANDARD_DEVIATION * sqrt(1 / best.answers + 1 / block.answers)
        return (
            block is best
            or loss + LOG_THROUGHPUT_TOLERANCE <= MIN_STANDARD_ERRORS * error
        )

    highest = [block for block in blocks if is_acceptable(block)][-1]
    return slots if highest is blocks[-1] else highest.numbers[-1]
