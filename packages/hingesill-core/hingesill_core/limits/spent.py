"""How long a caller has been trying, judged by the time it has left."""

from msgspec import Struct, field

__all__ = ["SpentTime"]

# A usual time that is not seen any more fades by this share a request.
FADE = 0.002


class SpentTime(Struct):
    """The usual time of each route's callers.

    Notes
    -----
    Callers of a route start with the same time and tell what is left. One that
    has less than usual is taken to have spent the rest on tries elsewhere: its
    answer can no longer meet the route's target, counted from its first try. A
    caller that has less from the start is only served after others.
    """

    usual: dict = field(default_factory=dict)

    def estimate(self, route, left):
        """Return the seconds that a caller seems to have spent.

        Parameters
        ----------
        route : Route
            The request's.
        left : float
            Seconds that the caller gave.
        """
        usual = max(left, self.usual.get(route, 0.0) * (1 - FADE))
        self.usual[route] = usual
        return usual - left
