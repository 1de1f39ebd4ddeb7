"""Waiting for one socket, or the first of several, in one green thread."""

import greenlet
from eventlet import hubs

__all__ = ["Wake", "WaitTimeout", "receive", "wait_any"]


class WaitTimeout(Exception):
    """The time limit passed before data arrived."""


class Wake:
    """Switches back to a waiting green thread, at most once.

    Notes
    -----
    The hub collects all ready sockets before it calls back, so a second socket may
    call after the first one has ended the wait.
    """

    def __init__(self):
        self._greenlet = greenlet.getcurrent()
        self._is_done = False

    def switch(self, fd=None):
        """End the wait because a socket is ready or the time has passed."""
        if not self._is_done:
            self._is_done = True
            self._greenlet.switch(fd)

    def throw(self, *error):
        """End the wait because a socket was closed on this side."""
        if not self._is_done:
            self._is_done = True
            self._greenlet.throw(*error)


def ignore():
    """Do nothing on close: the waiting code closes its sockets itself."""


def receive(sock, size, seconds=None):
    """Return bytes of a green socket; empty if the peer has closed it.

    Parameters
    ----------
    sock : GreenSocket
        The socket.
    size : int
        Maximum number of bytes to return.
    seconds : float or None
        Maximum wait; the socket's timeout if None.

    Raises
    ------
    WaitTimeout
        If no data arrives in time.
    OSError
        If the connection was reset, or closed on this side. eventlet's own ``recv``
        treats a reset as the end of the stream, and so a truncated answer as whole.
    """
    while True:
        try:
            return sock.fd.recv(size)
        except (BlockingIOError, InterruptedError):
            hubs.trampoline(
                sock.fileno(),
                read=True,
                timeout=sock.gettimeout() if seconds is None else max(0.0, seconds),
                timeout_exc=WaitTimeout,
            )


def wait_any(sockets, seconds, wake=None):
    """Return the first of the sockets that can be read, or None.

    Parameters
    ----------
    sockets : iterable of socket
        No other green thread may wait to read one of them.
    seconds : float
        Maximum wait; 0 or less checks once without waiting.
    wake : Wake or None
        Made by this green thread; its ``switch`` ends the wait early.

    Notes
    -----
    A socket that was closed or reset by the peer counts as readable.
    """
    hub = hubs.get_hub()
    wake = wake or Wake()
    by_fd = {sock.fileno(): sock for sock in sockets}
    listeners = [hub.add(hub.READ, fd, wake.switch, wake.throw, ignore) for fd in by_fd]
    timer = hub.schedule_call_global(max(0.0, seconds), wake.switch)
    try:
        fd = hub.switch()
    finally:
        timer.cancel()
        for listener in listeners:
            hub.remove(listener)
    return by_fd.get(fd)
