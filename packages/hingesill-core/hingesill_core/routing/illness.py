"""Whether the word of endpoints that they are not well is believed.

The load: seven of 81 endpoints go down and up by turns. While one is down it says so,
with no request running, to whoever asks, and breaks off each request; as it is always
free it draws nearly all of them, and loses them.

Some endpoints say so though they are well, and a service may have no other.
"""

from msgspec import Struct

__all__ = ["IllWords"]

# Of the newest reply in the mean: some twenty replies count.
WEIGHT = 0.05
# If more of the replies say so, the word is not believed: the others could not do the
# work, and if most are lost then nothing is.
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
