"""Exchanges messages on the quotas of organisations with other nodes, by UDP."""

import random

import eventlet
from eventlet import event as green_event

from hingesill_core.quotas.liveness import NodeLiveness
from hingesill_core.quotas.messages import QuotaProbeReply, QuotaReport
from hingesill_core.ratelimits.coordinators import rank_coordinators
from hingesill_node.quotas.datagrams import (
    QUOTA_PREFIX,
    decode_message,
    encode_message,
)
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["QuotaExchange"]

# Interval between rounds while quotas are exchanged, in seconds.
ROUND_INTERVAL_SECONDS = 0.1
# Interval between rounds otherwise, in seconds; they send nothing. After a longer gap,
# the node counts as suspended.
IDLE_INTERVAL_SECONDS = 0.9
# Interval between updates of the list of nodes while quotas are exchanged, in seconds.
REFRESH_INTERVAL_SECONDS = 0.5
# Minimum interval between log lines on invalid datagrams, in seconds.
LOG_INTERVAL_SECONDS = 5.0
COUNTER = "quota_datagrams"
# Notice to a node that another one was the coordinator in its place. It is sent several
# times, in rounds, as it may be lost.
REPLACED = QuotaProbeReply(2**41, False)
NOTICES = 3


class QuotaExchange:
    """Sends reports and replies on quotas to other nodes and receives theirs.

    Parameters
    ----------
    gate : QuotaGate
        Its decisions build the messages and apply the received ones.
    port : DatagramPort
        The node's port for datagrams.
    list_peers : callable
        Returns IP number and port of the control address of each other node.
    counters : Counters
        Counts messages as ``quota_datagrams``.
    """

    def __init__(self, gate, port, list_peers, counters):
        self.gate = gate
        self.quotas = gate.quotas
        self.clock = gate.clock
        self.port = port
        self.list_peers = list_peers
        self.counters = counters
        self.own = None
        self.liveness = NodeLiveness(random.Random())
        self._nodes = ()
        self._coordinators = {}
        # Unresponsive nodes in whose place this node may have been the coordinator, and
        # how often each is still told so when it is back.
        self._replaced = set()
        self._notices = {}
        self._next_log_at = 0.0
        self._refreshed_at = 0.0
        self._wake = None

    def start(self, own):
        """Start, given the IP number and port of the node's own control address.

        Notes
        -----
        The list of nodes is first read when there are organisations. Before the
        directory is known the list is empty, and a node that seems to be alone would
        use the whole quota.
        """
        self.own = own
        self.quotas.send = self.liveness.send = self._send
        self.quotas.refresh_nodes = self._refresh_nodes
        self.gate.on_activity = self._end_idle_wait
        self.gate.on_coordinator_lost = self._suspect
        self.gate.watch_organisations(self._refresh_nodes)
        self.port.register(QUOTA_PREFIX, self.handle_datagram)
        eventlet.spawn(self._run_rounds)

    def _refresh_nodes(self):
        """Update the list of nodes; without work, changes of the fleet cost nothing."""
        self._refreshed_at = self.clock()
        nodes = self.liveness.set_nodes(self.list_peers())
        if set(nodes) != set(self._nodes):
            self._nodes = nodes
            self._coordinators.clear()
        self.quotas.set_nodes(self.own, nodes, self._refreshed_at)

    def _suspect(self, node):
        """Check whether a node answers."""
        self.liveness.suspect(node, self.clock())

    def _check_coordinator(self, name):
        """Check the coordinator of an organisation whose report came to this node.

        Notes
        -----
        The sender takes this node for the coordinator. Without requests of that
        organisation, this node does not notice that the coordinator is dead.
        """
        if name not in self._coordinators:
            nodes = (self.own, *self._nodes)
            self._coordinators[name] = rank_coordinators(name, nodes)[0]
        if self._coordinators[name] != self.own:
            self._suspect(self._coordinators[name])
        else:
            self._replaced.update(self.liveness.unresponsive)

    def _send_notices(self):
        """Tell nodes that are back that another one was the coordinator meanwhile."""
        for node, count in list(self._notices.items()):
            self._replaced.discard(node)
            self._send(node, REPLACED)
            if count > 1:
                self._notices[node] = count - 1
            else:
                del self._notices[node]

    def _begin_anew(self, now):
        """Begin anew as a coordinator: another one may have granted the same rate."""
        self.quotas.set_nodes(None, (), now)
        self._refresh_nodes()

    def _refresh_old_nodes(self, now):
        """Update the list of nodes unless that was done recently."""
        if now - self._refreshed_at > REFRESH_INTERVAL_SECONDS:
            self._refresh_nodes()

    def handle_datagram(self, data, sender):
        """Apply the message of a datagram; drop an invalid one as a whole."""
        now = self.clock()
        try:
            message = decode_message(data)
        except ValueError as error:
            self.counters.add(COUNTER, "invalid")
            self._log_invalid(str(error), sender, now)
            return
        self.counters.add(COUNTER, "heard")
        if self.liveness.record_datagram(sender, now):
            if sender in self._replaced:
                self._notices[sender] = NOTICES
                self._send_notices()
            self._refresh_nodes()
        self._refresh_old_nodes(now)
        if isinstance(message, QuotaProbeReply):
            self.liveness.quorum.record_answer(message, sender, now)
            if message == REPLACED:
                self._begin_anew(now)
        elif isinstance(message, QuotaReport) and self.gate.knows(message.organisation):
            self._check_coordinator(message.organisation)
        for name in self.quotas.handle_message(message, sender, now):
            self.gate.resume(name)
        self._end_idle_wait()

    def _log_invalid(self, detail, sender, now):
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_SECONDS
            log_event(Event.GOSSIP_INVALID, detail=detail, sender="%s:%d" % sender)

    def _send(self, node, message):
        self.counters.add(COUNTER, "told")
        try:
            self.port.send(encode_message(message), node)
        except OSError:
            # Handled like a datagram that is lost on the way.
            self.counters.add(COUNTER, "failed")

    def _is_idle(self):
        """Return whether there is nothing to do in rounds of 0.1 s."""
        if self._notices or not self.liveness.is_idle:
            return False
        return self.quotas.is_idle(self.clock())

    def _end_idle_wait(self):
        """Start rounds at once if there is work after a time without."""
        if self._wake is not None and not self._is_idle():
            wake, self._wake = self._wake, None
            wake.send()

    def _run_rounds(self):
        while True:
            if self._is_idle():
                self._wake = green_event.Event()
                self._wake.wait(timeout=IDLE_INTERVAL_SECONDS)
                self._wake = None
            else:
                # Nodes that started together do not report in the same moment.
                seconds = ROUND_INTERVAL_SECONDS * random.uniform(0.8, 1.2)
                eventlet.sleep(seconds)
            now = self.clock()
            if not self._is_idle():
                self._refresh_old_nodes(now)
            self._send_notices()
            if self.liveness.run_round(now):
                self._refresh_nodes()
            self.quotas.run_round(now)
