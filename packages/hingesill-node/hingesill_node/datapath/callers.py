"""Detection of closed caller connections."""

import socket

__all__ = ["is_caller_gone"]


def is_caller_gone(sock):
    """Return whether a caller has closed its connection.

    Parameters
    ----------
    sock : GreenSocket or None
        Socket of the caller's connection; None counts as open.

    Notes
    -----
    Unread bytes are a pipelined request, so the connection counts as open.
    """
    if sock is None:
        return False
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return sock.fd.recv(1, flags) == b""
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
