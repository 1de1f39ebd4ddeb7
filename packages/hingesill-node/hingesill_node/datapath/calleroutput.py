"""Output of a caller's connection."""

from eventlet import hubs

from hingesill_node.datapath.requestmemory import COPIES

__all__ = ["CallerOutput"]


class CallerOutput:
    """Collects parts of an answer and sends them together.

    Parameters
    ----------
    sock : GreenSocket
        Socket of the connection; its timeout applies to each wait.
    state : ConnectionState
        Told while the caller takes nothing.
    holding : Holding
        Counts the bytes that the caller does not take.

    Notes
    -----
    Unlike a buffered file, it takes no memory while there is no answer.
    """

    def __init__(self, sock, state, holding):
        self._sock = sock
        self._state = state
        self._holding = holding
        self._parts = []

    def write(self, data):
        """Add bytes to those that `flush` sends."""
        self._parts.append(data)

    def writelines(self, parts):
        """Add several parts to those that `flush` sends."""
        self._parts.extend(parts)

    def flush(self):
        """Send all parts.

        Raises
        ------
        OSError
            If the connection is closed, or the caller received nothing in time.
        """
        parts, self._parts = self._parts, []
        self._send(memoryview(b"".join(parts)))

    def _send(self, data):
        while data:
            try:
                data = data[self._sock.fd.send(data) :]
            except (BlockingIOError, InterruptedError):
                self._wait(len(data))

    def _wait(self, size):
        """Wait until the caller has taken a part of the bytes that are left."""
        self._state.restart_clock()
        self._state.is_writing = True
        # The answer and its parts, which are joined to be sent.
        self._holding.set_answer(COPIES * size)
        try:
            hubs.trampoline(
                self._sock.fileno(),
                write=True,
                timeout=self._sock.gettimeout(),
                timeout_exc=TimeoutError,
            )
        finally:
            self._state.is_writing = False
            self._holding.set_answer(0)

    def close(self):
        """Send what is left."""
        self.flush()
