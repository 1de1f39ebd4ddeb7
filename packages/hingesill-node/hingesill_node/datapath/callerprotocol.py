"""HTTP protocol of the addresses of a node, on one connection."""

import socket
import time
from contextlib import suppress
from io import BufferedReader
from urllib.parse import unquote

from eventlet import wsgi
from eventlet.wsgi import BROKEN_SOCK

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_node.datapath.application import PROTOCOL_KEY
from hingesill_node.datapath.calleroutput import CallerOutput
from hingesill_node.datapath.callerstream import EVICTED, CallerStream
from hingesill_node.datapath.connectionstate import ConnectionEnd, ConnectionPhase
from hingesill_node.datapath.headers import ForwardHeaders, HeaderNames
from hingesill_node.datapath.refusals import (
    DEFAULT_STATUS,
    LIMIT_RETRY_SECONDS,
    REASON_PHRASES,
    STATUSES,
)
from hingesill_node.datapath.requestenvironment import RequestEnvironment
from hingesill_node.datapath.requestinput import RequestInput
from hingesill_node.datapath.requestmemory import Holding
from hingesill_node.datapath.requests import RequestFault, parse_head, receive_head
from hingesill_node.datapath.turns import TurnGate

__all__ = ["CallerProtocol", "build_head_refusal"]

# Maximum time for a caller to receive the last answer and to close its connection.
CLOSING_SECONDS = 10.0
DISCARD_BYTES = 16 * 1024
# Heads that take much longer to process than those of ordinary requests.
LARGE_HEAD_BYTES = 4 * 1024
LARGE_HEAD_GATE = TurnGate(1)
PIPELINED_GATE = TurnGate(8)
# Some callers send an empty line after a body.
LINE_ENDS = b"\r\n"
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n"
DEFAULT_CONTENT_TYPE = "text/plain"
HEAD_REFUSAL = (
    "HTTP/1.1 {status} {phrase}\r\n"
    f"{HeaderNames.OUTCOME}: {Outcome.NOT_RUN.value}\r\n"
    f"{HeaderNames.REASON}: {{reason}}\r\n"
    "{result}{again}{close}Content-Length: 0\r\n\r\n"
)
RESULT_LINE = f"{ForwardHeaders.RESULT}: {Outcome.NOT_RUN.value} {{}}\r\n"
CLOSE_LINE = "Connection: close\r\n"
RETRY_LINE = f"Retry-After: {LIMIT_RETRY_SECONDS}\r\n"


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
        self._holding = Holding(self.server.memory)
        self._stream = CallerStream(self.connection, self.state, self._holding)
        self.rfile = BufferedReader(self._stream)
        self.wfile = CallerOutput(self.connection, self.state, self._holding)

    def handle(self):
        """Serve requests until the connection is to be closed."""
        self.close_connection = False
        while not self.close_connection:
            self.state.phase = ConnectionPhase.WAITING
            self.state.is_passed_on = False
            self.request_input = None
            try:
                self.handle_one_request()
            finally:
                self._holding.release()

    def handle_one_request(self):
        """Serve the next request, or refuse it if its head is not accepted."""
        self.protocol_version = self.server.max_http_version
        self.close_connection = True
        head = self._receive_head()
        if head is None:
            return
        self.headers = head.fields
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.requestline = f"{head.method} {head.target} {head.version}"
        self.close_connection = not head.keep_alive
        self.environ = self.get_environ()
        self.application = self.server.app
        try:
            self.handle_one_response()
        except OSError as error:
            if error.errno not in BROKEN_SOCK:
                raise
        finally:
            # The environment refers to this object.
            self.environ = None

    def get_environ(self):
        """Return the WSGI environment of the request, with this protocol object."""
        path, _, query = self.path.partition("?")
        length = self.headers.get("Content-Length")
        environ = RequestEnvironment(self.headers, self.server.get_environ())
        environ.update(
            REQUEST_METHOD=self.command,
            SCRIPT_NAME="",
            RAW_PATH_INFO=path,
            PATH_INFO=unquote(path, encoding="latin-1"),
            CONTENT_TYPE=self.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            SERVER_PROTOCOL="HTTP/1.0",
            SERVER_NAME=self.server.address[0],
            SERVER_PORT=str(self.server.address[1]),
            REMOTE_ADDR=self.client_address[0],
            REMOTE_PORT=str(self.client_address[1]),
            GATEWAY_INTERFACE="CGI/1.1",
        )
        if query:
            environ["QUERY_STRING"] = query
        if length is not None:
            environ["CONTENT_LENGTH"] = length
        environ[PROTOCOL_KEY] = self
        environ["eventlet.posthooks"] = []
        self.request_input = self._build_input(environ, length)
        environ["wsgi.input"] = environ["eventlet.input"] = self.request_input
        return environ

    def _build_input(self, environ, length):
        """Return the input stream of the request's body."""
        has_chunks = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
        size = None if has_chunks else int(length or 0)
        if size and not self._stream.reads_ahead:
            self._stream.expect_body(size - len(self._peek_buffered()))
        is_expected = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        return RequestInput(
            self.rfile,
            size,
            self.connection,
            self.wfile if is_expected else None,
            CONTINUE_LINE if is_expected else None,
            has_chunks,
            max_framing_bytes=self.server.limits.head_bytes,
        )

    def begin_exchange(self):
        """Record that the request goes to an endpoint, and is not given up any more."""
        self.state.is_passed_on = True

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
        self._stream.is_discarded = True
        with suppress(OSError, ValueError):
            while (seconds := until - time.monotonic()) > 0:
                self.connection.settimeout(seconds)
                if not read():
                    return

    def _receive_head(self):
        """Return the next RequestHead, or None if there is none or it was refused."""
        if not self._wait_for_request():
            return None
        self.state.phase = ConnectionPhase.SERVING
        self.state.restart_clock()
        self.connection.settimeout(self.server.socket_timeout)
        self._stream.reads_ahead = self.server.reads_ahead
        try:
            data = receive_head(self.rfile, self.server.limits.head_bytes)
            self.state.end = ConnectionEnd.ANSWERED if data else ConnectionEnd.CALLER
            if len(data) > LARGE_HEAD_BYTES:
                LARGE_HEAD_GATE.pass_through()
            head = parse_head(data) if data else None
            if head is not None and self.state.is_evicted:
                return self._refuse_evicted(head)
            return head
        except RequestFault as fault:
            self._refuse_head(fault)
        except OSError:
            pass  # The caller has reset the connection.
        return None

    def _wait_for_request(self):
        """Return whether the next request has begun, or the caller has closed."""
        if self._peek_buffered():
            self._wait_for_turn()
            return True
        has_begun = self.state.wait_for_input(self.server.keepalive)
        self._stream.turn.begin()
        return has_begun

    def _wait_for_turn(self):
        """Let other connections have their turn before a pipelined request."""
        self.state.restart_clock()
        self.state.is_pipelining = True
        try:
            PIPELINED_GATE.pass_through()
        finally:
            self.state.is_pipelining = False
        self._stream.turn.begin()

    def _peek_buffered(self):
        """Return the bytes that were read but not used."""
        self._stream.is_paused = True
        try:
            return self.rfile.peek(1)
        finally:
            self._stream.is_paused = False

    def _refuse_evicted(self, head):
        """Refuse a pipelined request; keep the connection for those that follow."""
        has_body = head.fields.get("Content-Length") or head.fields.get(
            "Transfer-Encoding"
        )
        is_last = bool(has_body) or not self._peek_buffered()
        self._refuse_head(
            RequestFault(RefusalReason.CONNECTION_LIMIT, EVICTED), is_last
        )
        self.close_connection = is_last

    def _refuse_head(self, fault, is_last=True):
        """Refuse a request that is not served; the connection is closed by default."""
        self.state.end = ConnectionEnd.ANSWERED
        self.fault_log.write("head", fault, self.client_address[0])
        # The caller is gone unless it has only closed its sending side.
        with suppress(OSError):
            self.wfile.write(build_head_refusal(fault.reason, self.server, is_last))
            self.wfile.flush()


def build_head_refusal(reason, server, is_last=True):
    """Return the refusal of a request that is not served, and count it.

    Parameters
    ----------
    reason : RefusalReason
        Its reason.
    server : CallerServer
        Counts it, and knows whether the request was forwarded by another node, which
        must not take the refusal for an endpoint's answer.
    is_last : bool
        Whether the connection is closed after it.
    """
    counters = server.counters
    counters.add("refusals", "", reason.value)
    counters.add("requests", "", Outcome.NOT_RUN.value)
    status = STATUSES.get(reason, DEFAULT_STATUS)
    again = RETRY_LINE if status == DEFAULT_STATUS else ""
    text = HEAD_REFUSAL.format(
        status=status,
        phrase=REASON_PHRASES[status],
        reason=reason.value,
        result=RESULT_LINE.format(reason.value) if server.is_forwarded else "",
        again=again,
        close=CLOSE_LINE if is_last else "",
    )
    return text.encode()
