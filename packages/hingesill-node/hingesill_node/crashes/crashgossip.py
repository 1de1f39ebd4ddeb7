"""Datagrams between nodes on requests under which endpoints ended."""

import random

import eventlet

from hingesill_core.crashes.gossip import (
    GOSSIP_FAN_OUT,
    GOSSIP_INTERVAL_SECONDS,
    MAX_GOSSIP_ITEMS,
)
from hingesill_core.crashes.messages import GossipMessage
from hingesill_node.crashes.datagrams import MESSAGE_PREFIX, decode_batch, encode_batch
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CrashGossip"]

# A node that has just started asks others what they know, until one answers.
ASK_SECONDS = 0.5
MOST_ASKS = 6
# Datagrams with which one that asks is answered, as a guard of the links.
MOST_ANSWERS = 32
# Nodes are told that told something themselves, unless that is older: one that was
# entered as the store went away is not listed by the others. The second is a guard of
# memory.
SENDER_SECONDS = 120.0
MOST_SENDERS = 256
# Interval of log lines on invalid datagrams, in seconds.
COMPLAINT_SECONDS = 5.0


class CrashGossip:
    """Tells other nodes and hears from them, by UDP on the node's control address.

    Parameters
    ----------
    guard : RequestGuard
        Has the news and takes what is heard.
    list_peers : callable
        Returns IP number and port of the control address of each other node.
    counters : Counters
        Gets ``gossip``.

    Notes
    -----
    Gossip needs neither the store nor a relay, and no node more than others; a datagram
    that is lost is made up for by the others. A node that has no news sends nothing.
    """

    def __init__(self, guard, list_peers, counters):
        self.guard = guard
        self.list_peers = list_peers
        self.counters = counters
        self._send_datagram = None
        self._senders = {}
        self._complain_from = 0.0

    def start(self, port):
        """Begin with the DatagramPort of the node."""
        port.register(MESSAGE_PREFIX, self.take)
        self._send_datagram = port.send
        eventlet.spawn(self._tell)
        eventlet.spawn(self._ask)

    def take(self, data, sender):
        """Take a datagram; one that is not understood is dropped whole."""
        try:
            batch = decode_batch(data)
        except ValueError as error:
            self.counters.add("gossip", "invalid")
            self._complain(str(error), sender)
            return
        self.counters.add("gossip", "heard")
        now = self.guard.clock()
        self._note_sender(sender, now)
        for told in batch.told:
            self.guard.decisions.apply_item(told, now)
        if batch.asks:
            self._answer(sender, now)

    def _note_sender(self, sender, now):
        """Remember who told something, the newest ones if there are many."""
        self._senders.pop(sender, None)
        self._senders[sender] = now
        if len(self._senders) > MOST_SENDERS:
            del self._senders[next(iter(self._senders))]

    def find_peers(self, now):
        """Return the addresses of all nodes that are listed or have told something."""
        oldest = now - SENDER_SECONDS
        told = {sender for sender, at in self._senders.items() if at > oldest}
        return sorted(told.union(self.list_peers()))

    def _complain(self, detail, sender):
        now = self.guard.clock()
        if now < self._complain_from:
            return
        self._complain_from = now + COMPLAINT_SECONDS
        log_event(Event.GOSSIP_INVALID, detail=detail, sender=format_sender(sender))

    def _answer(self, sender, now):
        """Tell one that asks all that is known, in one datagram at least."""
        told = self.guard.decisions.list_items(now)
        for begin in range(0, max(1, len(told)), MAX_GOSSIP_ITEMS)[:MOST_ANSWERS]:
            self._send(
                sender, GossipMessage(tuple(told[begin : begin + MAX_GOSSIP_ITEMS]))
            )

    def _tell(self):
        while True:
            eventlet.sleep(GOSSIP_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            decisions = self.guard.decisions
            if decisions.is_idle:
                continue
            now = self.guard.clock()
            decisions.forget(now)
            if decisions.gossip:
                self._tell_round(now)

    def _tell_round(self, now):
        peers = self.find_peers(now)
        self.guard.decisions.nodes = len(peers) + 1
        chosen, told = self.guard.decisions.start_round(peers, now)
        if not told:
            return
        batch = GossipMessage(tuple(told))
        for peer in chosen:
            self._send(peer, batch)

    def _ask(self):
        """Ask others what they know, until one has answered."""
        for _ in range(MOST_ASKS):
            eventlet.sleep(ASK_SECONDS * random.uniform(0.8, 1.2))
            if self._senders:
                return
            peers = self.find_peers(self.guard.clock())
            for peer in random.sample(peers, min(GOSSIP_FAN_OUT, len(peers))):
                self._send(peer, GossipMessage(asks=True))

    def _send(self, peer, batch):
        self.counters.add("gossip", "told")
        try:
            self._send_datagram(encode_batch(batch), peer)
        except OSError:
            # A datagram that cannot be sent is as good as lost.
            self.counters.add("gossip", "failed")


def format_sender(sender):
    """Return a datagram's sender as ``IP:PORT``."""
    return f"{sender[0]}:{sender[1]}"
