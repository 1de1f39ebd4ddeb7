"""Turns of green threads whose clients leave them nothing to wait for."""

import time

from eventlet import hubs
from eventlet.semaphore import Semaphore

__all__ = ["Turn", "TurnGate"]

TURN_SECONDS = 0.002


class TurnGate:
    """Limits how many requests of a kind start while other green threads wait.

    Parameters
    ----------
    requests : int
        Number of requests that may start before each other green thread that is ready
        has run.
    """

    def __init__(self, requests):
        self._semaphore = Semaphore(requests)

    def pass_through(self):
        """Wait until a request of the kind may start."""
        self._semaphore.acquire()
        hubs.get_hub().schedule_call_global(0, self._semaphore.release)


CONTINUATION_GATE = TurnGate(1)


class Turn:
    """Time for which a green thread runs before others do.

    Notes
    -----
    A socket that always has input never makes its green thread wait. Of all green
    threads whose turn is over, one goes on before the others that are ready have run,
    so that what many of them take together is bounded, too.
    """

    def __init__(self):
        self._began_at = time.monotonic()

    def begin(self):
        """Begin a turn, after a wait."""
        self._began_at = time.monotonic()

    def is_over(self):
        """Return whether the turn has lasted for long."""
        return time.monotonic() - self._began_at >= TURN_SECONDS

    def pause(self):
        """Let other green threads run."""
        CONTINUATION_GATE.pass_through()
        self.begin()

    def end_read(self, began_at):
        """Begin a new turn if a read has lasted so long that it must have waited.

        Parameters
        ----------
        began_at : float
            Monotonic seconds at which it began.
        """
        now = time.monotonic()
        if now - began_at >= TURN_SECONDS:
            self._began_at = now
