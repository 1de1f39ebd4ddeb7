"""Clocks of a node and their uses.

Known records, request deadlines and the ages in messages between nodes use the
boot-time clock. It continues while the VM is suspended, so that records from before a
suspension do not count as recent after it, and no request is sent past its deadline.
The monotonic clock is only for waits within this process, as the event loop's timers
use it. The time of day is for people and for data that outlasts all processes.
"""

import time

__all__ = ["read_boot_time", "read_day_time"]


def read_boot_time():
    """Return the seconds since the VM booted, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_day_time():
    """Return the Unix time in seconds; it may jump."""
    return time.time()
