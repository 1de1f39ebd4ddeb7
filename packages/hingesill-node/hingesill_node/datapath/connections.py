"""Connections to endpoints: the standard library's, on green sockets, pooled.

urllib3 would add pools, redirects and TLS that are not used here, and time to a node's
start.
"""

import socket
import time
from collections import deque
from http.client import HTTPConnection

from eventlet.green import socket as green_socket

from hingesill_node.datapath.responses import EndpointResponse

__all__ = ["ConnectFailed", "EndpointConnection", "Pool", "PoolFull"]

CONNECT_SECONDS = 0.25
IDLE_SECONDS = 5.0
IDLE_MARGIN_SECONDS = 1.5


class ConnectFailed(Exception):
    """No connection came about, so nothing was sent."""


class PoolFull(ConnectFailed):
    """This node's connections to an endpoint are used up; it says nothing of it."""


class EndpointConnection(HTTPConnection):
    """A connection whose socket yields to the hub.

    Notes
    -----
    Head and small body leave in one call of the socket: ``send`` collects while
    ``collect`` is set, and ``flush`` sends what was collected.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port), timeout=CONNECT_SECONDS)
        self.address = address
        self.idle_until = 0.0
        self.used = False
        self.method = ""
        self._collected = None

    def open(self):
        """Connect; ConnectFailed if that does not succeed in time."""
        try:
            self.sock = green_socket.create_connection(
                (self.host, self.port), timeout=CONNECT_SECONDS
            )
        except OSError as error:
            raise ConnectFailed(f"{self.address}: {error}") from error
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def collect(self):
        """Keep what is sent until ``flush``."""
        self._collected = []

    def send(self, data):
        """Send bytes, or keep them while collecting."""
        if self._collected is not None:
            self._collected.append(data)
            return
        self.sock.sendall(data)

    def flush(self):
        """Send what was collected in one call."""
        parts, self._collected = self._collected, None
        if parts:
            self.sock.sendall(b"".join(parts))

    def begin(self, method, target):
        """Begin a request; the answer to the one before was read whole."""
        self.method = method
        self.reset_state()
        self.putrequest(method, target, skip_host=True, skip_accept_encoding=True)

    def reset_state(self):
        """Let the next request begin, as answers are not read by this class.

        Notes
        -----
        Closing is the base class's only way back to its idle state, so it
        closes without the socket.
        """
        sock, self.sock = self.sock, None
        self.close()
        self.sock = sock

    def read_head(self, is_own=None):
        """Return the response with its head read; see `EndpointResponse`."""
        response = EndpointResponse(self.sock, self.method, is_own)
        response.read_head()
        return response

    def set_time_limit(self, seconds):
        """Bound each later read and write."""
        self.sock.settimeout(seconds)

    def is_stale(self):
        """Tell whether the other side closed it or sent what nobody asked for."""
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True


class Pool:
    """Idle connections to one endpoint.

    Parameters
    ----------
    address : str
        The endpoint's.
    limit : int
        Connections this node may hold there, busy ones included.
    clock : callable
        Monotonic seconds.
    born : int
        The life of the endpoint to which the connections lead; 0 if it does not say.
    """

    def __init__(self, address, limit, clock=time.monotonic, born=0):
        self.address = address
        self.born = born
        self.limit = limit
        self._clock = clock
        self._idle = deque()
        self._closed = False
        self.opened = 0

    def take(self):
        """Return an open connection; ConnectFailed if there can be none.

        Notes
        -----
        The last one used comes first. One that was idle for long is closed: the
        endpoint may be about to close it, and a request that must not be
        repeated should not run into that.
        """
        now = self._clock()
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_until < now or connection.is_stale():
                self.discard(connection)
                continue
            connection.used = True
            return connection
        return self._open()

    def _open(self):
        if self.opened >= self.limit:
            raise PoolFull(f"{self.address}: the node's connections are used up")
        self.opened += 1
        connection = EndpointConnection(self.address)
        try:
            connection.open()
        except BaseException:
            self.opened -= 1
            raise
        return connection

    def has_idle(self):
        """Tell whether there is a connection that has not rested too long."""
        return bool(self._idle) and self._idle[-1].idle_until >= self._clock()

    def give_back(self, connection, idle_seconds=None):
        """Keep a connection whose whole answer was read.

        Parameters
        ----------
        connection : EndpointConnection
            As `take` returned it.
        idle_seconds : float or None
            How long the endpoint says that it keeps it; None if unsaid.
        """
        rest = IDLE_SECONDS
        if idle_seconds is not None:
            rest = max(0.0, idle_seconds - IDLE_MARGIN_SECONDS)
        connection.idle_until = self._clock() + rest
        if self._closed:
            self.discard(connection)
        else:
            self._idle.append(connection)

    def discard(self, connection):
        """Close a connection that is not to be used again."""
        self.opened -= 1
        connection.close()

    def retire(self):
        """Close all connections as they come to rest: the endpoint is gone."""
        self._closed = True
        self.close_idle()

    def close_idle(self):
        """Close all idle connections, as for an endpoint that is leaving."""
        while self._idle:
            self.discard(self._idle.pop())
