"""Clocks of a node, and which one is for what.

Beliefs, requests' times and what nodes tell each other with an age go by the boot-time
clock: it goes on while the VM is suspended, so that nothing known before is taken for
news after it, and no request is sent whose time has passed. The monotonic clock is for
waits of this process alone, as the event loop's timers use it. The time of day is for
people and for what outlasts all processes.
"""

import time

__all__ = ["read_boot_time", "read_day_time"]


def read_boot_time():
    """Return the seconds since the VM started, those in which it was suspended too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_day_time():
    """Return the Unix seconds; they may step."""
    return time.time()
