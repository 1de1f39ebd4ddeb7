"""How long answers usually take, as a measure for single ones."""

from math import exp, log

from hingesill_core.routing.levels import FEWEST_ANSWERS, Level

__all__ = ["MOST_RATIO", "UsualTimes"]

# An answer within a smaller share of its route's usual time did no usual work, as one
# that failed at once: some in a hundred of these hid a slowdown by 1.7.
LEAST_RATIO = 1 / 3
# An answer counts as at most so many times slower than usual.
MOST_RATIO = 3.0
# No answer takes less; so its logarithm is bounded.
LEAST_SECONDS = 0.0001


class UsualTimes:
    """How long the answers of each route take, over all levels.

    Notes
    -----
    It moves slowly on purpose. Sends to fuller endpoints come in bursts, and a value
    that follows them within some ten answers takes a slowdown by 1.65 for one by 1.3.
    """

    def __init__(self):
        self._by_route = {}

    def keep(self, routes):
        """Forget all other routes."""
        self._by_route = {
            route: usual for route, usual in self._by_route.items() if route in routes
        }

    def rate(self, route, seconds, now):
        """Return an answer's time by the usual time, and let that follow it.

        Parameters
        ----------
        route : Route
            The request's.
        seconds : float
            From the send to the answer.
        now : float
            Seconds of the node's clock.

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
