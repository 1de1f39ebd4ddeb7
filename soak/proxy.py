"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import random
import socket
import struct
import threading
import time
from dataclasses import dataclass

__all__ = ["Proxy", "Trouble"]

PIECE_BYTES = 64 * 1024
ACCEPT_SECONDS = 0.2
SILENT_CHECK_SECONDS = 0.02
RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class Trouble:
    """What a proxy does to bytes; the default passes them on.

    Parameters
    ----------
    delay : float
        Seconds that each piece waits, at most.
    reset_share : float
        Share of pieces at which the connection is reset.
    silent_to, silent_from : bool
        Nothing passes to the other side, or from it.
    """

    delay: float = 0.0
    reset_share: float = 0.0
    silent_to: bool = False
    silent_from: bool = False


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    target : str
        ``IP:PORT``.
    seed : object
        Of the random choices.
    """

    def __init__(self, target, seed):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.trouble = Trouble()
        self._random = random.Random(f"proxy {seed}")
        self._ended = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_SECONDS)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Take no new connections and end those that are open."""
        self._ended.set()

    def _accept(self):
        while not self._ended.is_set():
            try:
                near, _ = self._listener.accept()
            except TimeoutError:
                continue
            self._connect(near)
        self._listener.close()

    def _connect(self, near):
        try:
            far = socket.create_connection(self.target, timeout=1.0)
        except OSError:
            near.close()
            return
        for source, sink, name in (
            (near, far, "silent_to"),
            (far, near, "silent_from"),
        ):
            pump = threading.Thread(
                target=self._pump, args=(source, sink, name), daemon=True
            )
            pump.start()

    def _pump(self, source, sink, silent_name):
        """Pass bytes on until one side ends, a reset, or the proxy's end."""
        try:
            source.settimeout(ACCEPT_SECONDS)
            while not self._ended.is_set():
                if not self._pass_piece(source, sink, silent_name):
                    break
        except OSError:
            pass  # A side is gone; the other one is told by the close below.
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It was closed already.
            sock.close()

    def _pass_piece(self, source, sink, silent_name):
        """Pass one piece on; tell whether the connection goes on."""
        try:
            piece = source.recv(PIECE_BYTES)
        except TimeoutError:
            return True
        while getattr(self.trouble, silent_name) and not self._ended.is_set():
            time.sleep(SILENT_CHECK_SECONDS)
        if self._random.random() < self.trouble.reset_share:
            for sock in (source, sink):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        if self.trouble.delay:
            time.sleep(self._random.uniform(0, self.trouble.delay))
        if piece:
            sink.sendall(piece)
        return bool(piece)
