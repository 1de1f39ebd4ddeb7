"""Whether endpoints that report themselves as unhealthy are passed by.

An endpoint that is down for a while may answer health checks with an error and no
running requests, and break off all requests. As it looks free it would draw most of
them. Some endpoints report so though they are healthy, and a service may have no other.
"""

from msgspec import Struct

__all__ = ["UnhealthyReports"]

# Weight of the newest reply in the mean; some twenty replies count.
REPLY_WEIGHT = 0.05
# Share of unhealthy replies above which they are ignored: the other endpoints could not
# do the work.
MAX_UNHEALTHY_SHARE = 0.5


class UnhealthyReports(Struct):
    """The share of recent replies whose endpoint reports itself as unhealthy.

    Attributes
    ----------
    share : float
        Of the replies.
    """

    share: float = 0.0

    def record(self, is_unhealthy):
        """Add a reply."""
        self.share += REPLY_WEIGHT * (is_unhealthy - self.share)

    def should_apply(self):
        """Tell whether unhealthy endpoints are passed by."""
        return self.share <= MAX_UNHEALTHY_SHARE
