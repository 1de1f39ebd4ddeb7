"""Late binding: requests of one service that wait for an endpoint with a free slot."""

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
from hingesill_core.routing.overload import EarlyRefusal
from hingesill_core.routing.selection import EndpointSelection, can_get_work, takes_work
from hingesill_core.routing.unhealthyreports import UnhealthyReports
from hingesill_core.routing.waiting import WaitingRequest
from hingesill_core.routing.warmup import WarmUpLimit

__all__ = ["LateBinding"]

# Waiting requests for each additional endpoint queried in a round.
REQUESTS_PER_QUERY = 2
# Queries kept for organisations below their fair share while capacity is short: two
# rounds for one of their requests.
RESERVED_QUERIES = 8


class LateBinding:
    """Chooses the endpoints to query and the waiting request for each reply.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service; its endpoint states are read and written.
    pool : QueryBudget
        Query budget shared by the services of this node whose budgets are pooled.
    curves : LatencyCurves or None
        Latency curves of all services of this node.
    rules : QueryRules
        Parameters of the load queries.
    """

    def __init__(self, dispatcher, pool, curves=None, rules=None):
        self.dispatcher = dispatcher
        self.pool = pool
        self.rules = rules or QueryRules()
        self.budget = QueryBudget()
        self.concurrency_model = ConcurrencyModel(curves)
        self.selection = EndpointSelection(dispatcher, self.rules)
        self.dequeue_interval = DequeueInterval()
        self.warm_up = WarmUpLimit()
        self.unhealthy_reports = UnhealthyReports()
        self.has_reports = True
        self.waiting = {}
        self.limits = dispatcher.limits
        self.limited_waiting = LimitedWaiting(self, dispatcher.limited_requests)
        self.early_refusal = EarlyRefusal()
        self._late_queried_at = float("-inf")

    def configure(self, service, fleet):
        """Apply a declaration and a view of the fleet."""
        if service.probes.pooled:
            self.budget = self.pool
        self.budget.set_service_budget(service.name, service.probes, fleet.nodes)
        self.concurrency_model.baselines.retain(service.routes)
        self.warm_up.configure(service, fleet)
        shares = self.early_refusal.shares
        shares.endpoints_per_node = len(service.endpoints) / max(1, fleet.nodes)

    def add_request(self, ticket, now):
        """Add a request to those that wait for an endpoint.

        Returns
        -------
        LoadQuery, Refusal or None
            The endpoints to query for it; None if this service's endpoints report no
            load or there is no query budget.
        """
        if not self.has_reports or self.budget.rate <= 0:
            return None
        refusal = self._find_availability_refusal(ticket, now)
        if refusal is not None:
            return refusal
        if len(self.waiting) >= self.dispatcher.service.queue_limit:
            return self.dispatcher.refuse(ticket, RefusalReason.QUEUE_FULL, now)
        if not self._count_waiting():
            self.dequeue_interval.start(now)
        waiting = self.waiting[ticket] = self._build_waiting(ticket, now)
        if self.limits.limited and not self.limited_waiting.admit(ticket, now):
            self.waiting.pop(ticket)
            return self.dispatcher.refuse(ticket, RefusalReason.ENDPOINTS_LIMITED, now)
        if waiting.get_stage(now, self.rules) is Stage.LATE:
            return LoadQuery(self._choose_leftover_endpoints(ticket.route, now))
        return LoadQuery(
            self._choose_endpoints(
                self.rules.first_fan_out, now, (ticket.route,), is_first=True
            )
        )

    def _choose_leftover_endpoints(self, route, now):
        """Return the endpoints to query for a request that gets leftover capacity.

        Notes
        -----
        With early refusal a single reply decides, and shows whether the load has ended.
        """
        if not self.dispatcher.service.early_refusal:
            return ()
        return self._choose_endpoints(1, now, (route,), is_first=True)

    def _build_waiting(self, ticket, now):
        latency = self.dispatcher.get_latency(ticket.route)
        target = ticket.route.target or self.rules.default_target
        if self.dispatcher.service.early_refusal:
            work = self._get_usual_work(ticket.route)
            rng = self.dispatcher.rng
            item = self.early_refusal.assess(ticket, target, work, now, rng)
            return WaitingRequest(
                ticket,
                now,
                item.late_at,
                item.until,
                precedence=item.precedence,
                is_guaranteed=item.is_guaranteed,
            )
        max_wait = self.rules.max_wait_share * (ticket.deadline - ticket.arrived)
        return WaitingRequest(
            ticket,
            since=now,
            late_at=ticket.arrived + self.rules.patient_share * target - ticket.elapsed,
            until=min(ticket.deadline - latency.p10, ticket.arrived + max_wait),
        )

    def _get_usual_work(self, route):
        """Return the usual seconds from a send to the answer."""
        baseline = self.concurrency_model.baselines.get_usual(route)
        return baseline or self.dispatcher.get_latency(route).median

    def add_hedge(self, ticket, now):
        """Add a request with a send in flight to those that wait for an endpoint.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        LoadQuery or None
            The endpoints to query; None while requests without any endpoint wait, or if
            the budget allows no query.
        """
        if not self.has_reports or self.waiting:
            return None
        if self.dispatcher.reachability.lost_at is not None:
            return None
        endpoints = self._choose_endpoints(
            self.rules.first_fan_out, now, (ticket.route,)
        )
        if not endpoints:
            return None
        until = now + self.rules.hedge_wait_seconds
        self.waiting[ticket] = WaitingRequest(ticket, now, until, until, hedge=True)
        return LoadQuery(endpoints)

    def estimate_wait(self, now):
        """Return the estimated seconds that a new request would wait."""
        return self.dequeue_interval.estimate_wait(self._count_waiting(), now)

    def _count_waiting(self):
        """Return the number of waiting requests without any endpoint."""
        return sum(not waiting.hedge for waiting in self.waiting.values())

    def remove(self, ticket):
        """Remove a request that no longer waits."""
        self.waiting.pop(ticket, None)

    def next_query(self, now):
        """Return the next LoadQuery for all waiting requests together, or None."""
        if not self.waiting:
            return None
        if self.limits.limited:
            self.limited_waiting.want_grants(now)
        routes = {waiting.ticket.route for waiting in self.waiting.values()}
        endpoints = self._choose_endpoints(self._compute_fan_out(now), now, routes)
        return LoadQuery(endpoints) if endpoints else None

    def _compute_fan_out(self, now):
        """Return the number of endpoints to query in this round.

        Notes
        -----
        Late requests use only leftover capacity: for them alone the node queries
        rarely, which leaves the budget to requests that can still meet their target.
        """
        stages = [item.get_stage(now, self.rules) for item in self.waiting.values()]
        timely = sum(stage is not Stage.LATE for stage in stages)
        if timely:
            wanted = timely // REQUESTS_PER_QUERY + self.rules.first_fan_out
            return min(wanted, self.rules.max_fan_out)
        if now - self._late_queried_at < self.rules.late_query_interval:
            return 0
        self._late_queried_at = now
        return 1

    def _get_reserved_queries(self):
        """Return the queries that are kept for organisations below their fair share."""
        if not self.dispatcher.service.early_refusal:
            return 0
        is_short = self.early_refusal.admission.share < 1.0
        if is_short and not any(w.is_guaranteed for w in self.waiting.values()):
            return RESERVED_QUERIES
        return 0

    def _choose_endpoints(self, wanted, now, routes, is_first=False):
        """Return the identities of endpoints to query, as the budget allows."""
        candidates = self.selection.list_candidates(now, routes)
        reserve = self._get_reserved_queries()
        count = self.budget.acquire(min(wanted, len(candidates)), now, reserve)
        self.warm_up.record_queries(count, now)
        chosen = self.selection.sample(candidates, count, now, is_first)
        for state in chosen:
            state.queried_at = now
            if state.query_health.is_trial_due(now):
                state.query_health.trial_in_flight = True
        return tuple(state.identity for state in chosen)

    def may_query(self, identity, born, now):
        """Return whether a load query to an incarnation may still be sent."""
        state = self.dispatcher.states.get(identity)
        return state is not None and state.born == born and takes_work(state, now)

    def handle_reply(self, reply, now):
        """Record a reply; return the Send of the request that it serves, or None."""
        state = self.record_reply(reply, now)
        if state is None or reply.report is None or not can_get_work(state, now):
            return None
        if reply.is_unhealthy and self.unhealthy_reports.should_apply():
            return None
        running = reply.report.running
        if self.dispatcher.service.early_refusal:
            self._record_free_slots(reply, state, now)
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
            self.dequeue_interval.record_dequeue(now)
            if self.dispatcher.service.early_refusal:
                work = self._get_usual_work(first.ticket.route)
                self.early_refusal.record_send(work, now)
        send = self.dispatcher.start_send(first.ticket, state, now, first.hedge)
        send.occupied = 0 if is_cold else running + 1
        return send

    def _record_free_slots(self, reply, state, now):
        """Record whether a load reply shows a free slot.

        Notes
        -----
        Answers report the slot that they have just freed, and slow endpoints have free
        slots that no request may use; both say nothing of the capacity.
        """
        report = state.report
        is_slow = report.slowness >= self.selection.get_max_slowness()
        if reply.sent_at is None:
            return
        slots = report.slots or 1
        running = min(report.running, slots)
        self.early_refusal.shares.record_reply(running, report.slowness)
        if is_slow:
            return
        usable = self.concurrency_model.get_concurrency_limit(report.slots, now)
        has_free_slot = report.running < min(usable, report.slots or 1)
        if has_free_slot or self._has_waited(now):
            self.early_refusal.admission.record_reply(has_free_slot)

    def _has_waited(self, now):
        """Return whether a request in time found no slot in its first queries."""
        return any(
            item.get_stage(now, self.rules) is Stage.ACCEPTING
            for item in self.waiting.values()
        )

    def _fits(self, waiting, state, now, is_cold):
        """Return whether a waiting request may go to the endpoint of a reply.

        Notes
        -----
        A cold endpoint is slower, so it only serves requests that found no other.
        """
        ticket = waiting.ticket
        if not state.serves_route(ticket.route):
            return False
        if state.identity in ticket.tried and len(self.dispatcher.states) > 1:
            return False
        if not state.health.accepts_traffic() and not state.accepts_trial(ticket, now):
            return False
        stage = waiting.get_stage(now, self.rules)
        if is_cold and stage is Stage.SELECTIVE:
            return False
        max_slowness = self.selection.get_max_slowness()
        usable = self.concurrency_model.get_concurrency_limit(state.report.slots, now)
        if waiting.is_guaranteed and stage is Stage.ACCEPTING:
            is_slow = state.report.slowness >= max_slowness
            if not is_slow and self._may_queue(waiting, state.report, usable, now):
                return True
        return is_good_enough(state.report, stage, usable, max_slowness)

    def _may_queue(self, waiting, report, usable, now):
        """Return whether a request may wait at an endpoint for the next free slot.

        Notes
        -----
        Requests of organisations below their fair share thus get a slot that would go
        to other nodes' requests. Where all slots in use slow an endpoint down, the wait
        there costs more than it gains.
        """
        if self.early_refusal.admission.share >= 1.0:
            return False
        slots = report.slots or 1
        next_free = now + self._get_usual_work(waiting.ticket.route) / slots
        is_fast_when_full = usable >= slots
        return (
            is_fast_when_full
            and report.running <= slots
            and next_free < waiting.late_at
        )

    def record_reply(self, reply, now):
        """Record a reply; return the endpoint's state, or None if it was removed.

        Notes
        -----
        The slowness of endpoints is compared to the lower quartile of replies: where
        nearly all are slow, requests must not wait for one that is not. A median would
        not do, as slow endpoints stay free and are queried most.
        """
        state = self.dispatcher.states.get(reply.endpoint)
        born = reply.born
        if born is None and state is not None:
            born = state.born
        if born is not None:
            self.dispatcher.service_availability.record(
                reply.endpoint, born, reply.backoff, reply.leaving, now
            )
        if state is None or born != state.born:
            return None
        state.query_health.record(reply.end, now, may_eject=True)
        if reply.end is SendStatus.ANSWERED:
            if reply.is_unhealthy is not None:
                self.unhealthy_reports.record(reply.is_unhealthy)
            if reply.limit is not None and reply.sent_at is not None:
                limit, sent_at = reply.limit, reply.sent_at
                self.limits.record(
                    reply.endpoint, state.born, limit, sent_at, now, is_health=True
                )
            if reply.warm_in is not None:
                state.record_warm_up(reply.warm_in, now)
            self.has_reports = reply.report is not None
            if reply.report is not None:
                state.report = complete_report(reply.report, state)
                self.selection.slowness.record(reply.report.slowness)
        return state

    def record_answer(self, send, seconds, now):
        """Record how the occupied slots affected the latency of an answer."""
        state = self.dispatcher.find_state(send)
        if send.occupied and state is not None:
            route = send.ticket.route
            self.concurrency_model.record_answer(
                route, seconds, send.occupied, state.slots, now
            )

    def expire(self, now):
        """Yield (ticket, decision) for each request that stops waiting."""
        if self.dispatcher.reachability.assess(self.dispatcher.states, now):
            yield from self._divert_waiting(now)
            return
        if self.limits.limited:
            for ticket in self.limited_waiting.list_surplus(now):
                self.waiting.pop(ticket)
                reason = RefusalReason.ENDPOINTS_LIMITED
                yield ticket, self.dispatcher.refuse(ticket, reason, now)
        for waiting in list(self.waiting.values()):
            ticket = waiting.ticket
            if not self.has_reports and not waiting.hedge:
                self.waiting.pop(ticket)
                yield ticket, self.dispatcher.dispatch_without_query(ticket, now)
                continue
            refusal = self._find_final_refusal(waiting, now)
            if refusal is not None:
                self.waiting.pop(ticket)
                yield ticket, refusal

    def _divert_waiting(self, now):
        """Yield (ticket, decision) for all requests, as no endpoint can be reached."""
        for waiting in list(self.waiting.values()):
            if not waiting.hedge:
                self.waiting.pop(waiting.ticket)
                ticket = waiting.ticket
                yield ticket, self.dispatcher.divert_admitted(ticket, now)

    def _find_final_refusal(self, waiting, now):
        """Return the Refusal of a request whose wait has ended, or None."""
        ticket = waiting.ticket
        refusal = self.dispatcher.planned_stop.find_refusal(ticket, now)
        if refusal is not None:
            return refusal
        if now >= waiting.until:
            reason = RefusalReason.DEADLINE_UNREACHABLE
            if self.dispatcher.service.early_refusal:
                reason = RefusalReason.NO_CAPACITY_IN_TIME
            return self.dispatcher.refuse(ticket, reason, now)
        return self._find_availability_refusal(ticket, now)

    def _find_availability_refusal(self, ticket, now):
        """Return the Refusal of a request that no endpoint accepts soon, or None."""
        tried = ticket.tried if len(self.dispatcher.states) > 1 else ()
        return self.dispatcher.service_availability.find_refusal(ticket, now, tried)


def complete_report(report, state):
    """Return a report with the declared slots, if it contains none."""
    return report if report.slots else replace(report, slots=state.slots)
