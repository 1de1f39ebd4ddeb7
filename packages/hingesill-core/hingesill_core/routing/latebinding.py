"""The requests of one service that wait for an endpoint with a free slot."""

from msgspec.structs import replace

from hingesill_core.limits.dequeueinterval import DequeueInterval
from hingesill_core.limits.querybudget import QueryBudget
from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.concurrencymodel import ConcurrencyModel
from hingesill_core.routing.limitedwaiting import LimitedWaiting
from hingesill_core.routing.loadqueries import (
    LoadQuery,
    QueryRules,
    Stage,
    is_good_enough,
)
from hingesill_core.routing.messages import SendStatus
from hingesill_core.routing.selection import EndpointSelection, can_get_work, takes_work
from hingesill_core.routing.unhealthyreports import UnhealthyReports
from hingesill_core.routing.waiting import Waiting
from hingesill_core.routing.warmup import WarmUpLimit

__all__ = ["LateBinding"]

ROOM_FOR_WAITING = 2


class LateBinding:
    """Decides whom to ask and which waiting request a reply is good for.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's; its endpoints' states are read and written.
    pool : QueryBudget
        Shared by the services of this node whose budgets are pooled.
    curves : LatencyCurves or None
        Of all services of this node.
    rules : QueryRules
        How to ask.
    """

    def __init__(self, dispatcher, pool, curves=None, rules=None):
        self.dispatcher = dispatcher
        self.pool = pool
        self.rules = rules or QueryRules()
        self.budget = QueryBudget()
        self.slots = ConcurrencyModel(curves)
        self.selection = EndpointSelection(dispatcher, self.rules)
        self.dequeue_interval = DequeueInterval()
        self.warm_up = WarmUpLimit()
        self.unhealthy_reports = UnhealthyReports()
        self.has_reports = True
        self.waiting = {}
        self.limits = dispatcher.limits
        self.limited = LimitedWaiting(self, dispatcher.limited_requests)
        self._asked_late_at = float("-inf")

    def configure(self, service, fleet):
        """Put a declaration and a view of the fleet in force."""
        if service.probes.pooled:
            self.budget = self.pool
        self.budget.set_part(service.name, service.probes, fleet.nodes)
        self.slots.usual_times.keep(service.routes)
        self.warm_up.configure(service, fleet)

    def enter(self, ticket, now):
        """Let a request wait.

        Returns
        -------
        Ask, Refusal or None
            Whom to ask for it; None if this service's endpoints tell no load or
            nothing may be asked.
        """
        if not self.has_reports or self.budget.rate <= 0:
            return None
        refusal = self._find_opening_refusal(ticket, now)
        if refusal is not None:
            return refusal
        if len(self.waiting) >= self.dispatcher.service.queue_limit:
            return self.dispatcher.refuse(ticket, RefusalReason.QUEUE_FULL, now)
        if not self._count_waiting():
            self.dequeue_interval.begin(now)
        waiting = self.waiting[ticket] = self._build_waiting(ticket, now)
        if self.limits.limited and not self.limited.admit(ticket, now):
            self.waiting.pop(ticket)
            return self.dispatcher.refuse(ticket, RefusalReason.ENDPOINTS_LIMITED, now)
        if waiting.get_stage(now, self.rules) is Stage.LATE:
            return LoadQuery(())
        return LoadQuery(
            self._choose(self.rules.at_once, now, (ticket.route,), is_first=True)
        )

    def _build_waiting(self, ticket, now):
        pace = self.dispatcher.get_latency(ticket.route)
        target = ticket.route.target or self.rules.default_target
        longest = self.rules.longest_wait * (ticket.deadline - ticket.arrived)
        return Waiting(
            ticket,
            since=now,
            late_at=ticket.arrived + self.rules.patience * target - ticket.elapsed,
            until=min(ticket.deadline - pace.p10, ticket.arrived + longest),
        )

    def enter_hedge(self, ticket, now):
        """Let a request that is under way wait for a second endpoint.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        Ask or None
            Whom to ask; None while requests wait that have no endpoint at all,
            or if nothing may be asked.
        """
        if not self.has_reports or self.waiting:
            return None
        endpoints = self._choose(self.rules.at_once, now, (ticket.route,))
        if not endpoints:
            return None
        until = now + self.rules.hedge_wait
        self.waiting[ticket] = Waiting(ticket, now, until, until, hedge=True)
        return LoadQuery(endpoints)

    def estimate_wait(self, now):
        """Return the seconds that a request which came now would wait."""
        return self.dequeue_interval.estimate(self._count_waiting(), now)

    def _count_waiting(self):
        """Return how many requests wait that have no endpoint at all."""
        return sum(not waiting.hedge for waiting in self.waiting.values())

    def leave(self, ticket):
        """Forget a request that no longer waits."""
        self.waiting.pop(ticket, None)

    def next_query(self, now):
        """Return the next Ask for all waiting requests together, or None."""
        if not self.waiting:
            return None
        if self.limits.limited:
            self.limited.want_grants(now)
        routes = {waiting.ticket.route for waiting in self.waiting.values()}
        endpoints = self._choose(self._count_wanted(now), now, routes)
        return LoadQuery(endpoints) if endpoints else None

    def _count_wanted(self, now):
        """Return how many endpoints are worth asking in this round.

        Notes
        -----
        Late requests take what is left over: for them alone the node asks seldom, so
        that questions remain for requests that can still be in time.
        """
        stages = [item.get_stage(now, self.rules) for item in self.waiting.values()]
        timely = sum(stage is not Stage.LATE for stage in stages)
        if timely:
            wanted = timely // ROOM_FOR_WAITING + self.rules.at_once
            return min(wanted, self.rules.most_at_once)
        if now - self._asked_late_at < self.rules.late_pause:
            return 0
        self._asked_late_at = now
        return 1

    def _choose(self, wanted, now, routes, is_first=False):
        """Return the identities of endpoints to ask, as the budget allows."""
        candidates = self.selection.list_candidates(now, routes)
        count = self.budget.take(min(wanted, len(candidates)), now)
        self.warm_up.record_queries(count, now)
        chosen = self.selection.sample(candidates, count, now, is_first)
        for state in chosen:
            state.queried_at = now
            if state.reach.is_trial_due(now):
                state.reach.trial_in_flight = True
        return tuple(state.identity for state in chosen)

    def may_query(self, identity, born, now):
        """Tell whether a question to an endpoint's life may still be written."""
        state = self.dispatcher.states.get(identity)
        return state is not None and state.born == born and takes_work(state, now)

    def take(self, reply, now):
        """Take a reply; return the Send that it is good for, or None."""
        state = self.record_reply(reply, now)
        if state is None or reply.report is None or not can_get_work(state, now):
            return None
        if reply.is_unhealthy and self.unhealthy_reports.are_believed():
            return None
        running = reply.report.running
        is_cold = self.warm_up.is_cold(state, now)
        if not self.warm_up.allows(state, running, now, self.dispatcher.rng):
            return None
        fitting = [
            waiting
            for waiting in self.waiting.values()
            if self._fits(waiting, state, now, is_cold)
        ]
        if not fitting:
            return None
        first = min(fitting, key=lambda waiting: waiting.get_order(now))
        self.waiting.pop(first.ticket)
        if not first.hedge:
            self.dequeue_interval.note(now)
        send = self.dispatcher.start_send(first.ticket, state, now, first.hedge)
        send.occupied = 0 if is_cold else running + 1
        return send

    def _fits(self, waiting, state, now, is_cold):
        """Tell whether a request may go to an endpoint that just replied.

        Notes
        -----
        A cold endpoint works slower: it is for requests that found no other.
        """
        ticket = waiting.ticket
        if not state.is_home_of(ticket.route):
            return False
        if state.identity in ticket.tried and len(self.dispatcher.states) > 1:
            return False
        if not state.health.is_open() and not state.accepts_trial(ticket, now):
            return False
        stage = waiting.get_stage(now, self.rules)
        if is_cold and stage is Stage.SELECTIVE:
            return False
        most = self.selection.get_most_slowness()
        usable = self.slots.get_concurrency_limit(state.report.slots, now)
        return is_good_enough(state.report, stage, usable, most)

    def record_reply(self, reply, now):
        """Learn from a reply; return the endpoint's state, or None if it is gone.

        Notes
        -----
        How slow endpoints are counts against the lower quarter of replies: if
        nearly all are slow, requests must not wait for one that is not. A median
        would not do, as those that are slow stay free and are asked most.
        """
        state = self.dispatcher.states.get(reply.endpoint)
        born = reply.born
        if born is None and state is not None:
            born = state.born
        if born is not None:
            self.dispatcher.service_availability.note(
                reply.endpoint, born, reply.backoff, reply.leaving, now
            )
        if state is None or born != state.born:
            return None
        state.reach.note(reply.end, now, may_eject=True)
        if reply.end is SendStatus.ANSWERED:
            if reply.is_unhealthy is not None:
                self.unhealthy_reports.note(reply.is_unhealthy)
            if reply.limit is not None and reply.sent_at is not None:
                limit, sent_at = reply.limit, reply.sent_at
                self.limits.note(
                    reply.endpoint, state.born, limit, sent_at, now, is_health=True
                )
            if reply.warm_in is not None:
                state.record_warm_up(reply.warm_in, now)
            self.has_reports = reply.report is not None
            if reply.report is not None:
                state.report = complete_report(reply.report, state)
                self.selection.slowness.note(reply.report.slowness)
        return state

    def record_answer(self, send, seconds, now):
        """Learn from an answer how much taken slots slow work down."""
        state = self.dispatcher.find_state(send)
        if send.occupied and state is not None:
            route = send.ticket.route
            self.slots.record_answer(route, seconds, send.occupied, state.slots, now)

    def expire(self, now):
        """Yield (ticket, decision) for each request that waits no longer."""
        if self.limits.limited:
            for ticket in self.limited.list_surplus(now):
                self.waiting.pop(ticket)
                reason = RefusalReason.ENDPOINTS_LIMITED
                yield ticket, self.dispatcher.refuse(ticket, reason, now)
        for waiting in list(self.waiting.values()):
            ticket = waiting.ticket
            if not self.has_reports and not waiting.hedge:
                self.waiting.pop(ticket)
                yield ticket, self.dispatcher.dispatch_unasked(ticket, now)
                continue
            refusal = self._find_final(waiting, now)
            if refusal is not None:
                self.waiting.pop(ticket)
                yield ticket, refusal

    def _find_final(self, waiting, now):
        """Return the Refusal of a request that waits in vain, or None."""
        ticket = waiting.ticket
        if now >= waiting.until:
            reason = RefusalReason.DEADLINE_UNREACHABLE
            return self.dispatcher.refuse(ticket, reason, now)
        return self._find_opening_refusal(ticket, now)

    def _find_opening_refusal(self, ticket, now):
        """Return the Refusal of a request that no endpoint takes soon, or None."""
        tried = ticket.tried if len(self.dispatcher.states) > 1 else ()
        return self.dispatcher.service_availability.find_refusal(ticket, now, tried)


def complete_report(report, state):
    """Return a report with the slots that were declared, if it tells none."""
    return report if report.slots else replace(report, slots=state.slots)
