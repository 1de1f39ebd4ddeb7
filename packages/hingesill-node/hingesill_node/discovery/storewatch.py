"""One waiting watch of the store, which this node may end."""

import eventlet
from greenlet import GreenletExit

__all__ = ["StoreWatch"]


class StoreWatch:
    """Waits for changes in a green thread of its own.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    since : float or None
        When the watch under way began; None without one.
    """

    def __init__(self, clock):
        self.clock = clock
        self.since = None
        self._thread = None

    def wait(self, source, position, seconds):
        """Return what a watch brings, or None if it was interrupted.

        Parameters
        ----------
        source : DirectorySource
            The store; what can go wrong there is a value, see `DirectorySource`.
        position : Position
            Changes after it are waited for.
        seconds : float
            Longest wait.
        """
        self.since = self.clock()
        self._thread = eventlet.spawn(source.wait, position, seconds)
        try:
            return self._thread.wait()
        except GreenletExit:
            return None
        finally:
            self._thread = self.since = None

    def interrupt(self):
        """End the watch that is under way.

        Notes
        -----
        Its green thread is ended: closing the socket under it would not wake
        it, as eventlet tells a waiting thread of that only once the file
        descriptor is used again.
        """
        if self._thread is not None:
            self._thread.kill()

    def has_waited(self, seconds):
        """Tell whether a watch is under way that began so long ago."""
        return self.since is not None and self.clock() - self.since > seconds
