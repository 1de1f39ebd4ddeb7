"""Estimate of the queueing time of new requests, for Retry-After headers."""

from msgspec import Struct

__all__ = ["DequeueInterval"]

# Weight of the newest interval in the mean, which thus covers about ten sends.
NEWEST_WEIGHT = 0.1


class DequeueInterval(Struct):
    """The mean interval at which queued requests of a service are sent.

    Attributes
    ----------
    interval : float
        Mean seconds between two sends while requests are queued.
    since : float
        Time of the last send, or when the queue became non-empty, in seconds of the
        node's clock.
    """

    interval: float = 0.0
    since: float = float("-inf")

    def start(self, now):
        """Record that the queue became non-empty."""
        self.since = now

    def record_dequeue(self, now):
        """Record that a queued request was sent."""
        self.interval += NEWEST_WEIGHT * (now - self.since - self.interval)
        self.since = now

    def estimate_wait(self, waiting, now):
        """Return the seconds until a request that arrives now would be sent.

        Parameters
        ----------
        waiting : int
            Requests already queued.
        now : float
            Seconds of the node's clock.
        """
        if not waiting:
            return 0.0
        return (waiting + 1) * max(self.interval, now - self.since)
