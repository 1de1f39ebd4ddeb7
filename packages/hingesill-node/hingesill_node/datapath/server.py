"""The WSGI server of eventlet for the addresses of a node."""

import socket
import struct
from contextlib import suppress
from functools import partial

import eventlet
from eventlet import wsgi
from eventlet.greenio import GreenSocket

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_node.datapath.application import PROTOCOL_KEY
from hingesill_node.datapath.headers import HeaderNames
from hingesill_node.datapath.requestfaultlog import RequestFaultLog
from hingesill_node.datapath.requestinput import RequestInput
from hingesill_node.datapath.requests import RequestFault, read_head
from hingesill_node.listeners import open_listener, pop_early_listener

__all__ = ["CallerProtocol", "listen", "start_server"]

MAX_CONNECTIONS = 10_000
KEEP_ALIVE_SECONDS = 60
SOCKET_TIMEOUT_SECONDS = 30
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
    counters : Counters
        Counts ``refusals`` and ``requests`` whose heads are incomplete or malformed.
    fault_log : RequestFaultLog
        Logs these, and incomplete or malformed bodies.
    conn_state, server
        See `eventlet.wsgi.HttpProtocol`.
    """

    def __init__(self, counters, fault_log, conn_state, server):
        self.counters = counters
        self.fault_log = fault_log
        self._was_aborted = False
        super().__init__(conn_state, server)

    def get_environ(self):
        """Return the WSGI environment with this protocol object and a strict input."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        lenient = environ["eventlet.input"]
        environ["wsgi.input"] = environ["eventlet.input"] = RequestInput(
            self.rfile,
            lenient.content_length,
            self.connection,
            lenient.wfile,
            lenient.wfile_line,
            lenient.chunked_input,
        )
        return environ

    def _read_request_line(self):
        """Return the request line; empty if no further request arrives."""
        # A connection that times out before the first byte of a request is idle.
        has_begun = self._wait_for_data()
        try:
            return super()._read_request_line()
        except TimeoutError:
            if has_begun:
                detail = "no data arrived in time within the request line"
                reason = RefusalReason.INCOMPLETE_REQUEST
                self._refuse_head(RequestFault(reason, detail))
            raise

    def _wait_for_data(self):
        """Return whether the next request has begun; raise TimeoutError if not."""
        try:
            self.connection.settimeout(self.server.keepalive)
            return bool(self.rfile.peek(1))
        except TimeoutError:
            raise
        except (OSError, ValueError):
            return False  # Reading the request line meets and handles the same error.

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

    def abort(self):
        """Make the caller see that the answer being sent is incomplete.

        Notes
        -----
        A body in chunks lacks its last one. To a caller of HTTP/1.0, a body without a
        length ends with the connection, unless that is reset.
        """
        self._was_aborted = self.request_version != "HTTP/1.1"

    def finish(self):
        """Close the connection, or reset it after an aborted answer."""
        if not self._was_aborted:
            super().finish()
            return
        # Closing with a linger time of 0 seconds resets a connection.
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        with suppress(OSError):
            self.wfile.close()
        self.rfile.close()
        self.connection.close()

    def _refuse_head(self, fault):
        """Refuse a request whose head was not accepted; the connection is closed."""
        self.counters.add("refusals", "", fault.reason.value)
        self.counters.add("requests", "", Outcome.NOT_RUN.value)
        self.fault_log.write("head", fault, self.client_address[0])
        # The caller is gone unless it has only closed its sending side.
        with suppress(OSError):
            self.wfile.write((BAD_HEAD_RESPONSE % fault.reason.value).encode())
            self.wfile.flush()


class NullLog:
    """Drops the log lines of the server, as the application logs events."""

    def info(self, message, *arguments):
        """Drop a log line."""

    debug = info
    error = info


def listen(address, reuse_port):
    """Return a listening green socket, from a socket opened early if there is one.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 selects a free port.
    reuse_port : bool
        Whether several nodes of a VM share the port.

    Raises
    ------
    OSError
        If listening on the address fails.
    """
    return GreenSocket(
        pop_early_listener(address) or open_listener(address, reuse_port)
    )


def start_server(sock, application, listener, counters):
    """Serve an application on a listening socket in a green thread.

    Parameters
    ----------
    sock : GreenSocket
        The listening socket.
    application : callable
        WSGI application; it gets requests with a whole head only.
    listener : str
        Name of the address, for the log.
    counters : Counters
        Counts ``refusals`` and ``requests`` that do not reach the application.

    Returns
    -------
    GreenThread
        Green thread that ends when the socket is closed.
    """
    pool = eventlet.GreenPool(MAX_CONNECTIONS)
    fault_log = RequestFaultLog(listener)
    return eventlet.spawn(
        wsgi.server,
        sock,
        application,
        protocol=partial(CallerProtocol, counters, fault_log),
        custom_pool=pool,
        log=NullLog(),
        log_output=False,
        keepalive=KEEP_ALIVE_SECONDS,
        socket_timeout=SOCKET_TIMEOUT_SECONDS,
        debug=False,
    )
