"""Execution of load queries and delivery of replies to waiting requests."""

import eventlet
from eventlet import event as green_event
from msgspec.structs import replace

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.loadqueries import LoadQuery, LoadReply
from hingesill_core.routing.messages import Refusal, SendStatus
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import ConnectFailed, PoolFull
from hingesill_node.datapath.messages import QueryResult
from hingesill_node.datapath.transport import (
    FIRST_FAULT_STATUS,
    TRANSPORT_ERRORS,
    is_timeout,
)

__all__ = ["LoadQueryClient"]

# Many times the round trip to another data centre: a later reply means that the
# endpoint or the network path to it has a fault.
REPLY_TIMEOUT_SECONDS = 0.25
# Longer than a reply takes, and shorter than a request occupies a slot of a busy
# endpoint.
QUERY_INTERVAL_SECONDS = 0.015
CALLER_CHECK_INTERVAL_SECONDS = 0.05
MAX_BODY_BYTES = 64 * 1024


class LoadQueryClient:
    """Queries endpoints' loads for the waiting requests of one service.

    Parameters
    ----------
    runner : ServiceRunner
        The runner of the service.
    wire : OwnFormat
        The header format.
    counters : Counters
        Counts ``probes`` and ``probes_left_out``.
    """

    def __init__(self, runner, wire, counters):
        self.runner = runner
        self.wire = wire
        self.counters = counters
        self.binding = runner.dispatcher.binding
        self.binding.selection.is_connected = runner.has_idle_connection
        self._events = {}
        self._host = ""
        self._query_loop = None

    def wait(self, request, query):
        """Send load queries and wait; return the QueryResult.

        Parameters
        ----------
        request : CallerRequest
            The waiting request.
        query : LoadQuery
            The request's first load queries.
        """
        ticket = request.ticket
        event = self._events[ticket] = green_event.Event()
        self._host = request.host
        self._send_queries(query)
        if self._query_loop is None:
            self._query_loop = eventlet.spawn(self._repeat_queries)
        while True:
            result = event.wait(timeout=CALLER_CHECK_INTERVAL_SECONDS)
            if result is not None:
                return result
            if is_caller_gone(request.caller_socket) and not event.ready():
                self._events.pop(ticket, None)
                self.binding.remove(ticket)
                outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
                return QueryResult(Refusal(RefusalReason.CALLER_GONE, outcome))

    def offer(self, endpoint, report):
        """Assign the slot that an answer has just freed to a waiting request.

        Notes
        -----
        The answer's report is as fresh as a load reply and needs no query. Under
        load, most requests get their endpoint this way.
        """
        if not self._events:
            return
        reply = LoadReply(endpoint, SendStatus.ANSWERED, report)
        send = self.binding.handle_reply(reply, self.runner.clock())
        if send is not None:
            self._deliver(send.ticket, QueryResult(send))

    def query_load(self, endpoints):
        """Query the load of endpoints for no request, within the query budget."""
        count = self.binding.budget.acquire(len(endpoints), self.runner.clock())
        self._send_queries(LoadQuery(tuple(endpoints[:count])))

    def cancel(self, ticket):
        """End a request's wait; its green thread gets a result without a decision."""
        self.binding.remove(ticket)
        self._deliver(ticket, QueryResult(None))

    def _repeat_queries(self):
        """Repeat queries and refuse requests whose time is up, while requests wait."""
        while self._events:
            eventlet.sleep(QUERY_INTERVAL_SECONDS)
            now = self.runner.clock()
            for ticket, decision in self.binding.expire(now):
                self._deliver(ticket, QueryResult(decision))
            query = self.binding.next_query(now)
            if query is not None:
                self._send_queries(query)
        self._query_loop = None

    def _deliver(self, ticket, result):
        """Wake a waiting request; return whether it was still waiting."""
        event = self._events.pop(ticket, None)
        if event is not None:
            event.send(result)
        return event is not None

    def _send_queries(self, query):
        for endpoint in query.endpoints:
            pool = self.runner.find_pool(endpoint)
            if pool is not None:
                eventlet.spawn_n(self._query_endpoint, endpoint, pool)

    def _query_endpoint(self, endpoint, pool):
        connection = None
        response = None
        reachability = self.runner.dispatcher.reachability
        reachability.record_contact(endpoint, self.runner.clock())
        try:
            connection = pool.acquire()
            if not self.binding.may_query(endpoint, pool.born, self.runner.clock()):
                pool.release(connection)
                return
            reply, response = self._call(endpoint, connection)
        except PoolFull:
            reachability.record_left_out(endpoint)
            self.counters.add("probes_left_out", self.runner.dispatcher.service.name)
            return
        except (ConnectFailed, *TRANSPORT_ERRORS) as error:
            timed_out = is_timeout(error)
            reachability.record_failure(endpoint, timed_out)
            is_connect = isinstance(error, ConnectFailed)
            status = SendStatus.CONNECT_FAILED if is_connect else SendStatus.LOST
            reply = LoadReply(endpoint, status)
        if connection is not None and response is None:
            pool.discard(connection)
            connection = None
        reply = replace(reply, born=pool.born)
        self._handle_reply(reply, pool, connection, response)

    def _call(self, endpoint, connection):
        """Return the reply, and the response if the connection can be kept."""
        service = self.runner.dispatcher.service
        self.counters.add("probes", service.name)
        connection.set_time_limit(REPLY_TIMEOUT_SECONDS)
        connection.collect()
        connection.begin("GET", service.probes.path)
        connection.putheader("Host", self._host or connection.address)
        connection.endheaders()
        sent_at = self.runner.clock()
        connection.flush()
        response = connection.read_head(self.wire.is_load_reply, REPLY_TIMEOUT_SECONDS)
        self.runner.dispatcher.reachability.record_heard(self.runner.clock())
        response.read_short(MAX_BODY_BYTES)
        if not self.wire.is_answer_of(response, endpoint):
            return self._read_refusal(endpoint, response), None
        in_flight = self.runner.count_in_flight(endpoint)
        signals = self.wire.read_signals(response, self.runner.clock(), in_flight)
        # An endpoint whose reply has no warm-up time is warm.
        warm_in = signals.warm_in or 0.0
        is_unhealthy = response.status >= FIRST_FAULT_STATUS
        reply = LoadReply(
            endpoint,
            SendStatus.ANSWERED,
            signals.report,
            warm_in,
            is_unhealthy,
            limit=signals.limit,
            backoff=signals.backoff,
            leaving=signals.leaving,
            sent_at=sent_at,
        )
        can_keep = response.can_keep and self.wire.may_reuse_after(response)
        return reply, response if can_keep else None

    def _read_refusal(self, endpoint, response):
        """Return the LoadReply of an answer that does not name the endpoint.

        Notes
        -----
        A load query may be refused like a request, by any server that listens on the
        address.
        """
        signals = self.wire.read_signals(response, self.runner.clock(), 0)
        if not (self.wire.is_unsigned(response) and signals.backoff.seconds):
            return LoadReply(endpoint, SendStatus.LOST)
        return LoadReply(endpoint, SendStatus.REFUSED, backoff=signals.backoff)

    def _handle_reply(self, reply, pool, connection, response):
        """Assign the reply and its connection to a waiting request."""
        send = self.binding.handle_reply(reply, self.runner.clock())
        if send is not None and self._deliver(
            send.ticket, QueryResult(send, connection)
        ):
            return
        if connection is not None:
            pool.release(connection, response.idle_seconds)
