"""Pools of HTTP connections to endpoints on green sockets.

The connections extend those of the standard library. urllib3 would add pools,
redirects and TLS that are not used here, and slow down the start of a node.
"""

import socket
import sys
import time
from collections import deque
from http.client import HTTPConnection

from eventlet.green import socket as green_socket

from hingesill_node.datapath.responses import EndpointResponse

__all__ = ["ConnectFailed", "EndpointConnection", "Pool", "PoolFull"]

CONNECT_TIMEOUT_SECONDS = 0.25
IDLE_SECONDS = 5.0
IDLE_MARGIN_SECONDS = 1.5
# Requests after which a connection is closed, as it remembers the id of each.
MAX_REQUESTS = 2048
ID_BYTES = 8
# Bytes of an answer that an endpoint may send before they are read.
RECEIVE_BUFFER_BYTES = 64 * 1024


class ConnectFailed(Exception):
    """The connection could not be opened, so nothing was sent."""


class PoolFull(ConnectFailed):
    """The pool has reached its limit; the endpoint itself may be healthy."""


class EndpointConnection(HTTPConnection):
    """An HTTP connection on a green socket.

    Notes
    -----
    The head and a small body are sent with one system call: after ``collect``,
    ``send`` buffers its data until ``flush`` sends it.
    """

    def __init__(self, address, connect_timeout=CONNECT_TIMEOUT_SECONDS):
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port), timeout=connect_timeout)
        self.address = address
        self.connect_timeout = connect_timeout
        self.idle_until = 0.0
        self.method = ""
        self.requests = 0
        self._ids = bytearray()
        self._collected = None
        self._response = None

    def open(self):
        """Connect, or raise ConnectFailed on a failure or timeout."""
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        sock = green_socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(self.connect_timeout)
            sock.connect((self.host, self.port))
        except (OSError, OverflowError) as error:  # OverflowError: no such port.
            sock.close()
            raise ConnectFailed(f"{self.address}: {error}") from error
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def collect(self):
        """Buffer all data passed to ``send`` until ``flush``."""
        self._collected = []

    def send(self, data):
        """Send bytes, or buffer them after ``collect``."""
        if self._collected is not None:
            self._collected.append(data)
            return
        self.sock.sendall(data)

    def flush(self):
        """Send the buffered data with one call."""
        parts, self._collected = self._collected, None
        if parts:
            self.sock.sendall(b"".join(parts))

    def begin(self, method, target, request_id=None):
        """Begin a request; the previous response must have been read completely.

        Parameters
        ----------
        method, target : str
            Method and target of the request.
        request_id : str or None
            Its id; None for a request that endpoints do not run.
        """
        self.method = method
        self.requests += 1
        if request_id is not None:
            self._ids += digest_id(request_id)
        self.reset_state()
        self.putrequest(method, target, skip_host=True, skip_accept_encoding=True)

    def has_carried(self, request_id):
        """Return whether an earlier request had this id.

        Notes
        -----
        It may return True for another id, which costs another connection at most.
        """
        return digest_id(request_id) in self._ids

    @property
    def is_first_request(self):
        """Whether the connection has carried no request before the current one."""
        return self.requests <= 1

    @property
    def can_carry_more(self):
        """Whether the connection can remember further requests."""
        return self.requests < MAX_REQUESTS

    def put_fields(self, fields):
        """Add all header fields of a message; see `HeaderFields`."""
        if len(fields):
            # The base class joins the parts of the head with line ends.
            self._buffer.append(fields.encode().removesuffix(b"\r\n"))

    def reset_state(self):
        """Return to the idle state, as the base class does not read the responses.

        Notes
        -----
        Closing is the base class's only way back to its idle state, so the
        connection is closed with its socket detached.
        """
        sock, self.sock = self.sock, None
        self.close()
        self.sock = sock

    def close(self):
        """Close the connection, after which nothing more of its response is read."""
        super().close()
        self.release_response()

    def release_response(self):
        """Free the last response's parser."""
        response, self._response = self._response, None
        if response is not None:
            response.release()

    def read_head(self, is_own=None, seconds=None):
        """Return the EndpointResponse with its head read; see there for parameters."""
        self._response = EndpointResponse(self.sock, self.method, is_own, seconds)
        self._response.read_head()
        return self._response

    @property
    def skipped_answers(self):
        """Number of responses that were dropped while the last one was read."""
        return 0 if self._response is None else self._response.skipped

    def set_time_limit(self, seconds):
        """Set the timeout of each later read and write."""
        self.sock.settimeout(seconds)

    def has_input(self):
        """Return whether the endpoint has sent something, or closed the connection."""
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True


def digest_id(request_id):
    """Return a few bytes that differ for different ids of requests."""
    return hash(request_id).to_bytes(ID_BYTES, sys.byteorder, signed=True)


class Pool:
    """Idle connections to one endpoint.

    Parameters
    ----------
    address : str
        Address of the endpoint.
    limit : int
        Maximum number of connections, including those in use.
    clock : callable
        Returns monotonic seconds.
    born : int
        Incarnation of the endpoint, as its start time in ms; 0 if unknown.
    connect_timeout : float
        Maximum seconds for opening a connection.
    """

    def __init__(
        self,
        address,
        limit,
        clock=time.monotonic,
        born=0,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
    ):
        self.address = address
        self.born = born
        self.limit = limit
        self.connect_timeout = connect_timeout
        self._clock = clock
        self._idle = deque()
        self._closed = False
        self.open_count = 0

    def acquire(self, request_id=None):
        """Return an open connection, or raise ConnectFailed.

        Parameters
        ----------
        request_id : str or None
            Id of a request that the connection must not have carried before.

        Notes
        -----
        The most recently used connection comes first. A connection that was idle for
        too long is closed: the endpoint may be about to close it, which would fail a
        request that must not be repeated.

        An endpoint may answer a request twice. A connection that carries a request only
        once has no answer to an earlier send of it.
        """
        now = self._clock()
        carried = []
        try:
            while self._idle:
                connection = self._idle.pop()
                if connection.idle_until < now or connection.has_input():
                    self.discard(connection)
                elif request_id is None or not connection.has_carried(request_id):
                    return connection
                else:
                    carried.append(connection)
        finally:
            self._idle.extend(reversed(carried))
        return self.acquire_new()

    def acquire_new(self):
        """Return a connection that has carried nothing, or raise ConnectFailed."""
        if self.open_count >= self.limit and self._idle:
            self.discard(self._idle.popleft())
        if self.open_count >= self.limit:
            raise PoolFull(
                f"{self.address}: limit of connections to the endpoint reached"
            )
        self.open_count += 1
        connection = EndpointConnection(self.address, self.connect_timeout)
        try:
            connection.open()
        except BaseException:
            self.open_count -= 1
            raise
        return connection

    def has_idle(self):
        """Return whether there is a connection that was not idle for too long."""
        return bool(self._idle) and self._idle[-1].idle_until >= self._clock()

    def release(self, connection, idle_seconds=None):
        """Return a connection to the pool after its response was read completely.

        Parameters
        ----------
        connection : EndpointConnection
            Connection that `acquire` returned.
        idle_seconds : float or None
            Keep-alive timeout set by the endpoint, or None.
        """
        keep_seconds = IDLE_SECONDS
        if idle_seconds is not None:
            keep_seconds = max(0.0, idle_seconds - IDLE_MARGIN_SECONDS)
        connection.idle_until = self._clock() + keep_seconds
        if self._closed or not connection.can_carry_more:
            self.discard(connection)
        else:
            self._idle.append(connection)

    def discard(self, connection):
        """Close a connection that must not be reused."""
        self.open_count -= 1
        connection.close()

    def close_expired(self):
        """Close connections that were idle for too long."""
        now = self._clock()
        while self._idle and self._idle[0].idle_until < now:
            self.discard(self._idle.popleft())

    def retire(self):
        """Close idle connections now and others when released: the endpoint ended."""
        self._closed = True
        self.close_idle()

    def close_idle(self):
        """Close all idle connections, for example of a leaving endpoint."""
        while self._idle:
            self.discard(self._idle.pop())
