"""The limits of all services at one node, and their exchange with other nodes."""

from hingesill_core.crashes.gossip import Gossip
from hingesill_core.ratelimits.coordinators import rank_coordinators
from hingesill_core.ratelimits.grants import GRANT_REQUEST_INTERVAL_SECONDS
from hingesill_core.ratelimits.grantscheduler import GrantResult
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

# Records in a datagram, which has to fit into 1,400 bytes.
MAX_LIMITS_PER_DATAGRAM = 16
# Grant requests a second that a coordinator accepts; with more requesting nodes the
# interval of grant requests is longer.
MAX_GRANT_REQUESTS_PER_SECOND = 400.0
# Window in which requesting nodes are counted, in seconds.
REQUESTER_WINDOW_SECONDS = 4.0
# Transit time of a datagram, in seconds.
MAX_TRANSIT_SECONDS = 0.1
# Nodes that a starting node queries in each round, and number of rounds: some of these
# nodes may have just started as well, and datagrams may be lost.
QUERIED_NODES = 2
QUERY_ROUNDS = 3
# Limits in the reply to a query, which takes several datagrams. The starting node
# learns the others from the endpoints' responses.
MAX_LIMITS_PER_QUERY = 4 * MAX_LIMITS_PER_DATAGRAM


class FleetLimits:
    """The limits of all services at one node.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    observe : callable
        Called with each LimitChange.
    is_declared : callable
        Returns whether a service of the given name is declared.

    Attributes
    ----------
    send : callable
        Sends a message, given the address of a node and the message.
    refresh_nodes : callable
        Calls `set_nodes` with the current nodes.

    Notes
    -----
    All times are seconds of one clock of the node, which continues while the node is
    suspended.
    """

    def __init__(self, rng, observe=lambda change: None, is_declared=lambda name: True):
        self.rng = rng
        self.observe = observe
        self.is_declared = is_declared
        self.send = lambda node, message: None
        self.refresh_nodes = lambda: None
        self.services = {}
        self.own = None
        self.nodes = ()
        self.gossip = Gossip(rng, MAX_LIMITS_PER_DATAGRAM)
        self._requesters = {}
        self._queries_left = QUERY_ROUNDS

    @property
    def is_starting(self):
        """Whether this node still has to query other nodes for limits."""
        return self._queries_left > 0

    def get(self, name):
        """Return the ServiceLimits of a service, which are created on first use."""
        limits = self.services.get(name)
        if limits is None:
            limits = ServiceLimits(name, self.rng, self._handle_change)
            limits.grant_client.send_request = lambda pending: self._send_request(
                limits, pending
            )
            self.services[name] = limits
            self._assign_coordinators(limits)
        return limits

    def set_nodes(self, own, nodes):
        """Set the nodes of the fleet.

        Parameters
        ----------
        own : tuple
            IP number and port of this node.
        nodes : iterable of tuple
            IP numbers and ports of the other nodes.
        """
        nodes = tuple(sorted({own, *nodes}))
        if (own, nodes) == (self.own, self.nodes):
            return
        self.own, self.nodes = own, nodes
        for limits in self.services.values():
            self._assign_coordinators(limits)

    def _assign_coordinators(self, limits):
        limits.own = self.own
        limits.coordinators = rank_coordinators(limits.name, self.nodes)

    def keep(self, names):
        """Delete services that are no longer declared."""
        for name in [name for name in self.services if name not in names]:
            del self.services[name]

    def count_limited(self):
        """Return the number of endpoints that have a limit now."""
        return sum(len(limits.limited) for limits in self.services.values())

    def _handle_change(self, change):
        if change.before is None:
            self.refresh_nodes()
        if change.source != GONE:
            report = change.report
            key = (change.service, report.endpoint, report.born)
            self.gossip.add(key, max(2, len(self.nodes)))
        self.observe(change)

    def _send_request(self, limits, pending):
        """Send a grant request with limits that the coordinator may not know."""
        now = limits.grant_client.pace.requested_at
        reports = limits.table.list_limited()
        chosen = self.rng.sample(reports, min(MAX_LIMITS_PER_DATAGRAM, len(reports)))
        records = tuple(build_record(limits, report, now) for report in chosen)
        excluded = tuple(limits.list_unusable(now)[:MAX_LIMITS_PER_DATAGRAM])
        request = GrantRequest(
            pending.number,
            limits.name,
            pending.wanted,
            pending.horizon,
            records,
            excluded,
        )
        self.send(pending.node, request)

    def run_gossip_round(self, now):
        """Send changes, query other nodes after the start, delete expired reports."""
        for limits in self.services.values():
            limits.table.expire(now)
        others = [node for node in self.nodes if node != self.own]
        if not others:
            return
        if self.is_starting:
            self._query(others)
        if self.gossip:
            self._send_updates(others, now)

    def _query(self, others):
        """Query some nodes for all known limits.

        Notes
        -----
        The gossip about a limit ends once all nodes have it. A node that starts later
        would learn of the limit only by sending requests to the endpoint, as would all
        nodes that start in the same moment.
        """
        self._queries_left -= 1
        for node in self.rng.sample(others, min(QUERIED_NODES, len(others))):
            self.send(node, LimitQuery())

    def _send_updates(self, others, now):
        chosen, keys = self.gossip.start_round(others)
        records = tuple(self._build_records(keys, now))
        if not records:
            return
        for node in chosen:
            self.send(node, LimitUpdate(records))

    def _build_records(self, keys, now):
        """Yield the current records of the limits that changed."""
        for service, endpoint, born in keys:
            limits = self.services.get(service)
            report = limits.table.get(endpoint) if limits is not None else None
            if report is not None and report.born == born:
                yield build_record(limits, report, now)

    def handle_message(self, message, sender, now):
        """Handle a message of another node.

        Parameters
        ----------
        message : LimitUpdate, LimitQuery, GrantRequest or GrantReply
            The decoded message.
        sender : tuple
            IP number and port of the sender.
        now : float
            Seconds of the node's clock.
        """
        for record in message.records:
            self._apply_record(record, now)
        if isinstance(message, LimitQuery):
            self._answer_query(sender, now)
        elif isinstance(message, GrantRequest):
            if self.is_declared(message.service):
                self.send(sender, self._grant(message, sender, now))
        elif isinstance(message, GrantReply):
            result = GrantResult(message.runs, message.retry_after, message.wait)
            limits = self.services.get(message.service)
            if limits is not None:
                limits.grant_client.handle_reply(
                    message.number, result, message.pause, now
                )

    def _answer_query(self, node, now):
        """Send the known limits to a starting node."""
        reported = [
            build_record(limits, report, now)
            for limits in self.services.values()
            for report in limits.table.list_limited()
        ]
        records = self.rng.sample(reported, min(MAX_LIMITS_PER_QUERY, len(reported)))
        for begin in range(0, len(records), MAX_LIMITS_PER_DATAGRAM):
            self.send(
                node,
                LimitUpdate(tuple(records[begin : begin + MAX_LIMITS_PER_DATAGRAM])),
            )

    def _apply_record(self, record, now):
        if not self.is_declared(record.service):
            return
        latest = now - record.age
        earliest = latest - record.span - MAX_TRANSIT_SECONDS
        report = ReportedLimit(
            record.endpoint, record.born, record.per_second, earliest, latest
        )
        limits = self.get(record.service)
        # A node that received the limit does not query the endpoint itself.
        limits.is_in_health = limits.is_in_health or record.is_in_health
        if limits.apply_report(report, "node"):
            return
        if report.per_second is None:
            # All rounds are used for the end of a limit, as responses don't tell it to
            # the nodes that gossip misses: they send the endpoint few requests.
            limits.record_uncertain_end(report)
        elif limits.has_same(report):
            self.gossip.record_duplicate((record.service, record.endpoint, record.born))

    def _grant(self, request, sender, now):
        """Return the GrantReply to a grant request."""
        limits = self.get(request.service)
        pause = self._compute_pause(sender, now)
        result = GrantResult((), pause, pause)
        if limits.own in limits.coordinators:
            result = limits.grant(
                request.wanted, request.horizon, now, request.excluded
            )
        return GrantReply(
            request.number,
            request.service,
            result.runs,
            result.retry_after,
            result.wait,
            pause,
            tuple(self._list_corrections(request, limits, now)),
        )

    def _list_corrections(self, request, limits, now):
        """Yield records of limits that differ from those in a grant request."""
        for record in request.records:
            report = limits.table.get(record.endpoint)
            if report is not None and report.per_second != record.per_second:
                yield build_record(limits, report, now)

    def _compute_pause(self, sender, now):
        """Return the seconds until the sender of a request should send another one."""
        self._requesters.pop(sender, None)
        self._requesters[sender] = now
        while now - next(iter(self._requesters.values())) > REQUESTER_WINDOW_SECONDS:
            del self._requesters[next(iter(self._requesters))]
        return max(
            GRANT_REQUEST_INTERVAL_SECONDS,
            len(self._requesters) / MAX_GRANT_REQUESTS_PER_SECOND,
        )


def build_record(limits, report, now):
    """Return the LimitRecord of a report in the ServiceLimits."""
    return LimitRecord(
        limits.name,
        report.endpoint,
        report.born,
        report.per_second,
        now - report.latest,
        report.latest - report.earliest,
        limits.is_in_health,
    )
