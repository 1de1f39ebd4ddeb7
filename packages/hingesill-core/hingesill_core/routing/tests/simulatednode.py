"""A simulated node: a real dispatcher, driven in place of green threads."""

import random

from msgspec import Struct, field

from hingesill_core.limits.elapsedtime import ElapsedTimeEstimator
from hingesill_core.limits.querybudget import QueryBudget
from hingesill_core.ratelimits.fleet import FleetLimits
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.loadqueries import LoadQuery, LoadReply
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_core.routing.tests.simulatedendpoint import DATA_CENTRES
from hingesill_core.routing.tests.workloads import Request

__all__ = ["SimulatedNode"]

PROBE_SECONDS = 0.001
ROUND_SECONDS = 0.015


class Attempt(Struct, eq=False):
    """One attempt of a request at one node."""

    request: Request
    ticket: Ticket
    in_flight: list = field(default_factory=list)
    sends: int = 0
    is_open: bool = True


class SimulatedNode:
    """A node: its dispatcher, and the calls that its green threads would make."""

    def __init__(self, simulation, number):
        workload = simulation.workload
        self.simulation = simulation
        self.data_centre = f"dc{number % DATA_CENTRES}"
        fleet = FleetView(self.data_centre, workload.nodes, 2 * workload.nodes, number)
        rng = random.Random(simulation.rng.random())
        self.fleet_limits = None
        if simulation.has_rate_limits:
            self.fleet_limits = FleetLimits(random.Random(number))
        limits = self.fleet_limits and self.fleet_limits.get(simulation.service.name)
        self.dispatcher = Dispatcher(
            simulation.service, fleet, rng, QueryBudget(), limits=limits
        )
        self.elapsed = ElapsedTimeEstimator()
        self.attempts = {}
        self.is_ticking = False
        self.is_alive = True

    @property
    def slots(self):
        """The node's ConcurrencyModel."""
        return self.dispatcher.binding.concurrency_model

    def submit(self, request):
        """Accept an attempt of a caller."""
        now = self.simulation.now
        route = request.kind.route
        left = request.deadline - now
        elapsed = self.elapsed.estimate(route, left, now)
        deadline = now + min(left, route.timeout)
        ticket = Ticket(route, now, deadline, elapsed=elapsed)
        ticket.organisation = request.organisation
        attempt = self.attempts[ticket] = Attempt(request, ticket)
        self.simulation.schedule(deadline - now, self._expire, attempt)
        self._apply(attempt, self.dispatcher.submit(ticket, now))

    def _apply(self, attempt, decision):
        if isinstance(decision, LoadQuery):
            self._query(decision)
        elif isinstance(decision, Refusal):
            self._refuse(attempt, decision)
        else:
            self._start(attempt, decision)

    def _query(self, query):
        for identity in query.endpoints:
            endpoint = self.simulation.endpoints[identity]
            delay = self.simulation.get_network_delay(self, endpoint)
            self.simulation.schedule(
                delay + PROBE_SECONDS, self._query_endpoint, endpoint, delay
            )
        if not self.is_ticking:
            self.is_ticking = True
            self.simulation.schedule(ROUND_SECONDS, self._tick)

    def _query_endpoint(self, endpoint, delay):
        reply = LoadReply(
            endpoint.identity,
            SendStatus.ANSWERED,
            endpoint.report(),
            endpoint.get_warm_in(),
            endpoint.is_unhealthy(),
            limit=endpoint.get_reported_limit(),
            sent_at=self.simulation.now - delay - PROBE_SECONDS,
        )
        self.simulation.schedule(delay, self._handle_reply, reply)

    def _handle_reply(self, reply):
        if not self.is_alive:
            return
        send = self.dispatcher.binding.handle_reply(reply, self.simulation.now)
        if send is not None:
            self._start(self.attempts[send.ticket], send)

    def _tick(self):
        """Expire queued requests, and query again for the others."""
        if not self.is_alive:
            return
        now = self.simulation.now
        binding = self.dispatcher.binding
        for ticket, decision in binding.expire(now):
            attempt = self.attempts[ticket]
            if attempt.in_flight:
                self.dispatcher.hedging.cancel(ticket)
            else:
                self._apply(attempt, decision)
        query = binding.next_query(now)
        self.is_ticking = bool(binding.waiting)
        if query is not None:
            self.is_ticking = True
            self._query(query)
        if self.is_ticking:
            self.simulation.schedule(ROUND_SECONDS, self._tick)

    def _start(self, attempt, send):
        endpoint = self.simulation.endpoints[send.endpoint]
        attempt.in_flight.append(send)
        attempt.sends += 1
        self.simulation.record_send(is_extra=attempt.sends > 1)
        self.simulation.schedule(
            self.simulation.get_network_delay(self, endpoint),
            endpoint.arrive,
            self,
            send,
        )
        if attempt.ticket.route.repeatable:
            overdue = self.dispatcher.hedging.get_hedge_delay(send)
            self.simulation.schedule(overdue, self._hedge, attempt, send)

    def _hedge(self, attempt, send):
        """Try a hedge while the last send has no answer."""
        if not self.is_alive or not attempt.is_open or attempt.in_flight[-1:] != [send]:
            return
        hedging = self.dispatcher.hedging
        now = self.simulation.now
        decision = hedging.start(attempt.ticket, now)
        if isinstance(decision, LoadQuery):
            self._query(decision)
        elif isinstance(decision, Send):
            self._start(attempt, decision)
        next_try = hedging.get_next_attempt_time(attempt.ticket, now)
        if next_try < attempt.ticket.deadline:
            self.simulation.schedule(next_try - now, self._hedge, attempt, send)

    def end(self, send, result):
        """Handle the end of a send."""
        attempt = self.attempts.get(send.ticket)
        if not self.is_alive or attempt is None or send not in attempt.in_flight:
            return
        attempt.in_flight.remove(send)
        now = self.simulation.now
        limit = self.simulation.endpoints[send.endpoint].get_reported_limit()
        self.dispatcher.record_limit(send, limit, now)
        self.dispatcher.complete_send(send, result, now)
        if result.end is SendStatus.ANSWERED:
            self._close(attempt)
            self.simulation.answer(attempt.request)
            self._handle_reply(
                LoadReply(send.endpoint, SendStatus.ANSWERED, result.report)
            )
        elif not attempt.in_flight:
            self.dispatcher.binding.remove(attempt.ticket)
            decision, _ = self.dispatcher.retry(attempt.ticket, result.end, now)
            self._apply(attempt, decision)

    def _refuse(self, attempt, refusal):
        self.elapsed.record_unserved(self.simulation.now)
        self._close(attempt)
        self.simulation.refuse(attempt, refusal)

    def _expire(self, attempt):
        """End an attempt at its deadline."""
        if self.is_alive and attempt.is_open:
            self.elapsed.record_unserved(self.simulation.now)
            self._close(attempt, SendStatus.LATE)
            self.simulation.refuse(attempt, None)

    def _close(self, attempt, end=SendStatus.CANCELLED):
        """Cancel the sends in flight."""
        attempt.is_open = False
        self.dispatcher.binding.remove(attempt.ticket)
        for send in attempt.in_flight:
            self.simulation.endpoints[send.endpoint].cancel(send)
            self.dispatcher.complete_send(send, SendResult(end), self.simulation.now)
        attempt.in_flight.clear()
        self.attempts.pop(attempt.ticket, None)

    def stop(self):
        """Stop at once, as on a power failure."""
        self.is_alive = False
        for attempt in list(self.attempts.values()):
            for send in attempt.in_flight:
                self.simulation.endpoints[send.endpoint].cancel(send)
            self.simulation.handle_node_loss(attempt.request)
