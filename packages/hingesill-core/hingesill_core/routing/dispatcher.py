"""The routing decisions of one node for one service."""

from hingesill_core.limits.latency import LatencyEstimate
from hingesill_core.limits.querybudget import QueryBudget
from hingesill_core.limits.queue import RequestQueue
from hingesill_core.limits.shares import compute_send_limit
from hingesill_core.ratelimits.service import ServiceLimits
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.retries.budget import TokenBudget
from hingesill_core.retries.decision import NOT_DELIVERED, mark_may_have_run
from hingesill_core.routing.availability import AvailabilityRegistry
from hingesill_core.routing.endpoint_state import EndpointState, ServiceView
from hingesill_core.routing.hedging import Hedging
from hingesill_core.routing.latebinding import LateBinding
from hingesill_core.routing.limitedrequests import LimitedRequests
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY
from hingesill_core.routing.messages import (
    Forward,
    Queued,
    Refusal,
    Send,
    SendStatus,
)
from hingesill_core.routing.overload import suggest_return
from hingesill_core.routing.plannedstop import PlannedStop
from hingesill_core.routing.policies import POLICIES
from hingesill_core.routing.reachability import Reachability
from hingesill_core.routing.retryhandler import RetryHandler
from hingesill_core.routing.selection import takes_work
from hingesill_core.routing.serviceavailability import ServiceAvailability

__all__ = ["Dispatcher", "TRIAL_INTERVAL_SECONDS"]

# Interval of trials whether an endpoint can be reached again.
TRIAL_INTERVAL_SECONDS = 0.15
# Round-trip time to another data centre, in seconds.
CROSS_DATA_CENTRE_RTT_SECONDS = 0.003


class Dispatcher:
    """Routes the requests of one service. Not safe for use by several threads.

    Parameters
    ----------
    service : Service
        The declaration in force.
    fleet : FleetView
        The node and its fleet.
    rng : random.Random
        Source of all random choices.
    query_pool : QueryBudget or None
        Budget of load queries shared with other services of the node.
    curves : LatencyCurves or None
        Latency curves of all services of the node.
    limits : ServiceLimits or None
        Rate limits that the service's endpoints request; without it, those known to
        this node alone.
    availabilities : AvailabilityRegistry or None
        Availability of all endpoint incarnations that the node knows; without it, of
        this service alone.
    """

    def __init__(
        self,
        service,
        fleet,
        rng,
        query_pool=None,
        curves=None,
        limits=None,
        availabilities=None,
    ):
        self.rng = rng
        self.availabilities = availabilities or AvailabilityRegistry()
        self.states = {}
        self.service_view = ServiceView()
        self.last_submit_at = float("-inf")
        self.queue = RequestQueue(service.queue_limit)
        self._evicted = []
        self.latency = LatencyEstimate()
        self.latencies = {}
        self.hedging = Hedging(self, service.sends.hedge_share)
        self.retries = TokenBudget(service.sends.retry_share)
        self.retrying = RetryHandler(self)
        self.service_availability = ServiceAvailability(self)
        self.reachability = Reachability()
        self.planned_stop = PlannedStop(self)
        self.limits = limits or ServiceLimits(service.name, rng)
        self.limits.usable = self._accepts_work
        self.limited_requests = LimitedRequests(self)
        self.binding = LateBinding(self, query_pool or QueryBudget(), curves)
        self.configure(service, fleet)

    def configure(self, service, fleet):
        """Apply a declaration and a view of the fleet.

        Notes
        -----
        The state of an endpoint that remains is kept. A removed endpoint gets no new
        requests; sends in flight there complete as usual.
        """
        self.service = service
        self.fleet = fleet
        self.choose = POLICIES.get(service.policy)
        self.queue.limit = service.queue_limit
        bursts = service.sends.compute_bursts(fleet.nodes, fleet.node_index)
        self.hedging.budget.set_share(service.sends.hedge_share, bursts.hedges)
        self.retries.set_share(service.sends.retry_share, bursts.retries)
        self.binding.configure(service, fleet)
        if any(endpoint.instance for endpoint in service.endpoints):
            self.availabilities.has_instance_ids = True
        self.states = {
            endpoint.identity: self._build_state(endpoint)
            for endpoint in service.endpoints
        }
        self.limits.grant_client.nodes = fleet.nodes
        self.limits.keep({name: state.born for name, state in self.states.items()})
        self.total_send_limit = sum(state.send_limit for state in self.states.values())
        self.latencies = {
            route: latency
            for route, latency in self.latencies.items()
            if route in service.routes
        }

    def _build_state(self, endpoint):
        state = self.states.get(endpoint.identity)
        # A restarted endpoint has none of the requests sent before.
        if state is None or state.born != endpoint.born:
            born = endpoint.born
            state = EndpointState(
                endpoint.identity, service_view=self.service_view, born=born
            )
            state.availability = self.availabilities.get(endpoint.identity, born)
        is_near = endpoint.data_centre == self.fleet.data_centre
        state.limits = self.limits
        state.slots = endpoint.slots
        state.is_near = is_near
        state.region = endpoint.region
        state.record_entry(endpoint.warm_in)
        state.send_limit = compute_send_limit(
            endpoint, self.service.places, self.fleet.nodes, self.fleet.fleet_limit
        )
        return state

    def _accepts_work(self, endpoint, now):
        """Return whether an endpoint accepts new requests, apart from its limit."""
        state = self.states.get(endpoint)
        if state is None or not takes_work(state, now):
            return False
        return not state.health.is_ejected(now)

    def record_limit(self, send, parsed, now):
        """Record the rate limit in the response headers of a send.

        Parameters
        ----------
        send : Send
            The send that was answered.
        parsed : ParsedLimit or None
            None if another endpoint sent the response.
        now : float
            Seconds of the node's clock.
        """
        if parsed is not None:
            self.limits.record(send.endpoint, send.born, parsed, send.started, now)

    def get_latency(self, route):
        """Return the latency estimate of a route, created on first use."""
        latency = self.latencies.get(route)
        if latency is None:
            latency = self.latencies[route] = LatencyEstimate()
        return latency

    def submit(self, ticket, now):
        """Route a new request.

        Returns
        -------
        LoadQuery, Send, Queued, Forward or Refusal
            The endpoints to query first, the endpoint to send to, the notice that the
            request is queued or that another node must serve it, or its final response.
        """
        self.last_submit_at = now
        decision = self.planned_stop.find_refusal(ticket, now)
        if decision is None:
            decision = self.divert(ticket, now)
        if decision is not None:
            return decision
        self.hedging.budget.earn()
        self.retries.earn()
        query = self.begin_queries(ticket, now)
        if query is not None:
            return query
        return self.dispatch_without_query(ticket, now)

    def divert(self, ticket, now):
        """Return Forward or a Refusal if no endpoint can be reached, else None.

        Notes
        -----
        The node that serves a forwarded request earns its extra sends.
        """
        if not self.reachability.assess(self.states, now):
            return None
        if ticket.is_forwarded:
            return self.refuse(ticket, RefusalReason.ENDPOINTS_UNREACHABLE, now)
        return Forward()

    def divert_admitted(self, ticket, now):
        """Return what `divert` does for a request that has earned extra sends."""
        decision = self.divert(ticket, now)
        if isinstance(decision, Forward):
            self.hedging.budget.forfeit()
            self.retries.forfeit()
        return decision

    def end_outage(self, since):
        """Drop what was learned of endpoints while none could be reached.

        Parameters
        ----------
        since : float
            Time at which an endpoint of the service was last heard before.
        """
        for state in self.states.values():
            for health in (state.health, state.query_health):
                health.drop_failures(since)

    def begin_queries(self, ticket, now):
        """Return a LoadQuery or Refusal, or None where no load queries are used."""
        if self.service.policy != FRESH_REPORT_POLICY:
            return None
        return self.binding.add_request(ticket, now)

    def dispatch_without_query(self, ticket, now):
        """Route a request by known state; return Send, Queued or Refusal."""
        if ticket.route.live or not self.queue.get_first(live=True):
            send = self.assign(ticket, now)
            if send is not None:
                return send
        return self.queue_or_refuse(ticket, now)

    def queue_or_refuse(self, ticket, now):
        """Queue a request that can still meet its deadline, else return its Refusal."""
        if not self.has_eligible_endpoint(ticket.route, now):
            return self.refuse(ticket, RefusalReason.NO_ENDPOINT, now)
        refusal = self.service_availability.find_refusal(ticket, now)
        if refusal is not None:
            return refusal
        if self.limits.limited and self.limited_requests.is_surplus(ticket, now):
            return self.refuse(ticket, RefusalReason.ENDPOINTS_LIMITED, now)
        ahead = self.queue.count_ahead(ticket)
        wait = self.latency.estimate_queue_time(ahead, self.total_send_limit)
        if now + wait + self.get_latency(ticket.route).p10 > ticket.deadline:
            return self.refuse(ticket, RefusalReason.DEADLINE_UNREACHABLE, now)
        if not self._ensure_queue_capacity(ticket):
            return self.refuse(ticket, RefusalReason.QUEUE_FULL, now)
        self.queue.add(ticket)
        return Queued()

    def _ensure_queue_capacity(self, ticket):
        """Return whether a ticket fits into the queue.

        Notes
        -----
        A live ticket evicts a deferrable one from a full queue.
        """
        if len(self.queue) < self.queue.limit:
            return True
        evicted = self.queue.evict_deferrable() if ticket.route.live else None
        if evicted is None:
            return False
        self._evicted.append(evicted)
        return True

    def refuse(self, ticket, reason, now):
        """Return the Refusal of a request that is given up."""
        outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
        if reason is RefusalReason.ENDPOINTS_LIMITED:
            wait = self.limits.grant_client.get_wait(now)
            return Refusal(
                reason, outcome, self.latency.suggest_retry_after(wait, self.rng)
            )
        if reason is RefusalReason.ENDPOINTS_UNREACHABLE:
            return Refusal(reason, outcome, self.suggest_return_after_trial())
        if reason is RefusalReason.NO_CAPACITY_IN_TIME:
            return Refusal(
                reason, outcome, suggest_return(ticket.deadline - now, self.rng)
            )
        return Refusal(reason, outcome, self.suggest_retry_after(ticket.route, now))

    def suggest_return_after_trial(self):
        """Return the Retry-After in seconds while no endpoint can be reached."""
        return TRIAL_INTERVAL_SECONDS * (1 + self.rng.random())

    def suggest_retry_after(self, route, now):
        """Return the Retry-After in seconds, estimated from the current load."""
        backoff = self.service_availability.suggest_retry_after(route, now)
        if backoff is not None:
            return backoff
        wait = self.binding.estimate_wait(now)
        if not wait:
            wait = self.latency.estimate_queue_time(
                len(self.queue), self.total_send_limit
            )
        return self.latency.suggest_retry_after(wait, self.rng)

    def has_eligible_endpoint(self, route, now):
        """Return whether any endpoint accepts a route's new requests, busy or not."""
        return any(
            state.serves_route(route)
            and not state.is_draining(now)
            and not state.health.is_ejected(now)
            for state in self.states.values()
        )

    def assign(self, ticket, now):
        """Send a ticket to an endpoint with a free in-flight slot, if there is one."""
        free = [
            state
            for state in self.states.values()
            if self._is_available(state, ticket, now)
        ]
        if ticket.tried:
            fresh = [s for s in free if s.identity not in ticket.tried]
            free = fresh or free
        if not free:
            return None
        return self.start_send(ticket, self.choose(free, now, self.rng), now)

    def _is_available(self, state, ticket, now):
        """Return whether an endpoint may get a request without a load query."""
        warm_up = self.binding.warm_up
        if not state.has_capacity(ticket, now):
            return False
        return warm_up.allows_without_query(state, now, self.rng)

    def start_send(self, ticket, state, now, hedge=False):
        """Return a Send to an endpoint and record it in the states."""
        load = state.predict_load(now)
        expected = load * self.get_latency(ticket.route).median
        send = Send(ticket, state.identity, now, expected, load, hedge, born=state.born)
        state.begin(send, now)
        ticket.sends += 1
        ticket.tried.append(state.identity)
        return send

    def dispatch_queued(self, now):
        """Yield a Send for each queued request that can be sent now."""
        if self.limits.limited:
            max_wait = max((t.deadline - now for t in self.queue), default=0.0)
            self.limits.grant_client.request_grants(len(self.queue), max_wait, now)
        for live in (True, False):
            while True:
                ticket = self.queue.get_first(live)
                send = self.assign(ticket, now) if ticket is not None else None
                if send is None:
                    break
                self.queue.remove(ticket)
                yield send
            if self.queue.get_first(live) is not None:
                return

    def expire(self, now):
        """Yield (ticket, Refusal) for each queued request that is given up.

        Notes
        -----
        A request is refused as soon as even an answer within the tenth percentile would
        miss its deadline; a deferrable one also when a live request has evicted it.
        """
        for ticket in list(self.queue):
            refusal = self._find_final_refusal(ticket, now)
            if refusal is not None:
                self.queue.remove(ticket)
                yield ticket, refusal
        if self.limits.limited:
            waiting = [(ticket, ticket.deadline) for ticket in self.queue]
            for ticket in self.limited_requests.list_surplus(waiting, now):
                self.queue.remove(ticket)
                reason = RefusalReason.ENDPOINTS_LIMITED
                yield ticket, self.refuse(ticket, reason, now)
        while self._evicted:
            ticket = self._evicted.pop()
            yield ticket, self.refuse(ticket, RefusalReason.DISPLACED, now)

    def _find_final_refusal(self, ticket, now):
        """Return the Refusal of a queued request that cannot be served, or None."""
        refusal = self.planned_stop.find_refusal(ticket, now)
        if refusal is not None:
            return refusal
        if not self.has_eligible_endpoint(ticket.route, now):
            return self.refuse(ticket, RefusalReason.NO_ENDPOINT, now)
        if now + self.get_latency(ticket.route).p10 > ticket.deadline:
            return self.refuse(ticket, RefusalReason.DEADLINE_UNREACHABLE, now)
        return self.service_availability.find_refusal(ticket, now)

    def remove_queued(self, ticket):
        """Remove a queued request whose caller has disconnected."""
        self.queue.remove(ticket)

    def complete_send(self, send, result, now):
        """Record the result of a send.

        Parameters
        ----------
        send : Send
            The send that ended.
        result : SendResult
            How it ended, and the endpoint's reports.
        now : float
            Seconds of the node's clock.
        """
        mark_may_have_run(send.ticket, result.end)
        state = self.find_state(send)
        if state is None:
            return
        state.finish(send)
        seconds = now - send.started
        state.record_result(result, seconds, send.expected, now)
        self._record_latency(send, result, seconds)
        if result.end is SendStatus.ANSWERED:
            self.binding.record_answer(send, seconds, now)
        if result.end in NOT_DELIVERED:
            send.ticket.sends -= 1
        # A requested back-off is no sign of an unhealthy endpoint.
        end = SendStatus.REFUSED if result.backoff.seconds else result.end
        recovered = state.health.record(end, now, self._may_eject(now))
        if recovered or result.cold:
            state.cold_since = now

    def find_state(self, send):
        """Return the state of the incarnation that a send was for, or None."""
        state = self.states.get(send.endpoint)
        return state if state is not None and state.born == send.born else None

    def _record_latency(self, send, result, seconds):
        if result.end is not SendStatus.ANSWERED:
            return
        route = send.ticket.route
        self.get_latency(route).record(seconds, send.load)
        if route.live:
            self.latency.record(seconds)
            distance = CROSS_DATA_CENTRE_RTT_SECONDS / self.latency.median
            for state in self.states.values():
                state.distance = 0.0 if state.is_near else distance

    def _may_eject(self, now):
        ejected = sum(not s.health.accepts_traffic() for s in self.states.values())
        return (ejected + 1) * 2 <= len(self.states)

    def retry(self, ticket, end, now):
        """Decide whether to retry a failed send; see `RetryHandler.decide`."""
        return self.retrying.decide(ticket, end, now)

    def record_probe(self, endpoint, result, now):
        """Record the result of a health probe.

        Notes
        -----
        A probe's duration is not that of a request, so it doesn't count as slowness.
        """
        state = self.states.get(endpoint)
        if state is None:
            return
        state.last_probe_at = now
        if result.report is not None:
            state.report = result.report
            self.service_view.record_report(result.report)
        if result.limit is not None:
            limit = result.limit
            self.limits.record(endpoint, state.born, limit, now, now, is_health=True)
        self.service_availability.record(
            endpoint, state.born, result.backoff, result.leaving, now
        )
        if state.health.is_trial_due(now):
            state.health.trial_in_flight = True
        if state.health.record(result.end, now, self._may_eject(now)) or result.cold:
            state.cold_since = now

    def record_suspicion(self, endpoint, ratio, now):
        """Record another node's report of overdue answers of an endpoint.

        Parameters
        ----------
        endpoint : str
            Its address.
        ratio : float
            How many times longer than the median an answer takes there.
        now : float
            Seconds of the node's clock.
        """
        state = self.states.get(endpoint)
        if state is not None:
            state.record_suspicion(ratio, now)

    def mark_draining(self, endpoint, until):
        """Send no new requests to an endpoint until a time."""
        state = self.states.get(endpoint)
        if state is not None:
            state.draining_until = until
