"""A node of a played load: a real dispatcher, and what green threads would do."""

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
    """One try of a request at one node."""

    request: Request
    ticket: Ticket
    live: list = field(default_factory=list)
    sends: int = 0
    is_open: bool = True


class SimulatedNode:
    """A node: its dispatcher, and what its green threads would do."""

    def __init__(self, play, number):
        load = play.load
        self.play = play
        self.data_centre = f"dc{number % DATA_CENTRES}"
        fleet = FleetView(self.data_centre, load.nodes, 2 * load.nodes, number)
        rng = random.Random(play.rng.random())
        self.fleet_limits = None
        if play.names_limits:
            self.fleet_limits = FleetLimits(random.Random(number))
        limits = self.fleet_limits and self.fleet_limits.get(play.service.name)
        self.dispatcher = Dispatcher(
            play.service, fleet, rng, QueryBudget(), limits=limits
        )
        self.elapsed = ElapsedTimeEstimator()
        self.attempts = {}
        self.is_ticking = False
        self.is_alive = True

    @property
    def slots(self):
        """What it knows of the endpoints' slots."""
        return self.dispatcher.binding.slots

    def submit(self, request):
        """Take a caller's try."""
        now = self.play.now
        route = request.kind.route
        left = request.deadline - now
        elapsed = self.elapsed.estimate(route, left, now)
        deadline = now + min(left, route.timeout)
        ticket = Ticket(route, now, deadline, elapsed=elapsed)
        attempt = self.attempts[ticket] = Attempt(request, ticket)
        self.play.after(deadline - now, self._expire, attempt)
        self._act(attempt, self.dispatcher.submit(ticket, now))

    def _act(self, attempt, decision):
        if isinstance(decision, LoadQuery):
            self._ask(decision)
        elif isinstance(decision, Refusal):
            self._refuse(attempt, decision)
        else:
            self._start(attempt, decision)

    def _ask(self, ask):
        for identity in ask.endpoints:
            endpoint = self.play.endpoints[identity]
            way = self.play.get_way(self, endpoint)
            self.play.after(way + PROBE_SECONDS, self._look_at, endpoint, way)
        if not self.is_ticking:
            self.is_ticking = True
            self.play.after(ROUND_SECONDS, self._tick)

    def _look_at(self, endpoint, way):
        reply = LoadReply(
            endpoint.identity,
            SendStatus.ANSWERED,
            endpoint.report(),
            endpoint.get_warm_in(),
            endpoint.is_unhealthy(),
            limit=endpoint.name_limit(),
            sent_at=self.play.now - way - PROBE_SECONDS,
        )
        self.play.after(way, self._take, reply)

    def _take(self, reply):
        if not self.is_alive:
            return
        send = self.dispatcher.binding.take(reply, self.play.now)
        if send is not None:
            self._start(self.attempts[send.ticket], send)

    def _tick(self):
        """Give up on requests in time, and ask again for those that wait."""
        if not self.is_alive:
            return
        now = self.play.now
        binding = self.dispatcher.binding
        for ticket, decision in binding.expire(now):
            attempt = self.attempts[ticket]
            if attempt.live:
                self.dispatcher.hedging.end(ticket)
            else:
                self._act(attempt, decision)
        ask = binding.next_query(now)
        self.is_ticking = bool(binding.waiting)
        if ask is not None:
            self.is_ticking = True
            self._ask(ask)
        if self.is_ticking:
            self.play.after(ROUND_SECONDS, self._tick)

    def _start(self, attempt, send):
        endpoint = self.play.endpoints[send.endpoint]
        attempt.live.append(send)
        attempt.sends += 1
        self.play.note_send(is_extra=attempt.sends > 1)
        self.play.after(self.play.get_way(self, endpoint), endpoint.arrive, self, send)
        if attempt.ticket.route.repeatable:
            overdue = self.dispatcher.hedging.get_overdue_time(send)
            self.play.after(overdue, self._hedge, attempt, send)

    def _hedge(self, attempt, send):
        """Try a second send while the last one has no answer."""
        if not self.is_alive or not attempt.is_open or attempt.live[-1:] != [send]:
            return
        hedging = self.dispatcher.hedging
        now = self.play.now
        decision = hedging.start(attempt.ticket, now)
        if isinstance(decision, LoadQuery):
            self._ask(decision)
        elif isinstance(decision, Send):
            self._start(attempt, decision)
        again = hedging.get_next_try(attempt.ticket, now)
        if again < attempt.ticket.deadline:
            self.play.after(again - now, self._hedge, attempt, send)

    def end(self, send, result):
        """Take the end of a send."""
        attempt = self.attempts.get(send.ticket)
        if not self.is_alive or attempt is None or send not in attempt.live:
            return
        attempt.live.remove(send)
        now = self.play.now
        named = self.play.endpoints[send.endpoint].name_limit()
        self.dispatcher.record_limit(send, named, now)
        self.dispatcher.settle(send, result, now)
        if result.end is SendStatus.ANSWERED:
            self._close(attempt)
            self.play.answer(attempt.request)
            self._take(LoadReply(send.endpoint, SendStatus.ANSWERED, result.report))
        elif not attempt.live:
            self.dispatcher.binding.leave(attempt.ticket)
            decision, _ = self.dispatcher.retry(attempt.ticket, result.end, now)
            self._act(attempt, decision)

    def _refuse(self, attempt, refusal):
        self.elapsed.record_unserved(self.play.now)
        self._close(attempt)
        self.play.refuse(attempt, refusal)

    def _expire(self, attempt):
        """End a try whose time is over."""
        if self.is_alive and attempt.is_open:
            self.elapsed.record_unserved(self.play.now)
            self._close(attempt, SendStatus.LATE)
            self.play.refuse(attempt, None)

    def _close(self, attempt, end=SendStatus.CANCELLED):
        """Cancel what is still under way."""
        attempt.is_open = False
        self.dispatcher.binding.leave(attempt.ticket)
        for send in attempt.live:
            self.play.endpoints[send.endpoint].cancel(send)
            self.dispatcher.settle(send, SendResult(end), self.play.now)
        attempt.live.clear()
        self.attempts.pop(attempt.ticket, None)

    def stop(self):
        """End at once, as without power."""
        self.is_alive = False
        for attempt in list(self.attempts.values()):
            for send in attempt.live:
                self.play.endpoints[send.endpoint].cancel(send)
            self.play.lose(attempt.request)
