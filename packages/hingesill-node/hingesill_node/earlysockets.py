"""Listening sockets that are opened before the rest of a node is loaded.

Loading takes half a second or more. Callers who connect meanwhile are not turned away:
the kernel takes their connections, and the server reads them once it runs.
"""

import socket

__all__ = ["BACKLOG", "open_early", "split_address", "take_early"]

BACKLOG = 1024
OPENED = {}


def split_address(address):
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def open_early(address):
    """Listen on an address until the server takes the socket.

    Parameters
    ----------
    address : str
        ``IP:PORT``.

    Notes
    -----
    What fails here fails again when the server listens, and is told then.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        return
    OPENED[address] = sock


def take_early(address):
    """Return the socket that listens on an address, or None; it is given once."""
    return OPENED.pop(address, None)
