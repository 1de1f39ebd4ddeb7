"""HTTP protocol of the addresses of a node, on one connection."""

import socket
import time
from contextlib import suppress
from io import BufferedReader

from eventlet import wsgi

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_node.datapath.application import PROTOCOL_KEY
from hingesill_node.datapath.callerstream import CallerStream
from hingesill_node.datapath.connectionstate import ConnectionEnd, ConnectionPhase
from hingesill_node.datapath.headers import HeaderNames
from hingesill_node.datapath.requestinput import RequestInput
from hingesill_node.datapath.requests import RequestFault, read_head

__all__ = ["CallerProtocol"]

# Maximum time for a caller to receive the last answer and to close its connection.
CLOSING_SECONDS = 10.0
DISCARD_BYTES = 16 * 1024
# Some callers send an empty line after a body.
LINE_ENDS = b"\r\n"
BAD_HEAD_RESPONSE = (
    "HTTP/1.1 400 Bad Request\r\n"
    f"{HeaderNames.OUTCOME}: {Outcome.NOT_RUN.value}\r\n"
    f"{HeaderNames.REASON}: %s\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerProtocol(wsgi.HttpProtocol):
    """HTTP protocol that serves whole requests only.

    It also lets the application close a connection.

    Parameters
    ----------
    state : ConnectionState
        State of the connection.
    counters : Counters
        Counts ``refusals`` and ``requests`` whose heads are incomplete or malformed.
    fault_log : RequestFaultLog
        Logs these, and incomplete or malformed bodies.
    server : CallerServer
        Server that accepted the connection.

    Attributes
    ----------
    request_input : RequestInput or None
        Body of the current request; None until its head is accepted.
    """

    def __init__(self, state, counters, fault_log, server):
        self.state = state
        self.counters = counters
        self.fault_log = fault_log
        self.request_input = None
        self._was_aborted = False
        conn_state = [state.address, state.sock, wsgi.STATE_IDLE]
        super().__init__(conn_state, server)

    def setup(self):
        """Prepare the connection for reading and writing."""
        self.connection = self.request
        with suppress(OSError):
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, True)
        self._stream = CallerStream(self.connection)
        self.rfile = BufferedReader(self._stream)
        self.wfile = self.connection.makefile("wb", self.wbufsize)

    def handle(self):
        """Serve requests until the connection is to be closed."""
        self.close_connection = False
        while not self.close_connection:
            self.state.phase = ConnectionPhase.WAITING
            self.request_input = None
            self.handle_one_request()

    def get_environ(self):
        """Return the WSGI environment with this protocol object and a strict input."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        lenient = environ["eventlet.input"]
        if lenient.content_length and not self._stream.reads_ahead:
            buffered = len(self._peek_buffered())
            self._stream.expect_body(lenient.content_length - buffered)
        self.request_input = RequestInput(
            self.rfile,
            lenient.content_length,
            self.connection,
            lenient.wfile,
            lenient.wfile_line,
            lenient.chunked_input,
        )
        environ["wsgi.input"] = environ["eventlet.input"] = self.request_input
        return environ

    def has_next_input(self):
        """Return whether bytes after the current answer have to be read.

        Notes
        -----
        These are the rest of its request, and pipelined requests. Once the address is
        closed, only requests count that were read with an earlier one.
        """
        if not self.request_input.is_whole or self._peek_buffered().strip(LINE_ENDS):
            return True
        return self.server.is_accepting and self.state.has_input()

    def abort(self):
        """Make the caller see that the answer being sent is incomplete.

        Notes
        -----
        A body in chunks lacks its last one. To a caller of HTTP/1.0, a body without a
        length ends with the connection, unless that is reset.
        """
        self.state.end = ConnectionEnd.CUT
        self._was_aborted = self.request_version != "HTTP/1.1"

    def finish(self):
        """Close the connection, or reset it after an aborted answer."""
        until = time.monotonic() + CLOSING_SECONDS
        self.connection.settimeout(CLOSING_SECONDS)
        with suppress(OSError):
            self.wfile.close()
        if self._was_aborted:
            self.state.reset()
        else:
            self.state.close(until, self._choose_discard())
        self.rfile.close()

    def _choose_discard(self):
        """Return the function that reads what the caller may still be sending."""
        if self.state.end is not ConnectionEnd.ANSWERED:
            return None
        if self.request_input is None:
            return self._discard_all
        return None if self.request_input.is_whole else self._discard_body

    def _discard_all(self, until):
        """Read to the end of the connection: the end of the request is not known."""
        self._discard(until, lambda: self.rfile.read1(DISCARD_BYTES))

    def _discard_body(self, until):
        """Read to the end of the body."""
        self._discard(until, lambda: self.request_input.read(DISCARD_BYTES))

    def _discard(self, until, read):
        with suppress(OSError, ValueError):
            while (seconds := until - time.monotonic()) > 0:
                self.connection.settimeout(seconds)
                if not read():
                    return

    def _read_request_line(self):
        """Return the request line; empty if no further request arrives."""
        if not self._wait_for_request():
            return b""
        self.state.phase = ConnectionPhase.SERVING
        self.connection.settimeout(self.server.socket_timeout)
        self._stream.reads_ahead = self.server.reads_ahead
        try:
            line = self.rfile.readline(self.server.url_length_limit)
        except TimeoutError:
            detail = "no data arrived in time within the request line"
            fault = RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail)
            self._refuse_head(fault)
            return b""
        except OSError:
            return b""
        if line:
            self.state.end = ConnectionEnd.ANSWERED
        else:
            self.state.end = ConnectionEnd.CALLER
        return line

    def _wait_for_request(self):
        """Return whether the next request has begun, or the caller has closed."""
        if self._peek_buffered():
            return True
        return self.state.wait_for_input(self.server.keepalive)

    def _peek_buffered(self):
        """Return the bytes that were read but not used."""
        self._stream.is_paused = True
        try:
            return self.rfile.peek(1)
        finally:
            self._stream.is_paused = False

    def parse_request(self):
        """Read and parse the head of a request.

        Returns
        -------
        bool
            False if the head is incomplete or malformed and the request was refused.
        """
        self.close_connection = True
        try:
            head = read_head(self.raw_requestline, self.rfile)
        except RequestFault as fault:
            self._refuse_head(fault)
            return False
        self.headers = head
        self.command = head.method
        self.path = head.target.decode("latin-1")
        self.request_version = f"HTTP/{head.version}"
        self.requestline = f"{self.command} {self.path} {self.request_version}"
        self.close_connection = not head.keep_alive
        return True

    def _refuse_head(self, fault):
        """Refuse a request whose head was not accepted; the connection is closed."""
        self.state.end = ConnectionEnd.ANSWERED
        self.counters.add("refusals", "", fault.reason.value)
        self.counters.add("requests", "", Outcome.NOT_RUN.value)
        self.fault_log.write("head", fault, self.client_address[0])
        # The caller is gone unless it has only closed its sending side.
        with suppress(OSError):
            self.wfile.write((BAD_HEAD_RESPONSE % fault.reason.value).encode())
            self.wfile.flush()
