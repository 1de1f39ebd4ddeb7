"""Whether the word of endpoints that they are not well is believed.

The load: seven of 81 endpoints go down and up by turns. While one is down it says so,
with no request running, to whoever asks, and breaks off each request; as it is always
free it draws nearly all of them. Of the sends to endpoints that had just said that they
are not well 216 of 217 were lost, of 3,532 others none (95 nodes, the first ten seconds
of a day's log with such a spell and a burst).

Some endpoints say so though they are well, and a service may have no other.
"""

from msgspec import Struct

__all__ = ["IllWords"]

# Of the newest reply in the mean. Source: some twenty replies count.
WEIGHT = 0.05
# If more of the replies say so, the word is not believed: the others could not do the
# work, and if most are lost then nothing is. Source: chosen; half of the endpoints.
MOST_BELIEVED = 0.5


class IllWords(Struct):
    """The share of replies, of late, that say that their endpoint is not well.

    Attributes
    ----------
    share : float
        Of the replies.
    """

    share: float = 0.0

    def note(self, is_ill):
        """Take note of what a reply said."""
        self.share += WEIGHT * (is_ill - self.share)

    def are_believed(self):
        """Tell whether endpoints that say so are passed by."""
        return self.share <= MOST_BELIEVED
