"""Log lines on the standard output: bounded, and never waited for."""

import logging
import os
import select
import sys
import time

__all__ = ["BoundedHandler"]

# So that logs take at most 1% of a core.
LINES_A_SECOND = 160
# Most lines a second below WARNING, so that failures are kept before successes.
ORDINARY_LINES_A_SECOND = 100
# Bytes that a writable pipe accepts without blocking.
LONGEST_LINE = 4000
NO_WAIT = 0


class BoundedHandler(logging.Handler):
    """Writes lines as long as the reader keeps up, and counts what it drops.

    Parameters
    ----------
    number : int
        File descriptor.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, number=None, clock=time.monotonic):
        super().__init__()
        self._number = sys.stdout.fileno() if number is None else number
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(self._number, select.POLLOUT)
        self._second = 0
        self._written = 0
        self.dropped = 0

    def emit(self, record):
        """Write a line, or count it as dropped; see `logging.Handler`."""
        if not self._is_allowed(record.levelno):
            self.dropped += 1
            return
        if self.dropped:
            record.dropped = self.dropped
        line = (self.format(record) + "\n").encode()
        if len(line) > LONGEST_LINE or not self._poll.poll(NO_WAIT):
            self.dropped += 1
            return
        try:
            os.write(self._number, line)
        except OSError:
            self.dropped += 1  # The reader is gone; nothing can be told of it.
            return
        self.dropped = 0

    def _is_allowed(self, level):
        """Count a line against the limit of this second."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written = 0
        ordinary = level < logging.WARNING
        limit = ORDINARY_LINES_A_SECOND if ordinary else LINES_A_SECOND
        if self._written >= limit:
            return False
        self._written += 1
        return True
