"""Growing pauses before a call is made again."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Growing pauses with jitter, so that a returning store is not stormed.

    Parameters
    ----------
    first, longest : float
        Seconds.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, first=0.5, longest=4.0, rng=None):
        self._first = first
        self._longest = longest
        self._rng = rng or random.Random()
        self._next = first

    def get_pause(self):
        """Return the next pause in seconds."""
        pause = self._next * (0.5 + self._rng.random())
        self._next = min(self._longest, self._next * 2)
        return pause

    def reset(self):
        """Begin again with the shortest pause."""
        self._next = self._first
