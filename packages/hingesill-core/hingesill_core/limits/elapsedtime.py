"""How long a caller has been trying, judged by the time it has left."""

from msgspec import Struct, field

from hingesill_core.routing.quantile import Quantile

__all__ = ["ElapsedTimeEstimator"]

# The longest time that is not seen any more fades by this share a request.
FADE = 0.002
# First tries bring at least this share of the longest time; what brings less says
# nothing of them: a caller that comes back after a second, with four seconds in all,
# brings less.
LEAST_OF_FIRST = 0.8
# Accepted share of first tries that are classified as repeated ones.
MISTAKEN_SHARE = 0.15
# Step of the estimate, as a share of the longest time.
STEP = 0.01
# Time without learning after an unserved request, in seconds: callers return then.
TROUBLE_SECONDS = 2.0
# Initial estimate of the least time of first tries, as a share of the longest.
FIRST_GUESS = 0.95


class ElapsedTimeEstimator(Struct):
    """The time that callers of each route bring with their first tries.

    Notes
    -----
    Callers tell what time is left. One that has clearly less than first tries bring is
    taken to have spent the rest on tries elsewhere: its answer can no longer meet the
    route's target, counted from its first try, and it is served after others. How much
    first tries differ is learnt from all routes together, as a node of a large fleet
    sees few requests of each.

    Were each measured by the longest time, many first tries that bring less would be
    taken for late ones, and would wait for an endpoint after all others.

    Attributes
    ----------
    longest : dict
        Seconds by route; the most that a caller of late has brought.
    least : Quantile
        Share of the longest time that nearly all first tries bring.
    learns_from : float
        Seconds of the node's clock from which on it learns that share.
    """

    longest: dict = field(default_factory=dict)
    least: Quantile = field(
        default_factory=lambda: Quantile(MISTAKEN_SHARE, FIRST_GUESS, STEP)
    )
    learns_from: float = float("-inf")

    def record_unserved(self, now):
        """Take note, in seconds of the node's clock, that a caller got no answer."""
        self.learns_from = now + TROUBLE_SECONDS

    def estimate(self, route, left, now):
        """Return the seconds that a caller seems to have spent.

        Parameters
        ----------
        route : Route
            The request's.
        left : float
            Seconds that the caller gave.
        now : float
            Seconds of the node's clock.
        """
        learns = now >= self.learns_from
        kept = 1 - FADE if learns else 1.0
        longest = max(left, self.longest.get(route, 0.0) * kept)
        self.longest[route] = longest
        if not longest:
            return 0.0
        brought = left / longest
        if learns and brought >= LEAST_OF_FIRST:
            self.least.note(brought)
        return max(0.0, min(1.0, self.least.value) * longest - left)
