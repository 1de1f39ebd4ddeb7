"""Listening sockets, also ones that are opened before the rest of a node is loaded.

Loading takes half a second or more. Callers who connect meanwhile are not turned away:
the kernel takes their connections, and the server reads them once it runs. So this
module loads nothing else.
"""

import socket

__all__ = ["open_early", "open_listener", "split_address", "take_early"]

# Connections that wait to be accepted.
BACKLOG = 1024
OPENED = {}


def split_address(address):
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def open_listener(address, reuse_port=False):
    """Return a listening socket.

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
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def open_early(address):
    """Listen on ``IP:PORT`` until the server takes the socket.

    Notes
    -----
    What fails here fails again when the server listens, and is told then.
    """
    try:
        OPENED[address] = open_listener(address)
    except OSError:
        return


def take_early(address):
    """Return the socket that listens on an address, or None; it is given once."""
    return OPENED.pop(address, None)
