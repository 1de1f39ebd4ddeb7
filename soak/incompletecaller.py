"""A caller whose connections end before its requests are whole."""

import random
import socket
import struct
import threading

from matrix.evidence import Violation

__all__ = ["IncompleteCaller", "check_incomplete"]

PAUSE_SECONDS = 0.03
TIMEOUT_SECONDS = 2.0
LONG_CHUNK = "x" * 70_000
HEAD = (
    "POST /ledger/moves HTTP/1.1\r\nHost: a\r\nHingesill-Request-Id: {id}\r\n"
    "Authorization: Bearer {key}\r\n"
)
FORMS = (
    HEAD.replace("POST /ledger/moves", "GET /arena/boards/7") + "Cookie: c=1\r\n\r\n",
    HEAD + "Content-Length: 9\r\n\r\na\r\n\r\nbcde",
    HEAD
    + "Transfer-Encoding: chunked\r\n\r\n0009\r\na\r\n\r\nbcde\r\n00\r\nT: 1\r\n\r\n",
    HEAD
    + f"Transfer-Encoding: chunked\r\n\r\n{len(LONG_CHUNK):07x}\r\n{LONG_CHUNK}\r\n"
    + f"{len(LONG_CHUNK):07x}\r\n{LONG_CHUNK}\r\n0\r\n\r\n",
)
ENDS = ("close", "reset", "half")


class IncompleteCaller:
    """Sends beginnings of requests until it is stopped.

    Parameters
    ----------
    get_addresses : callable
        Returns the addresses of the nodes in use.
    key : str
        Key of its organisation.
    seed : int
        Seed of the choices of forms, lengths and ways to end a connection.

    Attributes
    ----------
    request_ids : list of str
        The ids of its requests, none of which was sent whole.
    """

    def __init__(self, get_addresses, key, seed):
        self.get_addresses = get_addresses
        self.key = key
        self.request_ids = []
        self._rng = random.Random(f"incomplete requests of {seed}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start to send; return the caller."""
        self._thread.start()
        return self

    def stop(self):
        """Stop after the request that is being sent."""
        self._stopped.set()
        self._thread.join(2 * TIMEOUT_SECONDS)

    def _run(self):
        while not self._stopped.wait(PAUSE_SECONDS):
            addresses = self.get_addresses()
            if addresses:
                self._send(self._rng.choice(addresses))

    def _send(self, address):
        request_id = f"incomplete-{len(self.request_ids)}"
        self.request_ids.append(request_id)
        data = self._rng.choice(FORMS).format(id=request_id, key=self.key).encode()
        cut = self._choose_cut(len(data))
        host, port = address.split(":")
        try:
            with socket.create_connection((host, int(port)), TIMEOUT_SECONDS) as sock:
                sock.sendall(data[:cut])
                end_connection(sock, self._rng.choice(ENDS))
        except OSError:
            pass  # The node has ended, or refused the request early.

    def _choose_cut(self, length):
        """Return a number of bytes: within the head, near the end, or anywhere."""
        low, high = self._rng.choice(((1, 160), (length - 20, length), (1, length)))
        return self._rng.randrange(low, min(high, length))


def end_connection(sock, end):
    """End a connection by closing its sending side or closing or resetting it."""
    if end == "half":
        sock.shutdown(socket.SHUT_WR)
        sock.recv(65536)
    elif end == "reset":
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def check_incomplete(request_ids, ran):
    """Yield a violation for each incomplete request that an endpoint ran.

    Parameters
    ----------
    request_ids : iterable of str
        Requests that were not sent whole.
    ran : collections.Counter
        How often each request id ran.
    """
    for request_id in request_ids:
        if ran[request_id]:
            yield Violation(request_id, "ran though it was not sent whole")
