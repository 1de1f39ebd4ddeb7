"""Whether endpoints that report themselves as unhealthy are skipped.

An endpoint that fails for a while may answer health checks with an error and no running
requests, and close the connections of all requests. As it looks idle it would attract
most of them. Some endpoints report so though they are healthy, and a service may have
no other.
"""

from msgspec import Struct

__all__ = ["UnhealthyReports"]

# Weight of the newest reply in the mean, which covers about twenty replies.
REPLY_WEIGHT = 0.05
# Share of unhealthy replies above which they are ignored, as the other endpoints could
# not take the load.
MAX_UNHEALTHY_SHARE = 0.5


class UnhealthyReports(Struct):
    """The share of recent replies whose endpoint reports itself as unhealthy.

    Attributes
    ----------
    share : float
        Share of the replies.
    """

    share: float = 0.0

    def record(self, is_unhealthy):
        """Add a reply."""
        self.share += REPLY_WEIGHT * (is_unhealthy - self.share)

    def should_apply(self):
        """Return whether unhealthy endpoints are skipped."""
        return self.share <= MAX_UNHEALTHY_SHARE
