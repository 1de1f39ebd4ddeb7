"""State of a caller's connection, and how it ends."""

import select
import socket
import struct
import sys
import termios
import time
from enum import Enum
from fcntl import ioctl

import eventlet
from eventlet import hubs

from hingesill_node.datapath.waits import Wake, wait_any

__all__ = ["ConnectionEnd", "ConnectionPhase", "ConnectionState"]

# Intervals of checks whether a caller has received an answer while its pipelined
# requests lie unread, so that the socket is always readable; each is twice the last.
MIN_CHECK_INTERVAL_SECONDS = 0.01
MAX_CHECK_INTERVAL_SECONDS = 0.25
PEER_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
DEAD_EVENTS = select.POLLHUP | select.POLLERR


class ConnectionPhase(str, Enum):
    """What a connection does.

    Notes
    -----
    ``SERVING`` begins with the first byte of a request that is read, and ends when its
    answer is written. In ``CLOSING`` the caller receives the last answer.
    """

    WAITING = "waiting"
    SERVING = "serving"
    CLOSING = "closing"


class ConnectionEnd(str, Enum):
    """How a connection ended; the reason of the counter ``connections``."""

    # Closed by the caller, with no answer owed, or before it received its answer.
    CALLER = "caller"
    CALLER_LEFT = "caller-left"
    # Closed by the node, without a request, or after the caller received its answer.
    IDLE = "idle"
    ANSWERED = "answered"
    # The same with requests behind it that were not read.
    UNREAD = "unread"
    # Closed by the node before the caller had received its answer.
    CUT = "cut"
    # Open when the process ended.
    PROCESS_END = "process-end"


class ConnectionState:
    """One caller's connection, from its acceptance to its end.

    Parameters
    ----------
    sock : GreenSocket
        Socket of the connection.
    address : tuple
        Address of the caller.
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    phase : ConnectionPhase
        What the connection does.
    end : ConnectionEnd
        How it ends, as far as is known.
    unsent : int
        Bytes that the caller had not acknowledged at the end.
    """

    def __init__(self, sock, address, clock=time.monotonic):
        self.sock = sock
        self.address = address
        self.phase = ConnectionPhase.WAITING
        self.end = ConnectionEnd.CALLER
        self.unsent = 0
        self._clock = clock
        self._wake = None
        self._is_broken = False

    def wait_for_input(self, seconds):
        """Wait for the first bytes of a request, or for the end of the connection.

        Returns
        -------
        bool
            False if nothing arrived within the time or before `end_wait`; the
            connection is to be closed without another read.
        """
        wake = self._wake = Wake()
        try:
            if wait_any([self.sock], seconds, wake) is not None:
                return True
        finally:
            self._wake = None
        if self.has_input():
            return True
        self.end = ConnectionEnd.IDLE
        return False

    def end_wait(self):
        """End a wait for input, unless a request has arrived."""
        wake = self._wake
        if wake is not None and not self.has_input():
            hubs.get_hub().schedule_call_global(0, wake.switch)

    def has_input(self):
        """Return whether received bytes are unread; does not wait."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(self.sock.fd.recv(1, flags))
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self._is_broken = True
            return False

    def close(self, until, discard=None):
        """Close the connection once the caller has received everything.

        Parameters
        ----------
        until : float
            Monotonic seconds, at which the connection is closed in any case.
        discard : callable or None
            Reads the rest of a request that was answered early, up to that time.

        Notes
        -----
        Closing a socket with unread bytes resets the connection, which drops what the
        caller has not received yet. So only the sending side is closed until the caller
        closes the connection, too (RFC 9112, section 9.6). Pipelined requests are
        not read: a request that is read has to be answered.
        """
        self.phase = ConnectionPhase.CLOSING
        try:
            self._finish(until, discard)
        finally:
            self.sock.close()

    def reset(self):
        """Close the connection so that the caller sees a reset."""
        self.end = ConnectionEnd.CUT
        # Closing with a linger time of 0 seconds resets a connection.
        linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()

    def _finish(self, until, discard):
        """Wait for the caller and determine how the connection ended."""
        if self._poll() & DEAD_EVENTS:
            self.unsent = self._count_unsent()
            if self.end is ConnectionEnd.ANSWERED or self.unsent:
                self.end = ConnectionEnd.CALLER_LEFT
            return
        if self.end is not ConnectionEnd.ANSWERED:
            if not self._count_unsent():
                return
        self.sock.fd.shutdown(socket.SHUT_WR)
        if discard is not None:
            discard(until)
        self._wait_until_received(until)
        self.unsent = self._count_unsent()
        if self.unsent:
            is_broken = self._is_broken or self._poll() & select.POLLERR
            self.end = ConnectionEnd.CALLER_LEFT if is_broken else ConnectionEnd.CUT
        elif self.end is not ConnectionEnd.CUT and self.has_input():
            self.end = ConnectionEnd.UNREAD

    def _wait_until_received(self, until):
        """Wait until the caller received everything and closed, or until a time."""
        pause = MIN_CHECK_INTERVAL_SECONDS
        while (seconds := until - self._clock()) > 0:
            events = self._poll()
            has_input = self.has_input()
            if self._is_broken or events & select.POLLERR:
                return
            if events and not self._count_unsent():
                return
            if events or has_input:
                eventlet.sleep(min(seconds, pause))
                pause = min(2 * pause, MAX_CHECK_INTERVAL_SECONDS)
            else:
                wait_any([self.sock], seconds)

    def _poll(self):
        """Return the events that tell of the caller's side, as a mask."""
        poll = select.poll()
        poll.register(self.sock.fileno(), PEER_EVENTS)
        return next((events for _, events in poll.poll(0)), 0)

    def _count_unsent(self):
        """Return the number of bytes that the caller has not acknowledged."""
        size = ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(size, sys.byteorder)
