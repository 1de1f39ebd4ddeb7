"""Exchanges messages on endpoints' rate limits with other nodes, by UDP."""

import random

import eventlet

from hingesill_node.ratelimits.datagrams import (
    LIMIT_PREFIX,
    decode_message,
    encode_message,
)
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["LimitExchange", "log_limit"]

# Interval between gossip rounds, in seconds. A round goes to two nodes, so limits cost
# a node at most four datagrams a second in addition to its grant requests.
GOSSIP_INTERVAL_SECONDS = 0.5
# Minimum interval between log lines on invalid datagrams, in seconds.
LOG_INTERVAL_SECONDS = 5.0


class LimitExchange:
    """Sends limits and grant requests to other nodes and receives theirs.

    Parameters
    ----------
    limits : FleetLimits
        Builds the messages and applies the received ones.
    port : DatagramPort
        The node's port for datagrams.
    list_peers : callable
        Returns IP number and port of the control address of each other node.
    runners : RunnerTable
        Sends load queries to endpoints.
    counters : Counters
        Counts messages as ``limits``.
    """

    def __init__(self, limits, port, list_peers, runners, counters):
        self.limits = limits
        self.port = port
        self.list_peers = list_peers
        self.runners = runners
        self.counters = counters
        self.own = None
        self._next_log_at = 0.0
        self._refreshed_at = 0.0

    def start(self, own):
        """Start, given the IP number and port of the node's own control address."""
        self.own = own
        self.limits.send = self._send
        self.limits.refresh_nodes = self._refresh_nodes
        self.port.register(LIMIT_PREFIX, self.handle_datagram)
        self._refresh_nodes()
        eventlet.spawn(self._run_rounds)

    def _refresh_nodes(self):
        """Update the list of nodes.

        Notes
        -----
        Repeated only while limits are exchanged: without any, changes of the fleet cost
        a node nothing.
        """
        self._refreshed_at = self.runners.clock()
        self.limits.set_nodes(self.own, self.list_peers())

    def handle_datagram(self, data, sender):
        """Apply the message of a datagram; drop an invalid one as a whole."""
        try:
            message = decode_message(data)
        except ValueError as error:
            self.counters.add("limits", "invalid")
            self._log_invalid(str(error), sender)
            return
        self.counters.add("limits", "heard")
        now = self.runners.clock()
        if now - self._refreshed_at > GOSSIP_INTERVAL_SECONDS:
            self._refresh_nodes()
        self.limits.handle_message(message, sender, now)

    def _log_invalid(self, detail, sender):
        now = self.runners.clock()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_SECONDS
            log_event(Event.GOSSIP_INVALID, detail=detail, sender="%s:%d" % sender)

    def _send(self, node, message):
        self.counters.add("limits", "told")
        try:
            self.port.send(encode_message(message), node)
        except OSError:
            # Handled like a datagram that is lost on the way.
            self.counters.add("limits", "failed")

    def _run_rounds(self):
        while True:
            eventlet.sleep(GOSSIP_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            if self.limits.is_starting or self.limits.count_limited():
                self._refresh_nodes()
            now = self.runners.clock()
            self.limits.run_gossip_round(now)
            self._query_endpoints(now)

    def _query_endpoints(self, now):
        """Query limited endpoints whose last report is old.

        Notes
        -----
        A limited endpoint gets few requests or none: with a limit of 0, no answer to a
        request can report the end of the limit. One node queries on behalf of all; the
        others do so only if a report of an end reached them in uncertain order.
        """
        for limits in list(self.limits.services.values()):
            if limits.limited and limits.is_in_health:
                self.runners.query_load(limits.name, limits.take_queried(now))


def log_limit(change):
    """Log that an endpoint's limit has begun, changed or ended."""
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
