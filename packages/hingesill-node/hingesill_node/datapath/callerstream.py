"""Input of a caller's connection, which can be read one request at a time."""

import re
import socket
import time
from io import RawIOBase

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath.requests import RequestFault
from hingesill_node.datapath.turns import Turn

__all__ = ["EVICTED", "CallerStream"]

EVICTED = "the connection was closed to make room for others"

# The end of a head, or of a chunked body; both may contain it earlier, too.
EMPTY_LINE = re.compile(rb"\n\r?\n")
# Bytes of an empty line that an earlier read may have ended with.
MAX_SPLIT_BYTES = 2


class CallerStream(RawIOBase):
    """Bytes received from a caller.

    Parameters
    ----------
    sock : GreenSocket
        Socket of the connection; its timeout applies to each read.
    state : ConnectionState
        Told when a read waits for the caller.
    holding : Holding
        Counts the bytes of the current request.

    Attributes
    ----------
    reads_ahead : bool
        Whether a read may return bytes beyond the end of the current request. A request
        that was read has to be answered.
    is_discarded : bool
        Whether what is read is dropped, and takes no memory.
    turn : Turn
        Turn of the green thread that reads.
    is_paused : bool
        Whether reads return nothing, so that a buffered reader shows what it holds.
    """

    def __init__(self, sock, state, holding):
        self.reads_ahead = True
        self.is_paused = False
        self.is_discarded = False
        self.turn = Turn()
        self._sock = sock
        self._state = state
        self._holding = holding
        self._body_bytes = 0
        self._last_bytes = b""

    def readable(self):
        """Return True; see `io.IOBase`."""
        return True

    def expect_body(self, size):
        """Set the number of bytes that the body of the current request still lacks."""
        self._body_bytes = max(0, size)

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes, 0 at the end.

        Raises
        ------
        OSError
            If the socket's timeout passed; RequestFault if the connection is closed to
            make room for others, or requests take too much memory.
        """
        if self.is_paused:
            return None
        self._state.is_receiving = True
        try:
            count = self._receive_into(buffer)
        finally:
            self._state.is_receiving = False
        if self._state.is_evicted:
            raise RequestFault(RefusalReason.CONNECTION_LIMIT, EVICTED)
        if not (self.is_discarded or self._state.is_passed_on):
            self._holding.add_received(count)
        self._body_bytes = max(0, self._body_bytes - count)
        received = bytes(memoryview(buffer)[max(0, count - MAX_SPLIT_BYTES) : count])
        self._last_bytes = (self._last_bytes + received)[-MAX_SPLIT_BYTES:]
        return count

    def _receive_into(self, buffer):
        """Wait for bytes of the caller; return their number."""
        if self.turn.is_over() and self._state.has_input():
            self.turn.pause()
        began_at = time.monotonic()
        size = len(buffer) if self.reads_ahead else self._limit(len(buffer))
        count = self._sock.recv_into(buffer, size)
        if not self.is_discarded:
            self.turn.end_read(began_at)
        return count

    def _limit(self, size):
        """Return the number of bytes to read, none of them beyond the request."""
        if self._body_bytes:
            return min(size, self._body_bytes)
        received = self._sock.recv(size, socket.MSG_PEEK)
        end = EMPTY_LINE.search(self._last_bytes + received)
        if end is None:
            return len(received) or size
        return max(1, end.end() - len(self._last_bytes))
