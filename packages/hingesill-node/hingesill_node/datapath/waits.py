"""Waiting for the first of several sockets in one green thread."""

import greenlet
from eventlet import hubs

__all__ = ["WaitTimeout", "receive", "wait_any"]


class WaitTimeout(Exception):
    """Nothing came in time."""


class Wake:
    """Switches back to a waiting green thread, at most once.

    Notes
    -----
    The hub collects what is ready before it calls back, so a second socket may
    call after the first one has ended the wait.
    """

    def __init__(self):
        self._greenlet = greenlet.getcurrent()
        self._done = False

    def switch(self, number=None):
        """End the wait because a socket is ready, or the time is over."""
        if not self._done:
            self._done = True
            self._greenlet.switch(number)

    def throw(self, *error):
        """End the wait because a socket was closed on this side."""
        if not self._done:
            self._done = True
            self._greenlet.throw(*error)


def ignore():
    """Take note of nothing: the waiting code closes its sockets itself."""


def receive(sock, size):
    """Return bytes of a green socket; empty if the other side has ended.

    Parameters
    ----------
    sock : GreenSocket
        Its time limit bounds the wait.
    size : int
        Most bytes to return.

    Raises
    ------
    WaitTimeout
        If nothing comes within the socket's time limit.
    OSError
        If the connection was reset, or closed on this side. eventlet's own
        ``recv`` takes a reset for an end, and so a cut answer for a whole one.
    """
    while True:
        try:
            return sock.fd.recv(size)
        except (BlockingIOError, InterruptedError):
            hubs.trampoline(
                sock.fileno(),
                read=True,
                timeout=sock.gettimeout(),
                timeout_exc=WaitTimeout,
            )


def wait_any(sockets, seconds):
    """Return the first of the sockets that can be read, or None.

    Parameters
    ----------
    sockets : iterable of socket
        No other green thread may wait to read one of them.
    seconds : float
        Longest wait; 0 or less looks only once.

    Notes
    -----
    A socket that was closed by the other side, or reset, can be read.
    """
    hub = hubs.get_hub()
    wake = Wake()
    by_number = {sock.fileno(): sock for sock in sockets}
    listeners = [
        hub.add(hub.READ, number, wake.switch, wake.throw, ignore)
        for number in by_number
    ]
    timer = hub.schedule_call_global(max(0.0, seconds), wake.switch)
    try:
        number = hub.switch()
    finally:
        timer.cancel()
        for listener in listeners:
            hub.remove(listener)
    return by_number.get(number)
