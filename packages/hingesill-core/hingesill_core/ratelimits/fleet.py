"""One node's part in keeping the limits of all services' endpoints."""

from hingesill_core.crashes.gossip import Gossip
from hingesill_core.ratelimits.coordinators import rank_coordinators
from hingesill_core.ratelimits.grants import PAUSE_SECONDS
from hingesill_core.ratelimits.grantscheduler import Granted
from hingesill_core.ratelimits.messages import (
    GrantReply,
    GrantRequest,
    LimitQuery,
    LimitRecord,
    LimitUpdate,
)
from hingesill_core.ratelimits.reportedlimits import ReportedLimit
from hingesill_core.ratelimits.service import GONE, ServiceLimits

__all__ = ["FleetLimits", "MAX_LIMITS_PER_DATAGRAM"]

# Most reports in a datagram, so that it fits into 1,400 bytes.
MAX_LIMITS_PER_DATAGRAM = 16
# Grant requests a second that a coordinator accepts; with more, nodes pause longer.
ASKS_A_SECOND = 400.0
# Window in which nodes that requested grants are counted, in seconds.
ASKED_SECONDS = 4.0
# Longest transit of a datagram, in seconds.
TRANSIT_SECONDS = 0.1
# Nodes that a starting node queries in each round, and rounds: some of them may have
# just started as well, and datagrams may be lost.
QUERIED_NODES = 2
QUERY_ROUNDS = 3
# Most limits in the reply to a query, in datagrams of `MAX_LIMITS_PER_DATAGRAM`. Others
# are learnt from the endpoints' own answers.
MOST_ANSWERED = 4 * MAX_LIMITS_PER_DATAGRAM


class FleetLimits:
    """The limits of all services at one node, and what it says to others of them.

    Parameters
    ----------
    rng : random.Random
        For all choices.
    observe : callable
        Called with each LimitChange.
    knows : callable
        Tells whether a service is declared, by its name.

    Attributes
    ----------
    send : callable
        Sends a message, given the address of a node and the message.
    refresh : callable
        Calls `set_nodes` with the nodes that there are now.

    Notes
    -----
    All times are seconds of one clock of the node, which goes on while it is suspended.
    """

    def __init__(self, rng, observe=lambda change: None, knows=lambda name: True):
        self.rng = rng
        self.observe = observe
        self.knows = knows
        self.send = lambda node, message: None
        self.refresh = lambda: None
        self.services = {}
        self.own = None
        self.nodes = ()
        self.gossip = Gossip(rng, MAX_LIMITS_PER_DATAGRAM)
        self._asked = {}
        self._queries_left = QUERY_ROUNDS

    @property
    def is_starting(self):
        """Whether other nodes have still to be asked which limits there are."""
        return self._queries_left > 0

    def get(self, name):
        """Return the ServiceLimits of a service, made on first use."""
        limits = self.services.get(name)
        if limits is None:
            limits = ServiceLimits(name, self.rng, self._note_change)
            limits.grant_client.ask_node = lambda ask: self._send_request(limits, ask)
            self.services[name] = limits
            self._place(limits)
        return limits

    def set_nodes(self, own, nodes):
        """Take which nodes there are.

        Parameters
        ----------
        own : tuple
            IP number and port of this node.
        nodes : iterable of tuple
            Of the others.
        """
        nodes = tuple(sorted({own, *nodes}))
        if (own, nodes) == (self.own, self.nodes):
            return
        self.own, self.nodes = own, nodes
        for limits in self.services.values():
            self._place(limits)

    def _place(self, limits):
        limits.own = self.own
        limits.coordinators = rank_coordinators(limits.name, self.nodes)

    def keep(self, names):
        """Forget services that are no longer declared."""
        for name in [name for name in self.services if name not in names]:
            del self.services[name]

    def count_limited(self):
        """Return the endpoints that name a limit now."""
        return sum(len(limits.limited) for limits in self.services.values())

    def _note_change(self, change):
        if change.before is None:
            self.refresh()
        if change.source != GONE:
            report = change.report
            key = (change.service, report.endpoint, report.born)
            self.gossip.add(key, max(2, len(self.nodes)))
        self.observe(change)

    def _send_request(self, limits, ask):
        """Ask a coordinator, and tell it of limits that it may not know."""
        now = limits.grant_client.pace.asked_at
        words = limits.book.list_limited()
        chosen = self.rng.sample(words, min(MAX_LIMITS_PER_DATAGRAM, len(words)))
        records = tuple(build_told(limits, report, now) for report in chosen)
        excluded = tuple(limits.list_avoided(now)[:MAX_LIMITS_PER_DATAGRAM])
        request = GrantRequest(
            ask.number, limits.name, ask.wanted, ask.horizon, records, excluded
        )
        self.send(ask.node, request)

    def run_gossip_round(self, now):
        """Pass news on, ask as a node that starts, and forget what is old."""
        for limits in self.services.values():
            limits.book.forget(now)
        others = [node for node in self.nodes if node != self.own]
        if not others:
            return
        if self.is_starting:
            self._query(others)
        if self.gossip:
            self._pass_on(others, now)

    def _query(self, others):
        """Ask some nodes which limits there are.

        Notes
        -----
        News of a limit ends once all nodes have it. One that started since would learn
        of it by sending to the endpoint, as all that start at the same moment would.
        """
        self._queries_left -= 1
        for node in self.rng.sample(others, min(QUERIED_NODES, len(others))):
            self.send(node, LimitQuery())

    def _pass_on(self, others, now):
        chosen, keys = self.gossip.start_round(others)
        records = tuple(self._build_news(keys, now))
        if not records:
            return
        for node in chosen:
            self.send(node, LimitUpdate(records))

    def _build_news(self, keys, now):
        """Yield what is known now of what changed."""
        for service, endpoint, born in keys:
            limits = self.services.get(service)
            report = limits.book.get(endpoint) if limits is not None else None
            if report is not None and report.born == born:
                yield build_told(limits, report, now)

    def take(self, message, sender, now):
        """Take a message of another node.

        Parameters
        ----------
        message : LimitUpdate, LimitQuery, GrantRequest or GrantReply
            As it was decoded.
        sender : tuple
            IP number and port.
        now : float
            The time.
        """
        for record in message.records:
            self._hear(record, now)
        if isinstance(message, LimitQuery):
            self._answer(sender, now)
        elif isinstance(message, GrantRequest):
            if self.knows(message.service):
                self.send(sender, self._grant(message, sender, now))
        elif isinstance(message, GrantReply):
            granted = Granted(message.runs, message.retry_after, message.wait)
            limits = self.services.get(message.service)
            if limits is not None:
                limits.grant_client.take_reply(
                    message.number, granted, message.pause, now
                )

    def _answer(self, node, now):
        """Tell a node that starts which endpoints name limits."""
        known = [
            build_told(limits, report, now)
            for limits in self.services.values()
            for report in limits.book.list_limited()
        ]
        records = self.rng.sample(known, min(MOST_ANSWERED, len(known)))
        for begin in range(0, len(records), MAX_LIMITS_PER_DATAGRAM):
            self.send(
                node,
                LimitUpdate(tuple(records[begin : begin + MAX_LIMITS_PER_DATAGRAM])),
            )

    def _hear(self, record, now):
        if not self.knows(record.service):
            return
        latest = now - record.age
        earliest = latest - record.span - TRANSIT_SECONDS
        report = ReportedLimit(
            record.endpoint, record.born, record.per_second, earliest, latest
        )
        limits = self.get(record.service)
        # A node that received the limit does not query the endpoint itself.
        limits.is_in_health = limits.is_in_health or record.is_in_health
        if not limits.take(report, "node") and limits.has_same(report):
            self.gossip.record_duplicate((record.service, record.endpoint, record.born))

    def _grant(self, request, sender, now):
        """Return the GrantReply to a node that asks."""
        limits = self.get(request.service)
        pause = self._count_pause(sender, now)
        granted = Granted((), pause, pause)
        if limits.own in limits.coordinators:
            granted = limits.grant(
                request.wanted, request.horizon, now, request.excluded
            )
        return GrantReply(
            request.number,
            request.service,
            granted.runs,
            granted.retry_after,
            granted.wait,
            pause,
            tuple(self._list_better(request, limits, now)),
        )

    def _list_better(self, request, limits, now):
        """Yield what this node knows better than one that asks."""
        for record in request.records:
            report = limits.book.get(record.endpoint)
            if report is not None and report.per_second != record.per_second:
                yield build_told(limits, report, now)

    def _count_pause(self, sender, now):
        """Return how long a node that asks should wait until it asks again."""
        self._asked.pop(sender, None)
        self._asked[sender] = now
        while now - next(iter(self._asked.values())) > ASKED_SECONDS:
            del self._asked[next(iter(self._asked))]
        return max(PAUSE_SECONDS, len(self._asked) / ASKS_A_SECOND)


def build_told(limits, report, now):
    """Return the LimitRecord of a word that the ServiceLimits hold."""
    return LimitRecord(
        limits.name,
        report.endpoint,
        report.born,
        report.per_second,
        now - report.latest,
        report.latest - report.earliest,
        limits.is_in_health,
    )
