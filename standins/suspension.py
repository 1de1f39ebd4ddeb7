"""Suspends a process as its VM would be: its steady clock leaves that time out."""

import signal
import sys
import time
from pathlib import Path

from standins import suspendedclock
from standins.suspendedclock import SECONDS

__all__ = ["Suspension"]

# How the kernel shows a process that was stopped by a signal.
STOPPED = "T"


class Suspension:
    """The suspensions of one process, and of those that take its place.

    Parameters
    ----------
    file : Path
        Holds the seconds that its steady clock leaves out.
    """

    def __init__(self, file):
        self.file = Path(file)
        self.file.write_bytes(SECONDS.pack(0.0))
        self._left_out = 0.0
        self._since = 0.0

    def wrap(self, program):
        """Return the arguments that run a Python program with that clock."""
        return [sys.executable, suspendedclock.__file__, str(self.file), program]

    def begin(self, process):
        """Let a process stand still."""
        self._since = time.monotonic()
        process.send_signal(signal.SIGSTOP)

    def end(self, process):
        """Let it go on.

        Notes
        -----
        A process that something else has let go on, or ended, stays as it is: a steady
        clock doesn't go back.
        """
        if process.poll() is not None or not stands_still(process):
            return
        self._left_out += time.monotonic() - self._since
        # In place, as the process has the file's memory.
        with self.file.open("r+b") as file:
            file.write(SECONDS.pack(self._left_out))
        process.send_signal(signal.SIGCONT)


def stands_still(process):
    """Tell whether the kernel shows a process as stopped."""
    stat = Path(f"/proc/{process.pid}/stat").read_text()
    return stat.rpartition(")")[2].split()[0] == STOPPED
