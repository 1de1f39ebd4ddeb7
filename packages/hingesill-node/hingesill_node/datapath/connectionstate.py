"""State of a caller's connection, and how it ends."""

import select
import socket
import struct
import sys
import termios
import time
from contextlib import suppress
from enum import Enum, IntEnum
from fcntl import ioctl

import eventlet
from eventlet import hubs

from hingesill_node.datapath.waits import Wake, wait_any

__all__ = ["ConnectionEnd", "ConnectionPhase", "ConnectionState", "EvictionRank"]

# Intervals of checks whether a caller has received an answer while its pipelined
# requests lie unread, so that the socket is always readable; each is twice the last.
MIN_CHECK_INTERVAL_SECONDS = 0.01
MAX_CHECK_INTERVAL_SECONDS = 0.25
# The end of the sending side counts as a byte until the caller acknowledges it.
END_BYTES = 1
# Time without progress after which the writing of an answer counts as stalled.
STALL_SECONDS = 1.0
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
    # Closed by the node to make room for others, or at once as there was none.
    EVICTED = "evicted"
    REFUSED = "refused"
    # Open when the process ended.
    PROCESS_END = "process-end"


class EvictionRank(IntEnum):
    """Order in which connections are closed to make room for others."""

    # The caller has received its last answer and only has to close.
    RECEIVED = 0
    IDLE = 1
    # A request has not arrived to its end.
    RECEIVING = 2
    # A pipelined request waits until other connections have had their turn.
    PIPELINING = 3
    # The caller has taken nothing of its answer for `STALL_SECONDS`.
    STALLED = 4


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
    since : float
        Monotonic seconds at which the connection was accepted, or at which it last
        began to wait, to receive a request, to write or to close.
    is_receiving, is_writing : bool
        Whether its green thread waits for the caller to send, or to take an answer.
    is_pipelining : bool
        Whether a pipelined request waits for its turn.
    is_passed_on : bool
        Whether its request is with an endpoint, or its body on the way there.
    is_evicted : bool
        Whether it is closed to make room for others.
    """

    def __init__(self, sock, address, clock=time.monotonic):
        self.sock = sock
        self.address = address
        self.phase = ConnectionPhase.WAITING
        self.end = ConnectionEnd.CALLER
        self.unsent = 0
        self.is_receiving = False
        self.is_writing = False
        self.is_pipelining = False
        self.is_passed_on = False
        self.is_evicted = False
        self.since = clock()
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
        self.since = self._clock()
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

    def restart_clock(self):
        """Set ``since`` to the present."""
        self.since = self._clock()

    def find_eviction_rank(self):
        """Return the EvictionRank, or None if the connection must not be closed."""
        if self.is_evicted:
            return None
        if self.is_pipelining:
            return EvictionRank.PIPELINING
        if self.phase is ConnectionPhase.WAITING:
            return None if self._wake is None else EvictionRank.IDLE
        is_closing = self.phase is ConnectionPhase.CLOSING
        if self.is_receiving and (is_closing or not self.is_passed_on):
            return EvictionRank.RECEIVING
        if is_closing and self._count_unsent() <= END_BYTES:
            return EvictionRank.RECEIVED
        if (is_closing or self.is_writing) and self._has_stalled():
            return EvictionRank.STALLED
        return None

    def _has_stalled(self):
        """Return whether the caller has taken nothing of its answer for long.

        Notes
        -----
        After a pause of the node itself, the caller may have taken all that was sent.
        """
        if self._clock() - self.since < STALL_SECONDS:
            return False
        return not (self.is_writing and self._poll(select.POLLOUT))

    def evict(self):
        """Close the connection soon; return whether it will be closed.

        Notes
        -----
        Pipelined requests that were read are refused, each with an answer.
        """
        if self.is_pipelining:
            self.is_evicted = True
            return True
        if self.phase is ConnectionPhase.WAITING:
            if self.has_input():
                return False
            self.is_evicted = True
            self.end_wait()
            return True
        self.is_evicted = True
        # Wakes the green thread; a request that is refused still gets its answer.
        how = socket.SHUT_RD if self.is_receiving else socket.SHUT_RDWR
        with suppress(OSError):
            self.sock.fd.shutdown(how)
        return True

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
        self.since = self._clock()
        try:
            self._finish(until, discard)
        finally:
            self.sock.close()
            if self.is_evicted:
                self.end = ConnectionEnd.EVICTED

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
            if self._is_broken or self.is_evicted or events & select.POLLERR:
                return
            if events and not self._count_unsent():
                return
            if events or has_input:
                eventlet.sleep(min(seconds, pause))
                pause = min(2 * pause, MAX_CHECK_INTERVAL_SECONDS)
            else:
                wait_any([self.sock], seconds)

    def _poll(self, events=PEER_EVENTS):
        """Return events of the socket that have occurred, as a mask."""
        poll = select.poll()
        poll.register(self.sock.fileno(), events)
        return next((events for _, events in poll.poll(0)), 0)

    def _count_unsent(self):
        """Return the number of bytes that the caller has not acknowledged."""
        size = ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(size, sys.byteorder)
