"""Exponential back-off before a call is repeated."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Exponential back-off with jitter, to avoid a burst of calls to a returning store.

    Parameters
    ----------
    initial, maximum : float
        First and longest pause in seconds, before the jitter.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, initial=0.5, maximum=4.0, rng=None):
        self._initial = initial
        self._maximum = maximum
        self._rng = rng or random.Random()
        self._next = initial

    def get_pause(self):
        """Return the next pause in seconds."""
        pause = self._next * (0.5 + self._rng.random())
        self._next = min(self._maximum, self._next * 2)
        return pause

    def reset(self):
        """Start again with the initial pause."""
        self._next = self._initial
