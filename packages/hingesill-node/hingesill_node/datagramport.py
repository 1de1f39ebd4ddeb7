"""UDP socket of a node's control address, shared by several components."""

import eventlet
from eventlet.green import socket as green_socket

from hingesill_node.listeners import split_address

__all__ = ["DatagramPort", "MAX_DATAGRAM_BYTES"]

# Largest datagram in bytes that is received whole; nodes send at most 1,400 bytes.
MAX_DATAGRAM_BYTES = 4096


class DatagramPort:
    """Dispatches each datagram to a handler by its first byte.

    Parameters
    ----------
    counters : Counters
        Counts failed and unknown messages under ``datagrams``.
    """

    def __init__(self, counters):
        self.counters = counters
        self._sock = None
        self._handlers = {}
        self._default_handler = None

    def register(self, prefixes, handler):
        """Register the handler of datagrams that begin with one of these bytes.

        Parameters
        ----------
        prefixes : bytes
            First bytes; each may have one handler only.
        handler : callable
            Called with the data and the sender's IP address and port.
        """
        for prefix in prefixes:
            if prefix in self._handlers:
                raise ValueError(f"datagram prefix {prefix:#x} already has a handler")
            self._handlers[prefix] = handler

    def register_default(self, handler):
        """Register the handler of all other datagrams."""
        self._default_handler = handler

    def start(self, address):
        """Start to listen on ``IP:PORT``; raise OSError if it cannot be bound."""
        self._sock = green_socket.socket(green_socket.AF_INET, green_socket.SOCK_DGRAM)
        self._sock.bind(split_address(address))
        eventlet.spawn(self._listen)

    def send(self, data, peer):
        """Send a datagram; raise OSError if that would block or there is no such port.

        Notes
        -----
        Decisions send datagrams while they change state. A wait here would let another
        green thread see that state half updated.
        """
        try:
            self._sock.fd.sendto(data, peer)
        except OverflowError as error:
            raise OSError(str(error)) from error

    def _listen(self):
        while True:
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # A closed port of a peer is reported here; continue with the next
                # datagram.
                self.counters.add("datagrams", "failed")
                continue
            handler = self._handlers.get(data[0]) if data else None
            handler = handler or self._default_handler
            if handler is not None:
                handler(data, sender)
            else:
                self.counters.add("datagrams", "unknown")
