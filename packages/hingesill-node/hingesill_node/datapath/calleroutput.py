"""Output of a caller's connection."""

from eventlet import hubs

__all__ = ["CallerOutput"]


class CallerOutput:
    """Collects parts of an answer and sends them together.

    Parameters
    ----------
    sock : GreenSocket
        Socket of the connection; its timeout applies to each wait.
    state : ConnectionState
        Told while the caller takes nothing.

    Notes
    -----
    Unlike a buffered file, it takes no memory while there is no answer.
    """

    def __init__(self, sock, state):
        self._sock = sock
        self._state = state
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
                self._wait()

    def _wait(self):
        """Wait until the caller has taken a part of the answer."""
        self._state.restart_clock()
        self._state.is_writing = True
        try:
            hubs.trampoline(
                self._sock.fileno(),
                write=True,
                timeout=self._sock.gettimeout(),
                timeout_exc=TimeoutError,
            )
        finally:
            self._state.is_writing = False

    def close(self):
        """Send what is left."""
        self.flush()
