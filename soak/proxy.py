"""A loopback TCP proxy that delays, resets or blocks connections."""

import random
import socket
import struct
import threading
import time
from dataclasses import dataclass

__all__ = ["Proxy", "ProxyFault"]

MAX_CHUNK_BYTES = 64 * 1024
ACCEPT_SECONDS = 0.2
BLOCKED_CHECK_SECONDS = 0.02
RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class ProxyFault:
    """The fault that a proxy injects; the default forwards all bytes unchanged.

    Parameters
    ----------
    delay : float
        Maximum delay of each chunk, in seconds.
    reset_share : float
        Share of chunks at which the connection is reset.
    blocked_to, blocked_from : bool
        Whether bytes to the target, or from it, are blocked.
    """

    delay: float = 0.0
    reset_share: float = 0.0
    blocked_to: bool = False
    blocked_from: bool = False


class Proxy:
    """A proxy that forwards connections to one address.

    Parameters
    ----------
    target : str
        Address as ``IP:PORT``.
    seed : object
        Seed of the random choices.
    """

    def __init__(self, target, seed):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.fault = ProxyFault()
        self._random = random.Random(f"proxy {seed}")
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_SECONDS)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no new connections and close the open ones."""
        self._closed.set()

    def _accept(self):
        while not self._closed.is_set():
            try:
                client, _ = self._listener.accept()
            except TimeoutError:
                continue
            self._connect(client)
        self._listener.close()

    def _connect(self, client):
        try:
            server = socket.create_connection(self.target, timeout=1.0)
        except OSError:
            client.close()
            return
        for source, sink, name in (
            (client, server, "blocked_to"),
            (server, client, "blocked_from"),
        ):
            thread = threading.Thread(
                target=self._forward, args=(source, sink, name), daemon=True
            )
            thread.start()

    def _forward(self, source, sink, blocked_name):
        """Forward bytes until either side closes, a reset, or the proxy is closed."""
        try:
            source.settimeout(ACCEPT_SECONDS)
            while not self._closed.is_set():
                if not self._forward_chunk(source, sink, blocked_name):
                    break
        except OSError:
            pass  # One side has closed; the close below notifies the other one.
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The socket was closed already.
            sock.close()

    def _forward_chunk(self, source, sink, blocked_name):
        """Forward one chunk; return whether the connection stays open."""
        try:
            chunk = source.recv(MAX_CHUNK_BYTES)
        except TimeoutError:
            return True
        while getattr(self.fault, blocked_name) and not self._closed.is_set():
            time.sleep(BLOCKED_CHECK_SECONDS)
        if self._random.random() < self.fault.reset_share:
            for sock in (source, sink):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        if self.fault.delay:
            time.sleep(self._random.uniform(0, self.fault.delay))
        if chunk:
            sink.sendall(chunk)
        return bool(chunk)
