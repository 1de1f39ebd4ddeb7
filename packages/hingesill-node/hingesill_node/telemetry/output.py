"""Rate-limited, non-blocking log output to the standard output."""

import logging
import os
import select
import sys
import time

__all__ = ["BoundedHandler"]

# Keeps the cost of logging below 1% of a core.
MAX_LINES_PER_SECOND = 160
# Limit for lines below WARNING, so that routine lines do not displace those on
# failures.
MAX_ROUTINE_LINES_PER_SECOND = 100
# A writable pipe accepts this many bytes without blocking.
MAX_LINE_BYTES = 4000
POLL_TIMEOUT_MS = 0


class BoundedHandler(logging.Handler):
    """Log handler that drops and counts lines if the reader does not keep up.

    Parameters
    ----------
    number : int
        File descriptor to write to; the standard output if None.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, number=None, clock=time.monotonic):
        super().__init__()
        self._number = sys.stdout.fileno() if number is None else number
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(self._number, select.POLLOUT)
        self._current_second = 0
        self._lines_written = 0
        self.dropped = 0

    def emit(self, record):
        """Write a record, or count it as dropped; see `logging.Handler`."""
        if not self._is_allowed(record.levelno):
            self.dropped += 1
            return
        if self.dropped:
            record.dropped = self.dropped
        line = (self.format(record) + "\n").encode()
        if len(line) > MAX_LINE_BYTES or not self._poll.poll(POLL_TIMEOUT_MS):
            self.dropped += 1
            return
        try:
            os.write(self._number, line)
        except OSError:
            self.dropped += 1  # The reader has closed its end.
            return
        self.dropped = 0

    def _is_allowed(self, level):
        """Return whether the rate limit allows a line, and count the line."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._lines_written = 0
        is_routine = level < logging.WARNING
        limit = MAX_ROUTINE_LINES_PER_SECOND if is_routine else MAX_LINES_PER_SECOND
        if self._lines_written >= limit:
            return False
        self._lines_written += 1
        return True
