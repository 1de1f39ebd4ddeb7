"""Gossip between nodes on endpoint crashes and quarantined requests, by UDP."""

import random

import eventlet

from hingesill_core.crashes.gossip import (
    GOSSIP_FAN_OUT,
    GOSSIP_INTERVAL_SECONDS,
    MAX_GOSSIP_ITEMS,
)
from hingesill_core.crashes.messages import GossipMessage
from hingesill_node.crashes.datagrams import (
    MESSAGE_PREFIX,
    decode_message,
    encode_message,
)
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CrashGossip"]

# Interval at which a node that has just started requests all items, until it has
# received a message, and the maximum number of these requests.
REQUEST_INTERVAL_SECONDS = 0.5
MAX_REQUESTS = 6
# Maximum number of datagrams that answer such a request; limits the load on the links.
MAX_REPLY_DATAGRAMS = 32
# Time for which nodes that sent a message are peers even if they are not listed: a node
# that registered while the store became unavailable is not listed by the others.
SENDER_RETENTION_SECONDS = 120.0
# Limits the memory of the node.
MAX_SENDERS = 256
# Minimum interval between log lines on invalid datagrams, in seconds.
LOG_INTERVAL_SECONDS = 5.0


class CrashGossip:
    """Sends and receives gossip messages, by UDP on the node's control address.

    Parameters
    ----------
    guard : RequestGuard
        Provides the items to send and applies the received ones.
    list_peers : callable
        Returns IP number and port of the control address of each other node.
    counters : Counters
        Counts messages as ``gossip``.

    Notes
    -----
    Gossip depends neither on the store nor on a relay or any other single node; other
    datagrams make up for a lost one. A node without pending items sends nothing.
    """

    def __init__(self, guard, list_peers, counters):
        self.guard = guard
        self.list_peers = list_peers
        self.counters = counters
        self._send_datagram = None
        self._senders = {}
        self._next_log_at = 0.0

    def start(self, port):
        """Start sending and receiving on the DatagramPort of the node."""
        port.register(MESSAGE_PREFIX, self.handle_datagram)
        self._send_datagram = port.send
        eventlet.spawn(self._run_rounds)
        eventlet.spawn(self._request_items)

    def handle_datagram(self, data, sender):
        """Apply the items of a datagram; drop an invalid one as a whole."""
        try:
            message = decode_message(data)
        except ValueError as error:
            self.counters.add("gossip", "invalid")
            self._log_invalid(str(error), sender)
            return
        self.counters.add("gossip", "heard")
        now = self.guard.clock()
        self._record_sender(sender, now)
        for item in message.items:
            self.guard.decisions.apply_item(item, now)
        if message.wants_all:
            self._send_all(sender, now)

    def _record_sender(self, sender, now):
        """Record the sender of a message; drop the oldest one if there are too many."""
        self._senders.pop(sender, None)
        self._senders[sender] = now
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]

    def find_peers(self, now):
        """Return the addresses of all nodes that are listed or recently sent."""
        oldest = now - SENDER_RETENTION_SECONDS
        recent = {sender for sender, at in self._senders.items() if at > oldest}
        return sorted(recent.union(self.list_peers()))

    def _log_invalid(self, detail, sender):
        now = self.guard.clock()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_SECONDS
        log_event(Event.GOSSIP_INVALID, detail=detail, sender=format_sender(sender))

    def _send_all(self, sender, now):
        """Send all items to a node that requested them, in at least one datagram."""
        items = self.guard.decisions.list_items(now)
        for begin in range(0, max(1, len(items)), MAX_GOSSIP_ITEMS)[
            :MAX_REPLY_DATAGRAMS
        ]:
            self._send(
                sender, GossipMessage(tuple(items[begin : begin + MAX_GOSSIP_ITEMS]))
            )

    def _run_rounds(self):
        while True:
            eventlet.sleep(GOSSIP_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            decisions = self.guard.decisions
            if decisions.is_idle:
                continue
            now = self.guard.clock()
            decisions.remove_expired(now)
            if decisions.gossip:
                self._run_round(now)

    def _run_round(self, now):
        peers = self.find_peers(now)
        self.guard.decisions.nodes = len(peers) + 1
        chosen, items = self.guard.decisions.start_round(peers, now)
        if not items:
            return
        message = GossipMessage(tuple(items))
        for peer in chosen:
            self._send(peer, message)

    def _request_items(self):
        """Request all items of random peers, until one of them has answered."""
        for _ in range(MAX_REQUESTS):
            eventlet.sleep(REQUEST_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            if self._senders:
                return
            peers = self.find_peers(self.guard.clock())
            for peer in random.sample(peers, min(GOSSIP_FAN_OUT, len(peers))):
                self._send(peer, GossipMessage(wants_all=True))

    def _send(self, peer, message):
        self.counters.add("gossip", "told")
        try:
            self._send_datagram(encode_message(message), peer)
        except OSError:
            # Handled like a datagram that is lost on the way.
            self.counters.add("gossip", "failed")


def format_sender(sender):
    """Return a datagram's sender as ``IP:PORT``."""
    return f"{sender[0]}:{sender[1]}"
