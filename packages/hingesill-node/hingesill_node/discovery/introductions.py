"""Datagrams by which a node makes itself known to the nodes of its directory.

A node that has lost the store queries the nodes that it knows for changes. Once all of
these have ended, it hears of no change, though nodes that started later have it in
their directories. So a node introduces itself to them when it starts, and to a random
one from time to time, as datagrams may be lost.
"""

import random

import eventlet
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from hingesill_core.discovery.records import NodeRecord
from hingesill_node.telemetry.events import Event, log_event

__all__ = [
    "INTRODUCTION_PREFIX",
    "IntroductionExchange",
    "decode_introduction",
    "encode_introduction",
]

# First byte of each introduction; other datagrams between nodes have another one.
INTRODUCTION_PREFIX = b"N"
COUNTER = "introductions"
MAX_TEXT_LENGTH = 256
# Rounds of introductions after the start, their interval in seconds, and the nodes that
# receive one in each.
START_ROUNDS = 3
START_INTERVAL_SECONDS = 0.4
START_RECIPIENTS = 32
# Interval of introductions to a random node afterwards, in seconds.
INTERVAL_SECONDS = 1.0
CHECK_SECONDS = 0.1
# Minimum interval between log lines on invalid datagrams, in seconds.
LOG_INTERVAL_SECONDS = 5.0


class Introduction(Struct, frozen=True, array_like=True):
    """Name, control address and data centre of a node."""

    name: str
    address: str
    data_centre: str


DECODER = Decoder(Introduction)


def encode_introduction(node):
    """Return the bytes of the introduction of a NodeRecord."""
    message = Introduction(node.name, node.address, node.data_centre)
    return INTRODUCTION_PREFIX + encode(message)


def decode_introduction(data, sender):
    """Return the NodeRecord of an introduction.

    Parameters
    ----------
    data : bytes
        The datagram.
    sender : tuple
        IP number and port from which it came.

    Raises
    ------
    ValueError
        If the datagram is no introduction, or gives another address than the sender's.
    """
    try:
        message = DECODER.decode(data.removeprefix(INTRODUCTION_PREFIX))
    except (DecodeError, RecursionError) as error:
        raise ValueError(f"not an introduction: {error}") from error
    if not message.name:
        raise ValueError("an introduction without a name")
    for text in (message.name, message.data_centre):
        if len(text) > MAX_TEXT_LENGTH:
            raise ValueError(f"a text of {len(text)} characters")
    if message.address != "%s:%d" % sender:
        address = message.address[:MAX_TEXT_LENGTH]
        raise ValueError(f"introduces {address}, sent by another address")
    return NodeRecord(message.name, message.address, message.data_centre)


class IntroductionExchange:
    """Sends this node's introductions to other nodes and receives theirs.

    Parameters
    ----------
    own : NodeRecord
        This node's entry.
    list_peers : callable
        Returns IP number and port of the control address of each other node.
    is_informed : callable
        Returns whether this node answers queries and has the store's changes.
    record : callable
        Called with the NodeRecord of each introduction.
    counters : Counters
        Counts datagrams as ``introductions``.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, own, list_peers, is_informed, record, counters, clock):
        self.own = own
        self.list_peers = list_peers
        self.is_informed = is_informed
        self.record = record
        self.counters = counters
        self.clock = clock
        self._next_log_at = 0.0
        self._send_datagram = None

    def start(self, port):
        """Start sending and receiving on the DatagramPort of the node."""
        self._send_datagram = port.send
        port.register(INTRODUCTION_PREFIX, self.handle_datagram)
        eventlet.spawn(self._run)

    def handle_datagram(self, data, sender):
        """Record the node of an introduction; drop an invalid one."""
        try:
            node = decode_introduction(data, sender)
        except ValueError as error:
            self.counters.add(COUNTER, "invalid")
            self._log_invalid(str(error), sender)
            return
        self.counters.add(COUNTER, "heard")
        self.record(node)

    def _log_invalid(self, detail, sender):
        now = self.clock()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_SECONDS
            log_event(Event.GOSSIP_INVALID, detail=detail, sender="%s:%d" % sender)

    def _run(self):
        for _ in range(START_ROUNDS):
            while not self.is_informed():
                eventlet.sleep(CHECK_SECONDS)
            self._introduce(START_RECIPIENTS)
            eventlet.sleep(START_INTERVAL_SECONDS)
        while True:
            eventlet.sleep(INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            if self.is_informed():
                self._introduce(1)

    def _introduce(self, count):
        """Send this node's introduction to some random nodes."""
        peers = self.list_peers()
        data = encode_introduction(self.own)
        for peer in random.sample(peers, min(count, len(peers))):
            self.counters.add(COUNTER, "told")
            try:
                self._send_datagram(data, peer)
            except OSError:
                # Handled like a datagram that is lost on the way.
                self.counters.add(COUNTER, "failed")
