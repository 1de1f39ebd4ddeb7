"""One service at one node: from a request to an endpoint, and what it learns."""

from hingesill_core.limits.latency import LatencyEstimate
from hingesill_core.limits.querybudget import QueryBudget
from hingesill_core.limits.queue import RequestQueue
from hingesill_core.limits.shares import compute_send_limit
from hingesill_core.ratelimits.service import ServiceLimits
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.retries.budget import TokenBudget
from hingesill_core.retries.decision import NOT_EXECUTED, mark_may_have_run
from hingesill_core.routing.availability import AvailabilityRegistry
from hingesill_core.routing.endpoint_state import EndpointState, ServiceView
from hingesill_core.routing.hedging import Hedging
from hingesill_core.routing.latebinding import LateBinding
from hingesill_core.routing.limitedrequests import LimitedRequests
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY
from hingesill_core.routing.messages import Queued, Refusal, Send, SendStatus
from hingesill_core.routing.policies import POLICIES
from hingesill_core.routing.retryhandler import RetryHandler
from hingesill_core.routing.selection import takes_work
from hingesill_core.routing.serviceavailability import ServiceAvailability

__all__ = ["Dispatcher"]

OTHER_DATA_CENTRE = 0.003


class Dispatcher:
    """The decisions for one service. Not safe for use by several threads.

    Parameters
    ----------
    service : Service
        The declaration in force.
    fleet : FleetView
        The node and its fleet.
    rng : random.Random
        Source of all random choices.
    query_pool : QueryBudget or None
        Shared with other services of the node.
    curves : LatencyCurves or None
        Of all services of the node.
    limits : ServiceLimits or None
        What the service's endpoints in need still take; of this node alone if None.
    availabilities : AvailabilityRegistry or None
        Of all endpoints' lives that the node knows; of this service alone if None.
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
        self.view = ServiceView()
        self.last_submit = float("-inf")
        self.queue = RequestQueue(service.queue_limit)
        self._displaced = []
        self.pace = LatencyEstimate()
        self.paces = {}
        self.hedging = Hedging(self, service.sends.hedge_share)
        self.retries = TokenBudget(service.sends.retry_share)
        self.retrying = RetryHandler(self)
        self.service_availability = ServiceAvailability(self)
        self.limits = limits or ServiceLimits(service.name, rng)
        self.limits.usable = self._takes_work
        self.limited_requests = LimitedRequests(self)
        self.binding = LateBinding(self, query_pool or QueryBudget(), curves)
        self.configure(service, fleet)

    def configure(self, service, fleet):
        """Put a declaration and a view of the fleet in force.

        Notes
        -----
        What was learnt of an endpoint that stays is kept. One that is gone gets
        no new work from here on; sends in flight there settle as usual.
        """
        self.service = service
        self.fleet = fleet
        self.choose = POLICIES.get(service.policy)
        self.queue.limit = service.queue_limit
        bursts = service.sends.compute_bursts(fleet.nodes, fleet.place)
        self.hedging.budget.set_share(service.sends.hedge_share, bursts.hedges)
        self.retries.set_share(service.sends.retry_share, bursts.retries)
        self.binding.configure(service, fleet)
        if any(endpoint.instance for endpoint in service.endpoints):
            self.availabilities.names_lives = True
        self.states = {
            endpoint.identity: self._build_state(endpoint)
            for endpoint in service.endpoints
        }
        self.limits.grant_client.nodes = fleet.nodes
        self.limits.keep({name: state.born for name, state in self.states.items()})
        self.places = sum(state.send_limit for state in self.states.values())
        self.paces = {
            route: pace for route, pace in self.paces.items() if route in service.routes
        }

    def _build_state(self, endpoint):
        state = self.states.get(endpoint.identity)
        # One that started again holds and knows nothing of what was sent before.
        if state is None or state.born != endpoint.born:
            born = endpoint.born
            state = EndpointState(endpoint.identity, common=self.view, born=born)
            state.availability = self.availabilities.get(endpoint.identity, born)
        near = endpoint.data_centre == self.fleet.data_centre
        state.limits = self.limits
        state.slots = endpoint.slots
        state.is_near = near
        state.region = endpoint.region
        state.record_entry(endpoint.warm_in)
        state.send_limit = compute_send_limit(
            endpoint, self.service.places, self.fleet.nodes, self.fleet.fleet_limit
        )
        return state

    def _takes_work(self, endpoint, now):
        """Tell whether an endpoint takes new work, whatever limit it names."""
        state = self.states.get(endpoint)
        if state is None or not takes_work(state, now):
            return False
        return not state.health.is_ejected(now)

    def record_limit(self, send, named, now):
        """Take what the head of a send's answer named as the endpoint's limit.

        Parameters
        ----------
        send : Send
            As it was given out.
        named : ParsedLimit or None
            None if it was not this endpoint's.
        now : float
            The time.
        """
        if named is not None:
            self.limits.note(send.endpoint, send.born, named, send.started, now)

    def get_latency(self, route):
        """Return how long the answers of a route take."""
        pace = self.paces.get(route)
        if pace is None:
            pace = self.paces[route] = LatencyEstimate()
        return pace

    def submit(self, ticket, now):
        """Take a new request.

        Returns
        -------
        Ask, Send, Hold or Refusal
            Whom to ask first, where to send it, to hold it, or its final answer.
        """
        self.last_submit = now
        self.hedging.budget.earn()
        self.retries.earn()
        ask = self.begin_queries(ticket, now)
        if ask is not None:
            return ask
        return self.dispatch_unasked(ticket, now)

    def begin_queries(self, ticket, now):
        """Return an Ask or a Refusal, or None if this service does not ask."""
        if self.service.policy != FRESH_REPORT_POLICY:
            return None
        return self.binding.enter(ticket, now)

    def dispatch_unasked(self, ticket, now):
        """Choose by what is known already; return Send, Hold or Refusal."""
        if ticket.route.live or not self.queue.get_first(live=True):
            send = self.assign(ticket, now)
            if send is not None:
                return send
        return self.queue_or_refuse(ticket, now)

    def queue_or_refuse(self, ticket, now):
        """Return Hold if a request can wait and still be in time, else its Refusal."""
        if not self.has_takers(ticket.route, now):
            return self.refuse(ticket, RefusalReason.NO_ENDPOINT, now)
        refusal = self.service_availability.find_refusal(ticket, now)
        if refusal is not None:
            return refusal
        if self.limits.limited and self.limited_requests.is_surplus(ticket, now):
            return self.refuse(ticket, RefusalReason.ENDPOINTS_LIMITED, now)
        ahead = self.queue.count_ahead(ticket)
        wait = self.pace.estimate_queue_time(ahead, self.places)
        if now + wait + self.get_latency(ticket.route).p10 > ticket.deadline:
            return self.refuse(ticket, RefusalReason.DEADLINE_UNREACHABLE, now)
        if not self._make_room(ticket):
            return self.refuse(ticket, RefusalReason.QUEUE_FULL, now)
        self.queue.add(ticket)
        return Queued()

    def _make_room(self, ticket):
        """Tell whether the queue can take a ticket; a live one displaces others."""
        if len(self.queue) < self.queue.limit:
            return True
        displaced = self.queue.evict_deferrable() if ticket.route.live else None
        if displaced is None:
            return False
        self._displaced.append(displaced)
        return True

    def refuse(self, ticket, reason, now):
        """Return the final answer of a request that is given up."""
        outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
        if reason is RefusalReason.ENDPOINTS_LIMITED:
            wait = self.limits.grant_client.get_wait(now)
            return Refusal(
                reason, outcome, self.pace.suggest_retry_after(wait, self.rng)
            )
        return Refusal(reason, outcome, self.suggest_retry_after(ticket.route, now))

    def suggest_retry_after(self, route, now):
        """Return the seconds after which a caller finds room, as far as known."""
        backoff = self.service_availability.suggest_retry_after(route, now)
        if backoff is not None:
            return backoff
        wait = self.binding.estimate_wait(now)
        if not wait:
            wait = self.pace.estimate_queue_time(len(self.queue), self.places)
        return self.pace.suggest_retry_after(wait, self.rng)

    def has_takers(self, route, now):
        """Tell whether any endpoint takes a route's new work, busy or not."""
        return any(
            state.is_home_of(route)
            and not state.is_draining(now)
            and not state.health.is_ejected(now)
            for state in self.states.values()
        )

    def assign(self, ticket, now):
        """Send a ticket to an endpoint with a free place, if there is one."""
        free = [
            state for state in self.states.values() if self._is_free(state, ticket, now)
        ]
        if ticket.tried:
            fresh = [s for s in free if s.identity not in ticket.tried]
            free = fresh or free
        if not free:
            return None
        return self.start_send(ticket, self.choose(free, now, self.rng), now)

    def _is_free(self, state, ticket, now):
        """Tell whether an endpoint may get a request by what is known already."""
        warm_up = self.binding.warm_up
        if not state.has_place(ticket, now):
            return False
        return warm_up.allows_without_query(state, now, self.rng)

    def start_send(self, ticket, state, now, hedge=False):
        """Return a Send to an endpoint, with all that is noted of it."""
        load = state.predict_load(now)
        expected = load * self.get_latency(ticket.route).median
        send = Send(ticket, state.identity, now, expected, load, hedge, born=state.born)
        state.begin(send, now)
        ticket.sends += 1
        ticket.tried.append(state.identity)
        return send

    def pump(self, now):
        """Yield a Send for each held request that can go now."""
        if self.limits.limited:
            patience = max((t.deadline - now for t in self.queue), default=0.0)
            self.limits.grant_client.want(len(self.queue), patience, now)
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
        """Yield (ticket, Refusal) for each held request that is given up on.

        Notes
        -----
        A request goes as soon as not even a quick answer would be in time, and
        deferrable ones once a live one has taken their place.
        """
        for ticket in list(self.queue):
            refusal = self._find_final(ticket, now)
            if refusal is not None:
                self.queue.remove(ticket)
                yield ticket, refusal
        if self.limits.limited:
            waiting = [(ticket, ticket.deadline) for ticket in self.queue]
            for ticket in self.limited_requests.list_surplus(waiting, now):
                self.queue.remove(ticket)
                reason = RefusalReason.ENDPOINTS_LIMITED
                yield ticket, self.refuse(ticket, reason, now)
        while self._displaced:
            ticket = self._displaced.pop()
            yield ticket, self.refuse(ticket, RefusalReason.DISPLACED, now)

    def _find_final(self, ticket, now):
        """Return the Refusal of a held request that cannot be served, or None."""
        if not self.has_takers(ticket.route, now):
            return self.refuse(ticket, RefusalReason.NO_ENDPOINT, now)
        if now + self.get_latency(ticket.route).p10 > ticket.deadline:
            return self.refuse(ticket, RefusalReason.DEADLINE_UNREACHABLE, now)
        return self.service_availability.find_refusal(ticket, now)

    def abandon(self, ticket):
        """Forget a held request whose caller is gone."""
        self.queue.remove(ticket)

    def settle(self, send, result, now):
        """Take the end of a send and learn from it.

        Parameters
        ----------
        send : Send
            As it was given out.
        result : SendResult
            What became of it.
        now : float
            The time.
        """
        mark_may_have_run(send.ticket, result.end)
        state = self.find_state(send)
        if state is None:
            return
        state.finish(send)
        seconds = now - send.started
        state.learn(result, seconds, send.expected, now)
        self._learn_pace(send, result, seconds)
        if result.end is SendStatus.ANSWERED:
            self.binding.record_answer(send, seconds, now)
        if result.end in NOT_EXECUTED:
            send.ticket.sends -= 1
        # An endpoint that asks for a rest is not unhealthy.
        end = SendStatus.REFUSED if result.backoff.seconds else result.end
        came_back = state.health.note(end, now, self._may_eject(now))
        if came_back or result.cold:
            state.cold_since = now

    def find_state(self, send):
        """Return the state of the endpoint's life that a send was for, or None."""
        state = self.states.get(send.endpoint)
        return state if state is not None and state.born == send.born else None

    def _learn_pace(self, send, result, seconds):
        if result.end is not SendStatus.ANSWERED:
            return
        route = send.ticket.route
        self.get_latency(route).note(seconds, send.load)
        if route.live:
            self.pace.note(seconds)
            away = OTHER_DATA_CENTRE / self.pace.median
            for state in self.states.values():
                state.distance = 0.0 if state.is_near else away

    def _may_eject(self, now):
        ejected = sum(not s.health.is_open() for s in self.states.values())
        return (ejected + 1) * 2 <= len(self.states)

    def retry(self, ticket, end, now):
        """Decide what follows a send that brought no answer; see `Retrying.decide`."""
        return self.retrying.decide(ticket, end, now)

    def record_probe(self, endpoint, result, now):
        """Take what a probe told of an endpoint.

        Notes
        -----
        Its time is not that of a request, so it says nothing on slowness.
        """
        state = self.states.get(endpoint)
        if state is None:
            return
        state.last_probe = now
        if result.report is not None:
            state.report = result.report
            self.view.record_report(result.report)
        if result.limit is not None:
            limit = result.limit
            self.limits.note(endpoint, state.born, limit, now, now, is_health=True)
        self.service_availability.note(
            endpoint, state.born, result.backoff, result.leaving, now
        )
        if state.health.is_trial_due(now):
            state.health.trial_in_flight = True
        if state.health.note(result.end, now, self._may_eject(now)) or result.cold:
            state.cold_since = now

    def record_suspicion(self, endpoint, ratio, now):
        """Take another node's word that an endpoint's answers are overdue.

        Parameters
        ----------
        endpoint : str
            Its address.
        ratio : float
            How many times longer than typical an answer takes there.
        now : float
            The time.
        """
        state = self.states.get(endpoint)
        if state is not None:
            state.record_suspicion(ratio, now)

    def mark_draining(self, endpoint, until):
        """Give an endpoint no new work until a time."""
        state = self.states.get(endpoint)
        if state is not None:
            state.draining_until = until
