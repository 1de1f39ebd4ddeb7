"""Forwarding of requests through other nodes while no endpoint can be reached."""

import random
import time

import eventlet

from hingesill_core.forwarding.peers import PeerTable
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.retries.decision import find_denial
from hingesill_core.routing.messages import Refusal, SendStatus
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import ConnectFailed, Pool
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.headers import (
    FORWARD_DROPS,
    HOP_BY_HOP,
    ForwardHeaders,
    filter_headers,
)
from hingesill_node.datapath.messages import Answer
from hingesill_node.datapath.refusals import LIMIT_REASONS
from hingesill_node.datapath.requesttimeline import StepKind
from hingesill_node.datapath.transport import (
    TRANSPORT_ERRORS,
    BodyFailed,
    write_request,
)
from hingesill_node.datapath.waits import WaitTimeout, wait_any

__all__ = ["Forwarder", "Hop"]

# Connections to one other node.
MAX_CONNECTIONS = 64
# Far above the round trip to a running node.
CONNECT_TIMEOUT_SECONDS = 0.1
READ_TIMEOUT_SECONDS = 30.0
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Time that the other node's own refusal of a late request needs to arrive in time.
RETURN_MARGIN_SECONDS = 0.003
# Share of a request's time after which a node that has answered none of this node's
# requests meanwhile counts as silent.
SILENT_SHARE = 0.5
# Interval of closing connections that are not used any more.
PRUNE_INTERVAL_SECONDS = 6.0
# Reasons for which another node refuses what a third one may serve.
NEXT_REASONS = frozenset(
    {
        RefusalReason.ENDPOINTS_UNREACHABLE.value,
        RefusalReason.NO_CONFIGURATION.value,
        RefusalReason.NO_ROUTE.value,
        RefusalReason.NODE_STOPPING.value,
        RefusalReason.UNKNOWN_NODE.value,
        *(reason.value for reason in LIMIT_REASONS),
    }
)


class Forwarder:
    """Forwards requests to other nodes, one hop at most.

    Parameters
    ----------
    name : str
        This node, as it is registered.
    data_centre : str
        This node's data centre.
    get_nodes : callable
        Returns the NodeRecord of each registered node by name.
    counters : Counters
        Counts ``forwards`` by service and result.
    wire : OwnFormat
        The HTTP dialect.
    clock : callable
        Monotonic seconds; the requests' deadlines are on this clock.
    """

    def __init__(
        self, name, data_centre, get_nodes, counters, wire, clock=time.monotonic
    ):
        self.name = name
        self.peers = PeerTable(name, data_centre, get_nodes, random.Random())
        self.counters = counters
        self.wire = wire
        self.drops = HOP_BY_HOP | FORWARD_DROPS | wire.request_drops
        self.clock = clock
        self._pools = {}
        self._is_pruning = False

    def forward(self, exchange):
        """Have another node serve a request.

        Parameters
        ----------
        exchange : Exchange
            The exchange of the request, with no send in flight.

        Returns
        -------
        Answer, Refusal or None
            None if no other node serves the request now; the ticket tells whether one
            may have run it.
        """
        tried = set()
        while True:
            now = self.clock()
            if now + RETURN_MARGIN_SECONDS >= exchange.ticket.deadline:
                return None
            node = self.peers.choose(exchange.service, tried, now)
            if node is None:
                return None
            tried.add(node.name)
            result = self._try(exchange, node)
            if result is not None:
                return result
            if not exchange.ticket.replayable:
                return None

    def _try(self, exchange, node):
        """Forward a request to one node.

        Returns
        -------
        Answer, Refusal or None
            None if the request may go to another node.
        """
        hop = Hop(self, exchange, node, self._get_pool(node.forward_address))
        self.peers.begin(node, self.clock())
        try:
            result = hop.run()
        except BaseException:
            hop.close()
            raise
        if not isinstance(result, Answer) or result.body is not None:
            hop.close()
        self.counters.add("forwards", exchange.service, hop.status)
        return result

    def _get_pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = Pool(
                address,
                MAX_CONNECTIONS,
                self.clock,
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
            )
        if not self._is_pruning:
            self._is_pruning = True
            eventlet.spawn_after(PRUNE_INTERVAL_SECONDS, self._prune)
        return pool

    def _prune(self):
        """Close idle connections that are too old, until no connection is left."""
        for address, pool in list(self._pools.items()):
            pool.close_expired()
            if not pool.open_count:
                del self._pools[address]
        self._is_pruning = bool(self._pools)
        if self._is_pruning:
            eventlet.spawn_after(PRUNE_INTERVAL_SECONDS, self._prune)


class Hop:
    """One request at one other node.

    Parameters
    ----------
    forwarder : Forwarder
        Knows the other nodes.
    exchange : Exchange
        The exchange of the request.
    node : NodeRecord
        The other node.
    pool : Pool
        Connections to it.

    Attributes
    ----------
    status : str
        How it ended, for the log and the counter.
    """

    def __init__(self, forwarder, exchange, node, pool):
        self.forwarder = forwarder
        self.exchange = exchange
        self.node = node
        self.pool = pool
        self.status = ""
        self.response = None
        self._connection = None
        self._is_closed = False
        self._token = None
        self._may_have_run = exchange.ticket.exposed

    def run(self):
        """Send the request and read the head of the response; see `Forwarder._try`."""
        exchange, ticket = self.exchange, self.exchange.ticket
        exchange.add_step(StepKind.FORWARDED, self.node.name)
        try:
            self._connection = self.pool.acquire(exchange.request.request_id)
        except ConnectFailed:
            return self._end_unsent("connect-failed")
        request = exchange.request
        if not exchange.has_token():
            self._end("quota-exceeded")
            return exchange.refuse_by_quota(SendStatus.LOST)
        _, self._token = request.tokens.use(ticket.organisation)
        # A part of the request may arrive and run even if the write fails.
        ticket.exposed = True
        try:
            self._write()
        except BodyFailed:
            self._end("cancelled")
            return Refusal(request.body.failure_reason, Outcome.UNKNOWN)
        except OSError:
            return self._handle_loss(SendStatus.LOST)
        status = self._wait()
        if status is SendStatus.CANCELLED:
            return Refusal(RefusalReason.CALLER_GONE, Outcome.UNKNOWN)
        if status is not None:
            return self._handle_loss(status)
        try:
            return self._read()
        except WaitTimeout:
            return self._handle_loss(SendStatus.LATE)
        except OSError:
            return self._handle_loss(SendStatus.LOST)

    def _write(self):
        request, wire = self.exchange.request, self.forwarder.wire
        remaining = request.ticket.deadline - self.forwarder.clock()
        # The caller's key is among them; the other node checks it itself.
        passed = filter_headers(request.received_headers, self.forwarder.drops)
        added = [
            *wire.build_hop_headers(
                request.request_id, remaining - RETURN_MARGIN_SECONDS
            ),
            (ForwardHeaders.NODE, self.forwarder.name),
            (ForwardHeaders.CALLER, request.caller),
            (ForwardHeaders.SERVICE, self.exchange.service),
            (ForwardHeaders.SENDS, str(request.ticket.sends)),
        ]
        if self._token is not None:
            added.append((ForwardHeaders.TOKEN, "1"))
        is_too_late = self.exchange.sends.is_too_late
        write_request(
            self._connection, request, HeaderFields(passed), added, is_too_late
        )

    def _wait(self):
        """Wait for the response.

        Returns
        -------
        SendStatus or None
            None if the response has begun; LATE if the time has passed, LOST if the
            node is silent and another one can be asked, CANCELLED if the caller of a
            repeatable request has left.
        """
        exchange, ticket = self.exchange, self.exchange.ticket
        clock = self.forwarder.clock
        began = clock()
        until = check_at = ticket.deadline
        if ticket.route.repeatable and ticket.replayable:
            check_at = began + SILENT_SHARE * (until - began)
        while True:
            sockets = [self._connection.sock]
            if exchange.caller_watched:
                sockets.append(exchange.request.caller_socket)
            ready = wait_any(sockets, check_at - clock())
            if ready is self._connection.sock:
                return None
            if ready is None and check_at >= until:
                return SendStatus.LATE
            if ready is None:
                check_at = until
                is_silent = self.forwarder.peers.get_heard_at(self.node) < began
                if is_silent and self._has_alternative():
                    return SendStatus.LOST
            elif self._has_caller_left():
                self._end("caller-gone")
                return SendStatus.CANCELLED

    def _has_alternative(self):
        """Return whether the request may be sent again, through another node.

        Notes
        -----
        Otherwise a request that an endpoint may be running would be given up.
        """
        exchange, ticket = self.exchange, self.exchange.ticket
        dispatcher, now = exchange.runner.dispatcher, self.forwarder.clock()
        p10 = dispatcher.get_latency(ticket.route).p10
        return (
            ticket.sends + 1 < ticket.route.most_sends
            and find_denial(ticket, SendStatus.LOST, now, p10) is None
            and dispatcher.retries.can_spend()
            and self.forwarder.peers.has_other(self.node, exchange.service, now)
        )

    def _has_caller_left(self):
        """Return whether the caller left and the request may be cancelled."""
        exchange = self.exchange
        exchange.caller_watched = False
        if not is_caller_gone(exchange.request.caller_socket):
            return False
        if not exchange.ticket.route.repeatable:
            return False
        exchange.add_step(StepKind.CALLER_GONE)
        return True

    def _read(self):
        connection, request = self._connection, self.exchange.request
        connection.set_time_limit(READ_TIMEOUT_SECONDS)
        wire = self.forwarder.wire
        self.response = response = connection.read_head(
            lambda received: wire.is_own_answer(received, request.request_id),
            request.ticket.deadline - self.forwarder.clock(),
        )
        self.forwarder.peers.record_heard(self.node, self.forwarder.clock())
        body = response.read_short(MAX_BUFFERED_BODY_BYTES)
        refusal = response.get(ForwardHeaders.RESULT)
        if refusal is not None:
            return self._handle_refusal(refusal, body)
        self.status = "answered"
        self.forwarder.peers.record_served(
            self.node, self.exchange.service, self.forwarder.clock()
        )
        return Answer(response.status, response.reason, response.headers, body, self)

    def _handle_refusal(self, text, body):
        """Return what follows a refusal by the other node itself."""
        outcome, _, reason = text.partition(" ")
        if outcome != Outcome.NOT_RUN.value:
            if reason == RefusalReason.ENDPOINTS_UNREACHABLE.value:
                # The other node lost its endpoints after it had sent the request.
                self._record_unable(reason)
                return self._handle_loss(SendStatus.LATE)
            self._end(f"refused {text}")
            if body is None:
                return self._refuse_as_lost()
            return self._pass_on(body, Outcome.UNKNOWN)
        self.exchange.ticket.exposed = self._may_have_run
        self.exchange.request.tokens.recover(self._token)
        if reason in NEXT_REASONS:
            self._record_unable(reason)
            self._end(reason)
            return None
        self._end(f"refused {text}")
        if self._may_have_run or body is None:
            return self._refuse_as_lost()
        return self._pass_on(body, Outcome.NOT_RUN)

    def _pass_on(self, body, outcome):
        """Return the other node's refusal as the response to the caller."""
        response = self.response
        return Answer(
            response.status, response.reason, response.headers, body, refusal=outcome
        )

    def _record_unable(self, reason):
        """Remember that the other node cannot serve the service now."""
        peers, now = self.forwarder.peers, self.forwarder.clock()
        if reason == RefusalReason.ENDPOINTS_UNREACHABLE.value:
            service = self.exchange.service
            peers.record_unreachable(self.node, service, now)
            named = self.response.get(ForwardHeaders.NAMED)
            peers.record_named(named.split(",") if named else [], service, now)
        elif reason != RefusalReason.NO_ROUTE.value:
            peers.record_failure(self.node, now)

    def _end_unsent(self, status):
        """End a hop whose request was not written."""
        self.forwarder.peers.record_failure(self.node, self.forwarder.clock())
        self._end(status)

    def _handle_loss(self, status):
        """Return what follows a hop without a response after the request was written.

        Notes
        -----
        The other node may have sent the request to an endpoint, so that only a
        repeatable one goes to another node, as a retry.
        """
        exchange, forwarder = self.exchange, self.forwarder
        now = forwarder.clock()
        if status is SendStatus.LOST:
            forwarder.peers.record_failure(self.node, now)
        self._end(status.value)
        ticket = exchange.ticket
        ticket.sends += 1
        dispatcher = exchange.runner.dispatcher
        p10 = dispatcher.get_latency(ticket.route).p10
        if find_denial(ticket, status, now, p10) is None and dispatcher.retries.spend():
            return None
        return self._refuse_as_lost(status)

    def _refuse_as_lost(self, status=SendStatus.LOST):
        """Return the fault of an earlier send, or a Refusal with unknown outcome."""
        if self.exchange.fault_answer is not None:
            return self.exchange.fault_answer
        reason = RefusalReason.ANSWER_LOST
        if status is SendStatus.LATE:
            reason = RefusalReason.ANSWER_LATE
        return Refusal(reason, Outcome.UNKNOWN)

    def _end(self, status):
        self.status = status
        self.exchange.add_step(StepKind.RETURNED, self.node.name, status)

    def stream(self):
        """Yield the rest of a long body; see `Exchange.stream`."""
        try:
            yield from self.response.read_body()
        except TRANSPORT_ERRORS as error:
            raise ConnectionAbortedError(str(error)) from error
        finally:
            self.close()

    def close(self):
        """Return or close the connection; further calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        self.forwarder.peers.end(self.node)
        connection, self._connection = self._connection, None
        if connection is None:
            return
        response = self.response
        if response is not None and response.complete and response.can_keep:
            self.pool.release(connection, response.idle_seconds)
        else:
            self.pool.discard(connection)
