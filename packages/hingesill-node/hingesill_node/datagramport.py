"""The UDP socket of a node's control address, which several parts share."""

import eventlet
from eventlet.green import socket as green_socket

from hingesill_node.listeners import split_address

__all__ = ["DatagramPort", "MOST_BYTES"]

# Of a datagram; what nodes send fits into 1,400.
MOST_BYTES = 4096


class DatagramPort:
    """Hands each datagram to the part that knows its kind by the first byte.

    Parameters
    ----------
    counters : Counters
        Gets ``datagrams``.
    """

    def __init__(self, counters):
        self.counters = counters
        self._sock = None
        self._takers = {}
        self._take_other = None

    def register(self, marks, take):
        """Hand datagrams that begin with one of these bytes to a callable.

        Parameters
        ----------
        marks : bytes
            First bytes, each of one part only.
        take : callable
            Takes the bytes, and IP number and port of the sender.
        """
        for mark in marks:
            if mark in self._takers:
                raise ValueError(f"datagrams that begin with {mark:#x} have a taker")
            self._takers[mark] = take

    def register_other(self, take):
        """Hand all other datagrams to a callable."""
        self._take_other = take

    def start(self, address):
        """Begin to listen on ``IP:PORT``; OSError if that cannot be bound."""
        self._sock = green_socket.socket(green_socket.AF_INET, green_socket.SOCK_DGRAM)
        self._sock.bind(split_address(address))
        eventlet.spawn(self._listen)

    def send(self, data, peer):
        """Send a datagram; OSError if that is not possible at once.

        Notes
        -----
        Decisions send in the middle of their work, so it must not wait: another green
        thread would find them half made.
        """
        self._sock.fd.sendto(data, peer)

    def _listen(self):
        while True:
            try:
                data, sender = self._sock.recvfrom(MOST_BYTES)
            except OSError:
                # A peer's port that is closed shows here; the next datagram will do.
                self.counters.add("datagrams", "failed")
                continue
            take = self._takers.get(data[0]) if data else None
            take = take or self._take_other
            if take is not None:
                take(data, sender)
            else:
                self.counters.add("datagrams", "unknown")
