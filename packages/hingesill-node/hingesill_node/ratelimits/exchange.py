"""Carries what nodes say to each other of endpoints' limits, by UDP."""

import random

import eventlet

from hingesill_node.ratelimits.datagrams import MARK, decode_message, encode_message
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["LimitExchange", "log_limit"]

# Interval of gossip rounds, in seconds. Each goes to two nodes, so that limits cost a
# node at most four datagrams a second besides its grant requests.
GOSSIP_INTERVAL_SECONDS = 0.5
# Interval of log lines on invalid datagrams, in seconds.
COMPLAINT_SECONDS = 5.0


class LimitExchange:
    """Tells other nodes of limits, asks them for grants, and hears from them.

    Parameters
    ----------
    limits : FleetLimits
        Decides what is told.
    port : DatagramPort
        The node's.
    list_peers : callable
        Returns IP number and port of the control address of each other node.
    runners : RunnerTable
        Asks endpoints for their load.
    counters : Counters
        Gets ``limits``.
    """

    def __init__(self, limits, port, list_peers, runners, counters):
        self.limits = limits
        self.port = port
        self.list_peers = list_peers
        self.runners = runners
        self.counters = counters
        self.own = None
        self._complain_from = 0.0
        self._noted_at = 0.0

    def start(self, own):
        """Begin, given the IP number and port of the node's own control address."""
        self.own = own
        self.limits.send = self._send
        self.limits.refresh = self._note_nodes
        self.port.register(MARK, self.take)
        self._note_nodes()
        eventlet.spawn(self._work)

    def _note_nodes(self):
        """Take which nodes there are.

        Notes
        -----
        Only while that matters: a node whose endpoints name no limits works nothing
        out, however many nodes come and go.
        """
        self._noted_at = self.runners.clock()
        self.limits.set_nodes(self.own, self.list_peers())

    def take(self, data, sender):
        """Take a datagram; one that is not understood is dropped whole."""
        try:
            message = decode_message(data)
        except ValueError as error:
            self.counters.add("limits", "invalid")
            self._complain(str(error), sender)
            return
        self.counters.add("limits", "heard")
        now = self.runners.clock()
        if now - self._noted_at > GOSSIP_INTERVAL_SECONDS:
            self._note_nodes()
        self.limits.take(message, sender, now)

    def _complain(self, detail, sender):
        now = self.runners.clock()
        if now >= self._complain_from:
            self._complain_from = now + COMPLAINT_SECONDS
            log_event(Event.GOSSIP_INVALID, detail=detail, sender="%s:%d" % sender)

    def _send(self, node, message):
        self.counters.add("limits", "told")
        try:
            self.port.send(encode_message(message), node)
        except OSError:
            # A datagram that cannot be sent is as good as lost.
            self.counters.add("limits", "failed")

    def _work(self):
        while True:
            eventlet.sleep(GOSSIP_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            if self.limits.is_starting or self.limits.count_limited():
                self._note_nodes()
            now = self.runners.clock()
            self.limits.run_gossip_round(now)
            self._ask_endpoints(now)

    def _ask_endpoints(self, now):
        """Ask endpoints that were not heard of lately whether they are still in need.

        Notes
        -----
        One node does it for all, as a limited endpoint gets few requests or none: with
        a limit of 0 no answer to a request could ever tell that the need is over.
        """
        for limits in list(self.limits.services.values()):
            if limits.limited and limits.is_in_health and limits.is_first():
                self.runners.query_load(limits.name, limits.list_stale(now))


def log_limit(change):
    """Write a line for an endpoint's limit that begins, changes or ends."""
    report = change.report
    event = Event.LIMIT_CHANGED
    if report.per_second is None:
        event = Event.LIMIT_ENDED
    elif change.before is None:
        event = Event.LIMIT_BEGUN
    log_event(
        event,
        service=change.service,
        endpoint=report.endpoint,
        born=report.born,
        per_second=report.per_second,
        before=change.before,
        source=change.source,
    )
