"""Suspend a process like its VM: its monotonic clock excludes that time."""

import signal
import sys
import time
from pathlib import Path

from standins import suspendedclock
from standins.suspendedclock import SECONDS

__all__ = ["Suspension"]

# Process state in /proc/PID/stat of a process stopped by a signal.
STOPPED = "T"


class Suspension:
    """The suspensions of one process, and of the processes that replace it.

    Parameters
    ----------
    file : Path
        File with the seconds that the monotonic clock excludes.
    """

    def __init__(self, file):
        self.file = Path(file)
        self.file.write_bytes(SECONDS.pack(0.0))
        self._excluded = 0.0
        self._since = 0.0

    def wrap(self, program, *arguments):
        """Return the arguments that run a Python program with this clock."""
        interpreter = [sys.executable, suspendedclock.__file__]
        return [*interpreter, str(self.file), program, *arguments]

    def begin(self, process):
        """Suspend a process."""
        self._since = time.monotonic()
        process.send_signal(signal.SIGSTOP)

    def end(self, process):
        """Resume a process.

        Notes
        -----
        A process that has been resumed by something else, or has exited, is left as it
        is: a monotonic clock must not go back.
        """
        if process.poll() is not None or not is_stopped(process):
            return
        self._excluded += time.monotonic() - self._since
        # Written in place, as the process has mapped the file into its memory.
        with self.file.open("r+b") as file:
            file.write(SECONDS.pack(self._excluded))
        process.send_signal(signal.SIGCONT)


def is_stopped(process):
    """Return whether the kernel reports a process as stopped."""
    stat = Path(f"/proc/{process.pid}/stat").read_text()
    return stat.rpartition(")")[2].split()[0] == STOPPED
