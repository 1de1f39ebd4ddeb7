"""The WSGI server of eventlet for the callers' address."""

import eventlet
import httptools
from eventlet import wsgi
from eventlet.greenio import GreenSocket

from hingesill_node.datapath.application import PROTOCOL_KEY
from hingesill_node.datapath.requests import RequestHead
from hingesill_node.listeners import open_listener, pop_early_listener

__all__ = ["CallerProtocol", "listen", "start_server"]

MAX_CONNECTIONS = 10_000
KEEP_ALIVE_SECONDS = 60
SOCKET_TIMEOUT_SECONDS = 30
END_OF_HEAD = (b"\r\n", b"\n", b"")
BAD_FRAMING_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Hingesill-Outcome: not-run\r\nHingesill-Reason: bad-framing\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerProtocol(wsgi.HttpProtocol):
    """HTTP protocol that lets the application close a connection."""

    def get_environ(self):
        """Return the WSGI environment with this protocol object added."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        return environ

    def parse_request(self):
        """Read and parse the head of a request; reject a malformed one.

        Returns
        -------
        bool
            False if the request was malformed and has been rejected.
        """
        self.close_connection = True
        lines = [self.raw_requestline]
        while lines[-1] not in END_OF_HEAD:
            lines.append(self.rfile.readline())
        try:
            head = RequestHead(lines)
        except httptools.HttpParserError:
            self.wfile.write(BAD_FRAMING_RESPONSE)
            self.wfile.flush()
            return False
        self.headers = head
        self.command = head.method
        self.path = head.target.decode("latin-1")
        self.request_version = f"HTTP/{head.version}"
        self.requestline = f"{self.command} {self.path} {self.request_version}"
        self.close_connection = not head.keep_alive
        return True


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


def start_server(sock, application):
    """Serve an application on a listening socket in a green thread.

    Returns
    -------
    GreenThread
        Green thread that ends when the socket is closed.
    """
    pool = eventlet.GreenPool(MAX_CONNECTIONS)
    return eventlet.spawn(
        wsgi.server,
        sock,
        application,
        protocol=CallerProtocol,
        custom_pool=pool,
        log=NullLog(),
        log_output=False,
        keepalive=KEEP_ALIVE_SECONDS,
        socket_timeout=SOCKET_TIMEOUT_SECONDS,
        debug=False,
    )
