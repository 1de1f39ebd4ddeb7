"""Run a program whose monotonic clock excludes the time in which it was suspended.

Usage: ``python suspendedclock.py FILE PROGRAM ARGUMENT...``. FILE contains these
seconds as a double; the process that suspends the program writes them before it resumes
the program. The boot-time clock and the time of day include them, as on a VM that was
suspended.
"""

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

__all__ = ["SECONDS", "patch_clock"]

SECONDS = struct.Struct("d")


def patch_clock(path):
    """Subtract the seconds in a file, now and after each update, from the clock."""
    with open(path, "rb") as file:
        excluded = mmap.mmap(file.fileno(), SECONDS.size, access=mmap.ACCESS_READ)
    read, read_ns = time.monotonic, time.monotonic_ns
    time.monotonic = lambda: read() - SECONDS.unpack_from(excluded)[0]
    time.monotonic_ns = lambda: read_ns() - int(SECONDS.unpack_from(excluded)[0] * 1e9)


def main():
    """Run the program as the main module."""
    _, path, program, *arguments = sys.argv
    patch_clock(path)
    sys.argv = [program, *arguments]
    # Modules beside the program must be importable, as when it is run directly.
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
