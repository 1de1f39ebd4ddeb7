"""Callers that are gone."""

import socket

__all__ = ["is_caller_gone"]


def is_caller_gone(sock):
    """Tell whether a caller has closed its connection.

    Parameters
    ----------
    sock : GreenSocket or None
        The caller's connection; None counts as there.

    Notes
    -----
    Bytes that wait are a pipelined request, not an end.
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
