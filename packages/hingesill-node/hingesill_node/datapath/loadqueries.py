"""Carrying out questions, and handing each good reply to a waiting request."""

import eventlet
from eventlet import event as green_event
from msgspec.structs import replace

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.loadqueries import LoadQuery, LoadReply
from hingesill_core.routing.messages import Refusal, SendStatus
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import ConnectFailed, PoolFull
from hingesill_node.datapath.messages import Found
from hingesill_node.datapath.transport import FIRST_FAULT_STATUS, TRANSPORT_ERRORS

__all__ = ["WaitingRoom"]

# A reply that takes longer says that the endpoint, or the way to it, is in trouble:
# many times a reply from another data centre.
REPLY_SECONDS = 0.25
# Between two rounds of questions: longer than a reply takes, shorter than a slot of a
# busy endpoint stays taken.
ROUND_SECONDS = 0.015
CALLER_CHECK_SECONDS = 0.05
LONGEST_BODY = 64 * 1024


class WaitingRoom:
    """The requests of one service that wait for a reply that will do.

    Parameters
    ----------
    runner : ServiceRunner
        The service.
    wire : OwnFormat
        The dialect.
    counters : Counters
        Gets ``probes``.
    """

    def __init__(self, runner, wire, counters):
        self.runner = runner
        self.wire = wire
        self.counters = counters
        self.binding = runner.dispatcher.binding
        self.binding.selection.is_connected = runner.has_idle_connection
        self._events = {}
        self._host = ""
        self._keeper = None

    def wait(self, request, ask):
        """Carry out an Ask and wait; return what was Found.

        Parameters
        ----------
        request : CallerRequest
            Its ticket waits.
        ask : Ask
            The first questions for it.
        """
        ticket = request.ticket
        event = self._events[ticket] = green_event.Event()
        self._host = request.host
        self._ask(ask)
        if self._keeper is None:
            self._keeper = eventlet.spawn(self._keep)
        while True:
            found = event.wait(timeout=CALLER_CHECK_SECONDS)
            if found is not None:
                return found
            if is_caller_gone(request.caller_socket) and not event.ready():
                self._events.pop(ticket, None)
                self.binding.leave(ticket)
                outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
                return Found(Refusal(RefusalReason.CALLER_GONE, outcome))

    def offer(self, endpoint, report):
        """Give a waiting request the slot that an answer has just freed.

        Notes
        -----
        The answer's report is as fresh as a reply and costs no question. Under
        load that is how most requests find their endpoint.
        """
        if not self._events:
            return
        reply = LoadReply(endpoint, SendStatus.ANSWERED, report)
        send = self.binding.take(reply, self.runner.clock())
        if send is not None:
            self._hand(send.ticket, Found(send))

    def query_load(self, endpoints):
        """Ask endpoints, as the budget allows, to learn what they tell."""
        count = self.binding.budget.take(len(endpoints), self.runner.clock())
        self._ask(LoadQuery(tuple(endpoints[:count])))

    def withdraw(self, ticket):
        """Let a request wait no longer; its green thread goes on with nothing."""
        self.binding.leave(ticket)
        self._hand(ticket, Found(None))

    def _keep(self):
        """Ask again and again, and give up in time, while requests wait."""
        while self._events:
            eventlet.sleep(ROUND_SECONDS)
            now = self.runner.clock()
            for ticket, decision in self.binding.expire(now):
                self._hand(ticket, Found(decision))
            ask = self.binding.next_query(now)
            if ask is not None:
                self._ask(ask)
        self._keeper = None

    def _hand(self, ticket, found):
        """Wake a waiting request; tell whether it was still there."""
        event = self._events.pop(ticket, None)
        if event is not None:
            event.send(found)
        return event is not None

    def _ask(self, ask):
        for endpoint in ask.endpoints:
            pool = self.runner.find_pool(endpoint)
            if pool is not None:
                eventlet.spawn_n(self._ask_one, endpoint, pool)

    def _ask_one(self, endpoint, pool):
        connection = None
        response = None
        try:
            connection = pool.take()
            if not self.binding.may_query(endpoint, pool.born, self.runner.clock()):
                pool.give_back(connection)
                return
            reply, response = self._call(endpoint, connection)
        except PoolFull:
            self.counters.add("probes_left_out", self.runner.dispatcher.service.name)
            return
        except ConnectFailed:
            reply = LoadReply(endpoint, SendStatus.CONNECT_FAILED)
        except TRANSPORT_ERRORS:
            reply = LoadReply(endpoint, SendStatus.LOST)
        if connection is not None and response is None:
            pool.discard(connection)
            connection = None
        reply = replace(reply, born=pool.born)
        self._take(reply, pool, connection, response)

    def _call(self, endpoint, connection):
        """Return the reply, and the response if the connection can be kept."""
        service = self.runner.dispatcher.service
        self.counters.add("probes", service.name)
        connection.set_time_limit(REPLY_SECONDS)
        connection.collect()
        connection.begin("GET", service.probes.path)
        connection.putheader("Host", self._host or connection.address)
        connection.endheaders()
        sent_at = self.runner.clock()
        connection.flush()
        response = connection.read_head()
        response.read_short(LONGEST_BODY)
        if not self.wire.is_answer_of(response, endpoint):
            return self._read_refusal(endpoint, response), None
        own = self.runner.count_in_flight(endpoint)
        signals = self.wire.read_signals(response, self.runner.clock(), own)
        # An endpoint that is asked for its state and tells nothing of warmth is warm.
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
        return reply, response if response.can_keep else None

    def _read_refusal(self, endpoint, response):
        """Return the Reply of an answer that does not name the endpoint.

        Notes
        -----
        A question may be refused as a request is, by whoever has the address.
        """
        signals = self.wire.read_signals(response, self.runner.clock(), 0)
        if not (self.wire.is_unsigned(response) and signals.backoff.seconds):
            return LoadReply(endpoint, SendStatus.LOST)
        return LoadReply(endpoint, SendStatus.REFUSED, backoff=signals.backoff)

    def _take(self, reply, pool, connection, response):
        """Give the reply, and the connection that brought it, to a request."""
        send = self.binding.take(reply, self.runner.clock())
        if send is not None and self._hand(send.ticket, Found(send, connection)):
            return
        if connection is not None:
            pool.give_back(connection, response.idle_seconds)
