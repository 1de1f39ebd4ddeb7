"""Limit on the number of log lines per second."""

import time

__all__ = ["LogRate"]


class LogRate:
    """Limits how often something is logged.

    Parameters
    ----------
    lines_per_second : int
        Maximum number of lines.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, lines_per_second, clock=time.monotonic):
        self.lines_per_second = lines_per_second
        self.clock = clock
        self._second = 0
        self._lines = 0

    def admit(self):
        """Return whether one more line may be logged, and count it."""
        second = int(self.clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self.lines_per_second
