"""Listening sockets, including those opened before the rest of a node is loaded.

Loading takes half a second or more. Connections of callers in that time are not
refused: the kernel queues them, and the server accepts them once it runs. For this
reason, the module imports no other module of the package.
"""

import socket

__all__ = [
    "open_early_listener",
    "open_listener",
    "split_address",
    "pop_early_listener",
]

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Bytes that a client may send before they are read; the kernel adds as much for its own
# bookkeeping. The default of the kernel grows to megabytes for each connection.
RECEIVE_BUFFER_BYTES = 16 * 1024
EARLY_LISTENERS = {}


def split_address(address):
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def open_listener(address, reuse_port=False):
    """Return a listening socket.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 selects a free port.
    reuse_port : bool
        Whether several nodes of a VM share the port.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Accepted connections inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def open_early_listener(address):
    """Listen on ``IP:PORT``, for the server to claim the socket later.

    Notes
    -----
    Errors are ignored: the server meets the same error when it listens, and reports it.
    """
    try:
        EARLY_LISTENERS[address] = open_listener(address)
    except OSError:
        return


def pop_early_listener(address):
    """Return the early socket of an address once, or None if there is none."""
    return EARLY_LISTENERS.pop(address, None)
