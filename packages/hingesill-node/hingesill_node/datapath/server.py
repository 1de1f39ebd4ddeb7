"""The WSGI server for the addresses of a node, based on that of eventlet."""

import math
import socket
from contextlib import suppress
from itertools import count

import eventlet
from eventlet import wsgi
from eventlet.greenio import GreenSocket
from eventlet.hubs import notify_opened

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath.callerprotocol import CallerProtocol, build_head_refusal
from hingesill_node.datapath.connectionlog import ConnectionLog
from hingesill_node.datapath.connectionstate import (
    ConnectionEnd,
    ConnectionPhase,
    ConnectionState,
)
from hingesill_node.datapath.connectiontable import ConnectionTable
from hingesill_node.datapath.requestfaultlog import RequestFaultLog
from hingesill_node.datapath.requestmemory import RequestMemory
from hingesill_node.listeners import (
    RECEIVE_BUFFER_BYTES,
    open_listener,
    pop_early_listener,
)
from hingesill_node.resources import ServerLimits
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["FORWARDED", "CallerServer", "listen", "start_server"]

KEEP_ALIVE_SECONDS = 60
SOCKET_TIMEOUT_SECONDS = 30
DEFAULT_LIMITS = ServerLimits()
# Name of the address for requests that other nodes forward.
FORWARDED = "forwarded"
# Connections that are accepted before other green threads run.
ACCEPTS_PER_TURN = 16
# Bytes of a refused connection that are dropped.
REFUSED_BYTES = 16 * 1024
# Pause after an error such as a lack of file descriptors.
ACCEPT_PAUSE_SECONDS = 0.05


class CallerServer(wsgi.Server):
    """Serves the connections of one address, each in a green thread.

    Parameters
    ----------
    sock : GreenSocket
        The listening socket.
    application : callable
        WSGI application; it gets requests with a whole head only.
    listener : str
        Name of the address, for logs and counters.
    counters : Counters
        Counts requests that do not reach the application, and ended connections.
    limits : ServerLimits
        Limits on connections and requests.
    memory : RequestMemory or None
        Memory of the requests on all addresses; without a limit if None.

    Attributes
    ----------
    is_accepting : bool
        Whether the address is open.
    is_forwarded : bool
        Whether its requests are forwarded by other nodes.
    reads_ahead : bool
        Whether a connection may read more than one request at a time.
    """

    def __init__(
        self,
        sock,
        application,
        listener,
        counters,
        limits=DEFAULT_LIMITS,
        memory=None,
    ):
        super().__init__(
            sock,
            sock.getsockname(),
            application,
            max_http_version=wsgi.DEFAULT_MAX_HTTP_VERSION,
            keepalive=KEEP_ALIVE_SECONDS,
            log_output=False,
            debug=False,
            socket_timeout=SOCKET_TIMEOUT_SECONDS,
        )
        self.is_accepting = True
        self.reads_ahead = True
        self.limits = limits
        self.is_forwarded = listener == FORWARDED
        self.counters = counters
        self._fault_log = RequestFaultLog(listener)
        self._connection_log = ConnectionLog(listener, counters)
        self._connections = ConnectionTable(limits.connections)
        self.memory = memory or RequestMemory(math.inf)
        self.memory.add_table(self._connections)
        self._thread = None

    def start(self):
        """Accept connections in a green thread."""
        self._thread = eventlet.spawn(self._accept)

    def _accept(self):
        """Accept connections until the thread is killed or the socket is closed."""
        for number in count(1):
            if number % ACCEPTS_PER_TURN == 0:
                eventlet.sleep(0)
            try:
                accepted = self.socket.accept()
            except OSError as error:
                if self.socket.fileno() < 0:
                    return
                log_event(Event.ACCEPT_FAILED, error=str(error))
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            self._add(*accepted)

    def _add(self, sock, address):
        """Serve a connection in a green thread, or refuse it if there is no room."""
        state = ConnectionState(sock, address)
        if not self._connections.has_room():
            self._refuse(state)
            return
        self._connections.add(state)
        eventlet.spawn_n(self._serve, state)

    def _refuse(self, state):
        """Refuse a connection without reading its request, and close it."""
        refusal = build_head_refusal(RefusalReason.CONNECTION_LIMIT, self)
        with suppress(OSError):
            # A socket that is closed with unread bytes is reset.
            state.sock.fd.recv(REFUSED_BYTES, socket.MSG_DONTWAIT)
        with suppress(OSError):
            state.sock.fd.send(refusal)
        state.sock.close()
        state.end = ConnectionEnd.REFUSED
        self._connection_log.record(state)

    def _serve(self, state):
        try:
            CallerProtocol(state, self.counters, self._fault_log, self)
        except Exception as error:
            state.end = ConnectionEnd.CUT
            log_event(Event.REQUEST_FAULT, error=repr(error))
        finally:
            state.sock.close()
            self._connections.discard(state)
            self._connection_log.record(state)

    def begin_stop(self):
        """Let each connection read one request at a time from now on."""
        self.reads_ahead = False

    def close_address(self):
        """Accept the connections that are complete, then close the address."""
        if not self.is_accepting:
            return
        self.is_accepting = False
        self._thread.kill()
        with suppress(OSError):
            while True:
                sock, address = self.socket.fd.accept()
                notify_opened(sock.fileno())
                self._add(GreenSocket(sock), address)
        self.socket.close()

    def close_idle(self):
        """Close the connections from which no request has arrived."""
        for state in self._connections:
            state.end_wait()

    def count_owed(self):
        """Return the number of connections that still receive an answer."""
        return self._connections.count_owed()

    def count_serving(self):
        """Return the number of connections with a request that is not answered."""
        return self._connections.count(ConnectionPhase.SERVING)

    def has_connections(self):
        """Return whether a connection is open."""
        return len(self._connections) > 0

    def record_process_end(self):
        """Count and log the connections that are still open."""
        self._connection_log.record_process_end(list(self._connections))

    def kill(self):
        """Close the address and the connections that wait for a request."""
        self.is_accepting = False
        self._thread.kill()
        self.close_idle()


def listen(address, reuse_port, receive_buffer_bytes=RECEIVE_BUFFER_BYTES):
    """Return a listening green socket, from a socket opened early if there is one.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 selects a free port.
    reuse_port : bool
        Whether several nodes of a VM share the port.
    receive_buffer_bytes : int
        Bytes that may lie unread on each connection that is accepted.

    Raises
    ------
    OSError
        If listening on the address fails.
    """
    sock = pop_early_listener(address) or open_listener(address, reuse_port)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    return GreenSocket(sock)


def start_server(
    sock, application, listener, counters, limits=DEFAULT_LIMITS, memory=None
):
    """Serve an application on a listening socket in green threads.

    Returns
    -------
    CallerServer
        The server; see there for parameters.
    """
    server = CallerServer(sock, application, listener, counters, limits, memory)
    server.start()
    return server
