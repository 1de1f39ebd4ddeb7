"""The quotas of all organisations at one node, and their exchange with other nodes."""

from functools import partial

from msgspec import Struct
from msgspec.structs import replace

from hingesill_core.quotas.allowance import compute_allowance, compute_extra
from hingesill_core.quotas.client import MAX_WAIT_SECONDS, QuotaClient
from hingesill_core.quotas.coordinator import UNLISTED_SECONDS, QuotaCoordinator
from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus, QuotaTolerance
from hingesill_core.quotas.membership import (
    MAX_UNLISTED,
    SETTLED_SECONDS,
    ListHistory,
    NodeContacts,
)
from hingesill_core.quotas.messages import (
    QuotaProbe,
    QuotaProbeReply,
    QuotaRelay,
    QuotaReply,
    QuotaReport,
)
from hingesill_core.quotas.nodelists import (
    compute_list_checksum,
    count_parts,
    encode_part,
    find_unlisted,
)
from hingesill_core.quotas.placement import Placement
from hingesill_core.quotas.quorum import REJECTED_SECONDS, Quorum
from hingesill_core.quotas.relaying import find_next, find_path
from hingesill_core.ratelimits.coordinators import compute_weight

__all__ = ["FleetQuotas", "MAX_WAIT_SECONDS", "QuotaChange", "QuotaUsage"]

# Gap between rounds that shows a suspension, in seconds.
SUSPENDED_SECONDS = 2.5
# Time after a report for which a coordinator keeps itself confirmed, in seconds. Nodes
# with leases report every second.
PROBED_SECONDS = 1.5
# Interval at which a new coordinator asks nodes for their leases, in seconds.
QUERY_SECONDS = 0.1
# Time after which a coordinator that left the node list allocates nothing, in seconds.
# Node lists differ for 1 to 2 s, and the confirmation of a coordinator that is cut off
# and then its own lease end within 2.2 s.
ENDED_SECONDS = 2.2
# Time for which the node list of a starting node may be incomplete, in seconds.
START_SECONDS = 1.0
# Interval at which the node list is refreshed while there is work, in seconds.
REFRESH_SECONDS = 0.5
# Time after its start for which a node may join the lists of others, in seconds. A node
# that joins a list later was out of it, and another coordinator may have granted. That
# one grants little within `ENDED_SECONDS` of its own start, which has to be longer.
JOIN_SECONDS = 2.0
# Reports that wait for the answers to probes, and the time for which they do, in
# seconds; their requests are decided after `MAX_WAIT_SECONDS` anyway.
MAX_DEFERRED = 2000
DEFERRED_SECONDS = 0.02

ADMITTED = QuotaDecision(QuotaStatus.ADMITTED)
# Until the node list is known, the share of this node isn't known either.
NOT_READY = QuotaDecision(QuotaStatus.REFUSED, 1.0)


class QuotaChange(Struct, frozen=True):
    """A change that operators have to know of.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    kind : str
        ``over-quota``, ``within-quota``, ``coordinator-lost`` or ``coordinator-found``.
    coordinator : tuple or None
        IP number and port of the organisation's coordinator.
    """

    organisation: str
    kind: str
    coordinator: tuple | None = None


class QuotaUsage(Struct, frozen=True):
    """Usage of one organisation at this node.

    Parameters
    ----------
    used, refused : int
        Requests admitted and refused since the node started.
    waiting : int
        Requests that wait for a token now.
    coordinator : tuple or None
        IP number and port of the coordinator.
    is_over : bool
        Whether the organisation is over its quota, as far as this node knows.
    """

    used: int
    refused: int
    waiting: int
    coordinator: tuple | None
    is_over: bool


class Contest(Struct):
    """Time for which most nodes may have had an earlier coordinator of an organisation.

    Attributes
    ----------
    began, seen_at : float
        When that was first and last found, in seconds of the node's clock.
    """

    began: float
    seen_at: float

    @property
    def is_certain(self):
        """Whether it lasted longer than nodes need to ask that coordinator."""
        return self.seen_at - self.began > REJECTED_SECONDS


class FleetQuotas:
    """The quotas of all organisations at one node.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    tolerance : QuotaTolerance
        How far the arrivals of all nodes together may exceed a quota.
    observe : callable
        Called with each QuotaChange.

    Attributes
    ----------
    send : callable
        Sends a message, given the address of a node and the message.
    refresh_nodes : callable
        Calls `set_nodes` with the current nodes.

    Notes
    -----
    All times are seconds of one clock of the node, which continues while the node is
    suspended. State is kept only for organisations that were used recently.

    Tokens count from `acquire`. A request that then waits for an endpoint for more than
    a few tenths of a second should give its token back, and get another one right
    before it is sent. `set_nodes` should be called first when the node list is known:
    a node that knows no other one takes the whole tolerance for its own.
    """

    def __init__(self, rng, tolerance=QuotaTolerance(), observe=lambda change: None):
        self.rng = rng
        self.tolerance = tolerance
        self.observe = observe
        self.send = lambda node, message: None
        self.refresh_nodes = lambda: None
        self.own = None
        self.nodes = frozenset()
        # Checksum of the list of nodes, by which nodes compare their lists.
        self.node_list = 0
        self.quorum = Quorum(rng)
        self._limited = {}
        self._clients = {}
        self._coordinators = {}
        self._placements = {}
        # Requests used and refused, of organisations without a client.
        self._totals = {}
        # Waiting requests of organisations that no longer have a quota.
        self._released = {}
        self._deferred = {}
        self._history = ListHistory()
        self._contacts = NodeContacts()
        self._started_at = None
        self._round_at = None
        self._rejected_at = float("-inf")
        self._contests = {}
        # Time of the last queries for leases by organisation.
        self._queried = {}
        # Nodes that are not listed and come before this one as the coordinator, by
        # organisation.
        self._earlier = {}
        # Nodes that are the coordinator without this one, by organisation.
        self._following = {}
        self._refreshed_at = float("-inf")
        # Time of the list that is being refreshed.
        self._listed_at = None

    def configure(self, organisations, now):
        """Set the organisations.

        Parameters
        ----------
        organisations : dict or None
            Organisation by name; None for a configuration without organisations.
        now : float
            Seconds of the node's clock.
        """
        before = self._limited
        self._limited = {
            name: organisation
            for name, organisation in (organisations or {}).items()
            if organisation.rate > 0
        }
        for name in [name for name in self._clients if name not in self._limited]:
            self._released[name] = len(self._clients[name].waiting)
            self._drop_client(name)
        for name in [name for name in self._coordinators if name not in self._limited]:
            del self._coordinators[name]
        for name, coordinator in self._coordinators.items():
            organisation = self._limited[name]
            if has_other_quota(organisation, before[name]):
                extra = compute_extra(organisation, self.tolerance)
                rate, burst = organisation.rate, organisation.burst
                coordinator.configure(rate, burst, extra, now)
        for name, client in self._clients.items():
            if has_other_quota(self._limited[name], before[name]):
                self._configure_client(client)

    def _configure_client(self, client):
        organisation = self._limited[client.name]
        placement = self._get_placement(client.name)
        extra = compute_extra(organisation, self.tolerance)
        allowance = compute_allowance(extra, placement.rank, len(self.nodes))
        window = self.tolerance.window_seconds
        client.configure(organisation.rate, allowance, window, len(self.nodes))
        client.node_list = self.node_list
        client.set_coordinator(placement.coordinator)

    def _drop_client(self, name):
        client = self._clients.pop(name)
        self._totals[name] = (client.used, client.refused)
        if name not in self._coordinators:
            self._drop_placement(name)

    def _drop_placement(self, name):
        self._placements.pop(name, None)
        self._contests.pop(name, None)
        self._earlier.pop(name, None)
        self._following.pop(name, None)
        self._queried.pop(name, None)

    def _get_placement(self, name):
        placement = self._placements.get(name)
        if placement is None:
            placement = Placement(name, self.own, self.nodes)
            self._placements[name] = placement
        return placement

    def set_nodes(self, own, nodes, now):
        """Set the nodes of the fleet.

        Parameters
        ----------
        own : tuple or None
            IP number and port of this node; None if other nodes cannot reach it.
        nodes : iterable of tuple
            IP numbers and ports of the other nodes.
        now : float
            Seconds of the node's clock.
        """
        is_refresh = self._listed_at is not None
        listed_at = self._listed_at if is_refresh else self._refreshed_at
        self._refreshed_at = now
        if self._started_at is None or own != self.own:
            self._started_at = self._round_at = now
            self._drop_coordinators(now)
            self._placements.clear()
            self._earlier.clear()
            self._following.clear()
        if own is None:
            self.own, self.nodes = None, frozenset()
            return
        before, self.own = self.nodes, own
        self.nodes = frozenset({own, *nodes})
        if self.nodes != before:
            self.node_list = compute_list_checksum(self.nodes)
        joined, left = self.nodes - before, before - self.nodes
        if not joined and not left and self._placements:
            return
        self.quorum.set_nodes(sorted(self.nodes - {own}))
        self._contacts.forget(left)
        forgotten_at = self._history.record_left(left, now)
        self._earlier.clear()
        self._following.clear()
        self._started_at = max(self._started_at, forgotten_at)
        self._record_joined(joined, listed_at, now)
        for placement in self._placements.values():
            placement.update(joined, left, self.nodes)
        for client in self._clients.values():
            self._configure_client(client)
        for name in list(self._coordinators):
            coordinator = self._get_placement(name).coordinator
            if coordinator != own:
                del self._coordinators[name]
                self._send_acceptance(coordinator, now)
            else:
                self._coordinators[name].record_nodes(
                    joined, self.nodes, self.node_list, now
                )

    def _refresh(self, now):
        """Have the list of nodes refreshed."""
        self._listed_at, self._refreshed_at = self._refreshed_at, now
        self.refresh_nodes()
        self._listed_at = None

    def _record_joined(self, joined, listed_at, now):
        """Record the nodes that joined; the list of a starting node is incomplete.

        Notes
        -----
        A list is not refreshed while nobody uses a quota. Nodes that are in it
        afterwards may have joined at any time since `listed_at`. Taken for nodes that
        have just joined, all coordinators of a fleet began anew at its first requests.
        """
        if now - self._started_at <= START_SECONDS:
            joined = ()
        self._history.record_joined(joined, listed_at, self.nodes, now)

    def _send_acceptance(self, node, now, probe=QuotaProbe(0)):
        """Tell a coordinator whether and since when the node list has it."""
        seconds = self._history.get_listed_seconds(node, now)
        kept, unknown = [], []
        for position, other in enumerate(probe.left):
            if other not in self.nodes:
                continue
            is_alive = self._contacts.is_alive(other, now)
            if is_alive is None:
                unknown.append(position)
            elif is_alive:
                kept.append(position)
            if self._contacts.should_ask(other, now):
                self.send(other, QuotaProbe(0))
        reply = QuotaProbeReply(
            probe.number,
            node in self.nodes,
            seconds,
            tuple(kept),
            tuple(unknown),
            self._list_unlisted(probe, now),
        )
        self.send(node, reply)

    def _list_unlisted(self, probe, now):
        """Return the nodes that the sender of a probe should know but does not.

        Notes
        -----
        A node that has just joined is not in all lists yet, and the list of a node that
        has just started may differ for that reason.
        """
        is_equal = not probe.listed or probe.node_list == self.node_list
        if is_equal or now - self._started_at <= SETTLED_SECONDS:
            return ()
        settled = self._history.list_settled(self.nodes, now)
        unlisted = find_unlisted(settled, probe.listed, probe.part, probe.parts)
        if len(unlisted) > MAX_UNLISTED:
            unlisted = self.rng.sample(unlisted, MAX_UNLISTED)
        return tuple(unlisted)

    def acquire(self, name, now):
        """Return the QuotaDecision on one arrival at an endpoint.

        Notes
        -----
        After ``WAITING``, the caller keeps the request and gets its decision from
        `resume`, in the order of the calls.
        """
        if name not in self._limited:
            return ADMITTED
        self._detect_suspension(now)
        if now - self._refreshed_at > REFRESH_SECONDS:
            self._refresh(now)
        if self.own is None:
            return NOT_READY
        client = self._get_client(name)
        return self._run(client, client.acquire, now)

    def _get_client(self, name):
        client = self._clients.get(name)
        if client is None:
            client = QuotaClient(name, self.rng, self._send_report)
            client.used, client.refused = self._totals.pop(name, (0, 0))
            self._clients[name] = client
            self._configure_client(client)
        return client

    def _run(self, client, method, now):
        """Call a method of a client and report changes of its state."""
        before = client.is_over, client.is_lost
        result = method(now)
        for kind, was, is_now in (
            (("within-quota", "over-quota"), before[0], client.is_over),
            (("coordinator-found", "coordinator-lost"), before[1], client.is_lost),
        ):
            if was != is_now:
                self.observe(QuotaChange(client.name, kind[is_now], client.coordinator))
        return result

    def resume(self, name, now):
        """Return the decisions on the requests that have waited longest.

        Returns
        -------
        list of QuotaDecision
            ``ADMITTED`` or ``REFUSED``, in the order of `acquire`. Requests without a
            decision in the list wait further.

        Notes
        -----
        To be called when `handle_message` returned the organisation's name, and every
        5 ms while requests of the organisation wait: lost reports are repeated, and a
        request is decided `MAX_WAIT_SECONDS` after its arrival at the latest. Waiting
        requests of an organisation that no longer has a quota are admitted.
        """
        released = [ADMITTED] * self._released.pop(name, 0)
        client = self._clients.get(name)
        if client is None:
            return released
        return released + self._run(client, client.resume, now)

    def give_back(self, name, now):
        """Return a token that no endpoint used."""
        client = self._clients.get(name)
        if client is not None:
            client.give_back(now)

    def _send_report(self, report, now):
        """Send a report to the coordinator, which may be this node."""
        coordinator = self._placements[report.organisation].coordinator
        if coordinator != self.own:
            if not self._may_tell(report.organisation, coordinator, now):
                report = replace(report, node_list=0)
            self.send(coordinator, report)
            return
        reply = self._handle_report(report, self.own, now)
        if reply is not None:
            self._clients[report.organisation].handle_reply(reply, now)

    def handle_message(self, message, sender, now):
        """Handle a message of another node.

        Parameters
        ----------
        message : QuotaReport, QuotaReply, QuotaProbe, QuotaProbeReply or QuotaRelay
            The decoded message.
        sender : tuple
            IP number and port of the sender.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        tuple of str
            Organisations whose waiting requests may have decisions now.
        """
        self._detect_suspension(now)
        if self.own is None:
            return ()
        if sender in self.nodes:
            self._contacts.record_heard(sender, now)
        if isinstance(message, QuotaReply):
            return self._handle_reply(message, sender, now)
        if isinstance(message, QuotaRelay):
            return self._handle_relay(message, sender, now)
        if isinstance(message, QuotaReport):
            reply = self._handle_report(message, sender, now)
            if reply is not None:
                self.send(sender, reply)
        elif isinstance(message, QuotaProbe) and message.organisation:
            self._tell_lease(message.organisation, sender, now)
        elif isinstance(message, QuotaProbe):
            self._send_acceptance(sender, now, message)
        elif isinstance(message, QuotaProbeReply):
            self._detect_rejection(now)
            if message.listed_seconds:
                self._detect_absence(now - message.listed_seconds, now)
            self._record_answer(message, sender, now)
            return self._handle_deferred(now)
        return ()

    def _handle_reply(self, reply, sender, now):
        """Apply the reply of a coordinator; return the organisations to resume."""
        client = self._clients.get(reply.organisation)
        if client is None or sender != client.coordinator:
            return ()
        self._run(client, partial(client.handle_reply, reply), now)
        return (reply.organisation,) if client.waiting else ()

    def _handle_relay(self, relay, sender, now):
        """Pass on a relayed message, or handle it if this node is the last one.

        Returns
        -------
        tuple of str
            See `handle_message`.
        """
        try:
            following = find_next(relay, sender, self.own)
        except ValueError:
            return ()
        if following is not None:
            self.send(following, relay)
            return ()
        message, origin = relay.message, relay.path[0]
        if isinstance(message, QuotaReport):
            # The lists of nodes differ, so the report tells no lease.
            report = replace(message, node_list=0)
            if origin in self.nodes:
                reply = self._handle_report(report, origin, now, is_relayed=True)
                if reply is not None:
                    self.send(sender, QuotaRelay(reply, relay.path))
        elif origin == self.own:
            return self._handle_reply(message, self.own, now)
        else:
            self.send(origin, message)
        return ()

    def _record_answer(self, reply, sender, now):
        """Record the answer to a probe, and the nodes that only other lists have."""
        outcome = self.quorum.record_answer(reply, sender, now)
        if outcome is None:
            return
        learned = outcome.kept | outcome.unknown
        if not learned or not self._history.record_learned(learned, self.nodes, now):
            return
        self._earlier.clear()
        unlisted = self._history.find_unlisted(self.nodes)
        for coordinator in self._coordinators.values():
            coordinator.record_unlisted(unlisted, now)

    def _handle_report(self, report, sender, now, is_relayed=False):
        """Return the reply to a report as the coordinator, or None.

        Notes
        -----
        A node that is not the coordinator, as most nodes have an earlier one, relays
        the reports of those that do not reach that one.
        """
        name = report.organisation
        if name not in self._limited:
            return None
        placement = self._get_placement(name)
        if placement.coordinator != self.own:
            return None
        self._detect_rejection(now)
        earlier = self._find_earlier(name)
        if not self.quorum.is_confirmed(now, earlier, name in self._coordinators):
            self._detect_contest(name, now)
            self._send_probes(now, earlier)
            if is_relayed:
                return None
            following = self._find_following(name)
            path = find_path(
                name, sender, self.own, self.quorum, earlier, following, now
            )
            if path is not None:
                self.send(path[2], QuotaRelay(report, path))
            elif len(self._deferred) < MAX_DEFERRED:
                self._deferred[name, sender] = (report, now)
            return None
        coordinator = self._coordinators.get(name)
        if coordinator is None:
            coordinator = self._create_coordinator(name, placement, now)
        self._contests.pop(name, None)
        return coordinator.handle_report(report, sender, now)

    def _find_earlier(self, name):
        """Return the absent nodes that come before this one as the coordinator."""
        earlier = self._earlier.get(name)
        if earlier is None:
            weight = self._get_placement(name).weight
            earlier = self._history.find_earlier(name, weight, self.nodes)
            self._earlier[name] = earlier
        return earlier

    def _find_following(self, name):
        """Return the node that is the coordinator without this one, or None."""
        if name not in self._following:
            others = self.nodes - {self.own}
            self._following[name] = min(
                others, key=lambda node: compute_weight(name, node), default=None
            )
        return self._following[name]

    def _tell_lease(self, name, sender, now):
        """Tell a new coordinator this node's lease, if it is the coordinator here."""
        if name not in self._limited:
            return
        if self._get_placement(name).coordinator != sender:
            return
        if self._may_tell(name, sender, now):
            self._get_client(name).report_lease(now)

    def _may_tell(self, name, coordinator, now):
        """Return whether a report may end the takeover of a coordinator early.

        Notes
        -----
        Nodes that left may be cut off and use their leases, and an earlier coordinator
        may be allocating. The coordinator may have started too late to know them.
        """
        weight = compute_weight(name, coordinator)
        return not any(
            now - at < ENDED_SECONDS
            for node, at in self._history.list_recent(now)
            if compute_weight(name, node) < weight
        ) and not self._history.find_leaseholders(name, weight, self.nodes, now)

    def _create_coordinator(self, name, placement, now):
        organisation = self._limited[name]
        begin = max(self._started_at, self._rejected_at)
        contest = self._contests.get(name)
        if contest is not None and contest.is_certain:
            begin = max(begin, contest.seen_at)
        since = placement.find_since(self._history.left, begin)
        unlisted = self._history.find_unlisted(self.nodes)
        if unlisted:
            since += UNLISTED_SECONDS
        missing = self.nodes.union(unlisted) - {self.own}
        missing |= self._history.find_leaseholders(
            name, placement.weight, self.nodes, now
        )
        coordinator = QuotaCoordinator(
            name,
            organisation.rate,
            organisation.burst,
            compute_extra(organisation, self.tolerance),
            since,
            now,
            self.own,
            missing,
            placement.find_since(self._history.left, float("-inf")) + ENDED_SECONDS,
            begin + START_SECONDS,
            self.node_list,
        )
        coordinator.has_unlisted = bool(unlisted)
        self._coordinators[name] = coordinator
        self._query_leases(coordinator, now)
        return coordinator

    def _query_leases(self, coordinator, now):
        """Ask the nodes for leases of an earlier coordinator.

        Notes
        -----
        The answers are reports, and may find that this node begins anew once more.
        """
        if now - self._queried.get(coordinator.name, float("-inf")) < QUERY_SECONDS:
            return
        nodes = coordinator.list_unknown(now)
        if nodes:
            self._queried[coordinator.name] = now
        for node in nodes:
            self.send(node, QuotaProbe(0, coordinator.name))

    def _send_probes(self, now, earlier=frozenset()):
        left = self._history.list_probed(self.nodes)
        known = self.nodes.union(left)
        parts = count_parts(known)
        encoded = {}
        for node, number in self.quorum.start_round(now, left, earlier, parts):
            part = self.quorum.pending[number].part
            if part not in encoded:
                encoded[part] = encode_part(known, part, parts)
            listed = encoded[part]
            probe = QuotaProbe(number, "", left, self.node_list, listed, part, parts)
            self.send(node, probe)

    def _detect_contest(self, name, now):
        """Begin anew as a coordinator if most nodes have an earlier one in their lists.

        Notes
        -----
        Nodes that are cut off from that one only leave it out of their lists, while it
        goes on to grant to the others.
        """
        if not self.quorum.is_confirmed(now):
            return
        contest = self._contests.get(name)
        if contest is None:
            contest = self._contests[name] = Contest(now, now)
        contest.seen_at = now
        if contest.is_certain:
            self._coordinators.pop(name, None)

    def _handle_deferred(self, now):
        """Handle the reports that waited for a confirmation of this node."""
        was_confirmed = bool(self._coordinators)
        if not self._deferred or not self.quorum.is_confirmed(
            now, was_confirmed=was_confirmed
        ):
            return ()
        deferred, self._deferred = self._deferred, {}
        resumed = []
        for (name, sender), (report, at) in deferred.items():
            if now - at > DEFERRED_SECONDS:
                continue
            reply = self._handle_report(report, sender, now)
            if reply is None:
                continue
            if sender != self.own:
                self.send(sender, reply)
                continue
            client = self._clients.get(name)
            if client is not None:
                self._run(client, partial(client.handle_reply, reply), now)
                resumed.append(name)
        return tuple(resumed)

    def _drop_coordinators(self, now):
        """Forget what this node granted, and end the leases that it gave itself.

        Notes
        -----
        A coordinator that begins anew waits for the leases of the other nodes only.
        """
        self._coordinators.clear()
        for client in self._clients.values():
            if client.coordinator == self.own:
                client.end_lease(now)

    def _detect_rejection(self, now):
        """Begin anew as a coordinator if most nodes have not accepted this node.

        Notes
        -----
        Another node may have become the coordinator, and have allocated the rate.
        """
        if self.quorum.is_rejected(now):
            self._drop_coordinators(now)
            self._rejected_at = now
            self.quorum.unconfirmed_since = now

    def _detect_absence(self, listed_at, now):
        """Begin anew as a coordinator if this node was out of another node's list.

        Notes
        -----
        A coordinator that nobody uses sends no probes, and doesn't notice that it is
        cut off and another one grants in its place. Its pool would be full.
        """
        if listed_at > max(self._started_at, self._rejected_at) + JOIN_SECONDS:
            self._drop_coordinators(now)
            self._rejected_at = listed_at

    def _detect_suspension(self, now):
        """Begin anew as a coordinator after a suspension.

        Notes
        -----
        Another node may have been the coordinator in the meantime.
        """
        if self._round_at is None or now - self._round_at <= SUSPENDED_SECONDS:
            return
        self._round_at = self._started_at = now
        self._drop_coordinators(now)
        self._deferred.clear()
        self.quorum.outcomes.clear()
        self.quorum.pending.clear()

    def run_round(self, now):
        """Renew leases and delete unused state.

        Notes
        -----
        To be called every 0.1 s unless `is_idle`, and every second otherwise: a longer
        gap between two calls is taken for a suspension of the node, after which the
        node begins anew as a coordinator.
        """
        self._detect_suspension(now)
        self._round_at = now
        if self.own is None:
            return
        if not self.is_idle(now) and now - self._refreshed_at > REFRESH_SECONDS:
            self._refresh(now)
        for name, client in list(self._clients.items()):
            self._run(client, client.run_round, now)
            if client.is_unused(now):
                self._drop_client(name)
        for name, coordinator in list(self._coordinators.items()):
            coordinator.run_round(now)
            self._query_leases(coordinator, now)
            if coordinator.is_idle(now):
                del self._coordinators[name]
                if name not in self._clients:
                    self._drop_placement(name)
        active = [
            name
            for name, coordinator in self._coordinators.items()
            if now - coordinator.reported_at <= PROBED_SECONDS
        ]
        if active:
            earlier = frozenset().union(*map(self._find_earlier, active))
            self._send_probes(now, earlier)
        self._deferred = {
            key: item
            for key, item in self._deferred.items()
            if now - item[1] <= DEFERRED_SECONDS
        }

    def is_idle(self, now):
        """Return whether there is nothing to do in rounds of 0.1 s."""
        return not self._coordinators and all(
            client.is_idle(now) for client in self._clients.values()
        )

    @property
    def usage(self):
        """QuotaUsage by name of the organisations that were used at this node.

        Organisations that were not used recently have no coordinator.
        """
        unused = {
            name: QuotaUsage(*totals, 0, None, False)
            for name, totals in self._totals.items()
        }
        return unused | {
            name: QuotaUsage(
                client.used,
                client.refused,
                len(client.waiting),
                client.coordinator,
                client.is_over,
            )
            for name, client in self._clients.items()
        }


def has_other_quota(organisation, before):
    """Return whether the quotas of two versions of an organisation differ."""
    return (organisation.rate, organisation.burst) != (before.rate, before.burst)
