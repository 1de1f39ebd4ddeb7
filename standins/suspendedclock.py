"""Runs a program whose steady clock leaves out the time in which it was suspended.

``python suspendedclock.py FILE PROGRAM ARGUMENT...``. FILE holds these seconds, a
double; who stops the process writes them before it goes on. The clock of the boot and
the time of day count them, as on a VM that was suspended.
"""

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

__all__ = ["SECONDS", "leave_out"]

SECONDS = struct.Struct("d")


def leave_out(path):
    """Take the seconds that a file holds out of the steady clock, now and later."""
    with open(path, "rb") as file:
        held = mmap.mmap(file.fileno(), SECONDS.size, access=mmap.ACCESS_READ)
    read, read_ns = time.monotonic, time.monotonic_ns
    time.monotonic = lambda: read() - SECONDS.unpack_from(held)[0]
    time.monotonic_ns = lambda: read_ns() - int(SECONDS.unpack_from(held)[0] * 1e9)


def main():
    """Run the program as if it had been called alone."""
    _, path, program, *arguments = sys.argv
    leave_out(path)
    sys.argv = [program, *arguments]
    # Modules beside the program are found as if it had been called itself.
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
