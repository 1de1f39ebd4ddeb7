"""A watch of the store that the node may interrupt."""

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
        When the current watch began; None without one.
    """

    def __init__(self, clock):
        self.clock = clock
        self.since = None
        self._thread = None

    def wait(self, source, position, seconds):
        """Return the answer of a watch, or None if it was interrupted.

        Parameters
        ----------
        source : DirectorySource
            The store; it returns failures as values, see `DirectorySource`.
        position : Position
            Position after which changes are watched for.
        seconds : float
            Maximum wait.
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
        """Interrupt the current watch.

        Notes
        -----
        Its green thread is killed. Closing its socket would not wake it, as eventlet
        notifies a waiting thread of that only once the file descriptor is used again.
        """
        if self._thread is not None:
            self._thread.kill()

    def has_waited(self, seconds):
        """Return whether the current watch has lasted longer than ``seconds``."""
        return self.since is not None and self.clock() - self.since > seconds
