"""eventlet's WSGI server on the callers' address."""

import eventlet
import httptools
from eventlet import wsgi
from eventlet.greenio import GreenSocket

from hingesill_node.datapath.application import PROTOCOL_KEY
from hingesill_node.datapath.requests import RequestHead
from hingesill_node.listeners import open_listener, pop_early_listener

__all__ = ["CallerProtocol", "listen", "start_server"]

MOST_CONNECTIONS = 10_000
IDLE_SECONDS = 60
SOCKET_SECONDS = 30
END_OF_HEAD = (b"\r\n", b"\n", b"")
MALFORMED = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Hingesill-Outcome: not-run\r\nHingesill-Reason: bad-framing\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerProtocol(wsgi.HttpProtocol):
    """Lets the application end a connection after its answer."""

    def get_environ(self):
        """Return the environment with this protocol object in it."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        return environ

    def parse_request(self):
        """Read and parse the head; answer a malformed one and tell of it.

        Returns
        -------
        bool
            False if the request was answered here.
        """
        self.close_connection = True
        lines = [self.raw_requestline]
        while lines[-1] not in END_OF_HEAD:
            lines.append(self.rfile.readline())
        try:
            head = RequestHead(lines)
        except httptools.HttpParserError:
            self.wfile.write(MALFORMED)
            self.wfile.flush()
            return False
        self.headers = head
        self.command = head.method
        self.path = head.target.decode("latin-1")
        self.request_version = f"HTTP/{head.version}"
        self.requestline = f"{self.command} {self.path} {self.request_version}"
        self.close_connection = not head.keep_alive
        return True


class SilentLog:
    """Takes the server's own lines: events are logged by the application."""

    def info(self, message, *arguments):
        """Drop a line."""

    debug = info
    error = info


def listen(address, reuse_port):
    """Return a listening green socket, the one that was opened early if there is one.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 takes a free one.
    reuse_port : bool
        Let several nodes of a VM share the port.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    return GreenSocket(
        pop_early_listener(address) or open_listener(address, reuse_port)
    )


def start_server(sock, application):
    """Serve an application on a listening socket in a green thread.

    Returns
    -------
    GreenThread
        Ends when the socket is closed.
    """
    pool = eventlet.GreenPool(MOST_CONNECTIONS)
    return eventlet.spawn(
        wsgi.server,
        sock,
        application,
        protocol=CallerProtocol,
        custom_pool=pool,
        log=SilentLog(),
        log_output=False,
        keepalive=IDLE_SECONDS,
        socket_timeout=SOCKET_SECONDS,
        debug=False,
    )
