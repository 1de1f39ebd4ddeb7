"""Thread-safe handover of calls from native threads to the hub.

All decisions are made on the hub's thread.
"""

import os
from collections import deque

import eventlet
from eventlet import hubs

__all__ = ["Bridge"]

READ_BYTES = 4096


class Bridge:
    """Queue of calls with a pipe that wakes the hub.

    Notes
    -----
    ``post`` may be called from any thread. The calls run one after another in one
    green thread of the hub.
    """

    def __init__(self):
        self._calls = deque()
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        os.set_blocking(self._write_end, False)
        self._thread = None

    def start(self):
        """Start to run calls; called on the hub's thread."""
        self._thread = eventlet.spawn(self._run)

    def post(self, call, *arguments):
        """Schedule a call on the hub's thread."""
        self._calls.append((call, arguments))
        try:
            os.write(self._write_end, b"x")
        except BlockingIOError:
            pass  # The pipe is full, so the hub wakes up in any case.

    def _run(self):
        while True:
            hubs.trampoline(self._read_end, read=True)
            os.read(self._read_end, READ_BYTES)
            while self._calls:
                call, arguments = self._calls.popleft()
                call(*arguments)
