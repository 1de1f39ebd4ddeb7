"""How soon requests that wait find endpoints, for those that are told to come back."""

from msgspec import Struct

__all__ = ["DequeueInterval"]

# Of the newest interval in the mean, so that some ten sends count.
WEIGHT = 0.1


class DequeueInterval(Struct):
    """The pace at which waiting requests of a service are sent.

    Attributes
    ----------
    interval : float
        Mean seconds between two sends while requests wait.
    since : float
        When the last one was sent, or when requests began to wait; in seconds of the
        node's clock.
    """

    interval: float = 0.0
    since: float = float("-inf")

    def begin(self, now):
        """Take note that a first request waits."""
        self.since = now

    def note(self, now):
        """Take note that a request that waited was sent."""
        self.interval += WEIGHT * (now - self.since - self.interval)
        self.since = now

    def estimate(self, waiting, now):
        """Return the seconds until a request that came now would be sent.

        Parameters
        ----------
        waiting : int
            Requests that wait already.
        now : float
            Seconds of the node's clock.
        """
        if not waiting:
            return 0.0
        return (waiting + 1) * max(self.interval, now - self.since)
