"""Whether a service's endpoints slow down when their last slot is taken."""

from dataclasses import dataclass, field

__all__ = ["Knee", "Quantile"]

STEP = 0.05
FEWEST_ANSWERS = 30
# The last of n slots is worth its while if work then takes less than n/(n-1)
# times as long; a little less is asked for, as answers spread.
LEAST_EXCESS = 0.9


@dataclass(slots=True)
class Quantile:
    """Follows a quantile of what it is told.

    Attributes
    ----------
    share : float
        Of the values that are below it.
    """

    share: float = 0.5
    value: float = 1.0
    count: int = 0

    def note(self, value):
        """Take one value."""
        self.count += 1
        step = 2 * STEP * self.value
        self.value += step * (self.share if value > self.value else self.share - 1)


@dataclass(slots=True)
class Knee:
    """Compares answers of sends that filled an endpoint with all others.

    Attributes
    ----------
    full, other : Quantile
        Medians of times of answers, as multiples of their route's typical time.
    slots : int
        Of the endpoints, as last reported.
    """

    full: Quantile = field(default_factory=Quantile)
    other: Quantile = field(default_factory=Quantile)
    slots: int = 1

    def note(self, occupied, slots, ratio):
        """Take an answer.

        Parameters
        ----------
        occupied : int
            Requests at the endpoint when it got this one, this one included.
        slots : int
            The endpoint's.
        ratio : float
            Time of the answer by the route's typical time.
        """
        self.slots = slots
        if occupied == slots:
            self.full.note(ratio)
        elif occupied < slots:
            self.other.note(ratio)

    @property
    def is_there(self):
        """Whether the last slot is better left free."""
        if self.slots < 2 or min(self.full.count, self.other.count) < FEWEST_ANSWERS:
            return False
        break_even = self.slots / (self.slots - 1)
        return self.full.value / self.other.value > LEAST_EXCESS * break_even
