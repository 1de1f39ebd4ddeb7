"""A service at this node: its dispatcher, its connections and held requests."""

import time

import eventlet
from eventlet import event as green_event

from hingesill_core.limits.shares import compute_connection_share
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import Refusal, SendResult, SendStatus
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import Pool
from hingesill_node.datapath.loadqueries import WaitingRoom
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ServiceRunner"]

TICK_SECONDS = 0.002
SUSPICION_REPEAT_SECONDS = 0.02
CALLER_CHECK_SECONDS = 0.05
# Between two lines in the log for headers that can't be read, in seconds.
COMPLAINT_SECONDS = 5.0


class ServiceRunner:
    """Carries a dispatcher's decisions to the requests that wait for them.

    Parameters
    ----------
    service : Service
        The declaration in force.
    fleet : FleetView
        The node and its fleet.
    rng : random.Random
        For the dispatcher.
    announce : Announcements
        Told of endpoints that leave and of overdue answers.
    query_pool : QueryBudget or None
        Shared with other services of the node.
    curves : LatencyCurves or None
        Of all services of the node.
    clock : callable
        Monotonic seconds.
    guard : RequestGuard or None
        Knows which requests must not be sent; shared by all services.
    limits : ServiceLimits or None
        What the service's endpoints in need still take.
    availabilities : AvailabilityRegistry or None
        Of all endpoints' lives that the node knows.
    """

    def __init__(
        self,
        service,
        fleet,
        rng,
        announce,
        query_pool=None,
        curves=None,
        clock=time.monotonic,
        guard=None,
        limits=None,
        availabilities=None,
    ):
        self.guard = guard or RequestGuard()
        self.dispatcher = Dispatcher(
            service, fleet, rng, query_pool, curves, limits, availabilities
        )
        self._complain_from = 0.0
        self.announce = announce
        self.clock = clock
        self.pools = {}
        self.held = {}
        self.expiry_loop = None
        self.room = None
        self._limit_pools(service, fleet)

    def configure(self, service, fleet):
        """Put a new declaration or view of the fleet in force."""
        self.dispatcher.configure(service, fleet)
        self._limit_pools(service, fleet)
        self.pump()

    def _limit_pools(self, service, fleet):
        limits = {
            endpoint.identity: compute_connection_share(
                endpoint.connections, fleet.fleet_limit
            )
            for endpoint in service.endpoints
        }
        lives = {endpoint.identity: endpoint.born for endpoint in service.endpoints}
        for identity, pool in list(self.pools.items()):
            if lives.get(identity) != pool.born:
                self.pools.pop(identity).retire()
        for endpoint in service.endpoints:
            identity = endpoint.identity
            if identity not in self.pools:
                self.pools[identity] = self._build_pool(endpoint, limits[identity])
            self.pools[identity].limit = limits[identity]

    def _build_pool(self, endpoint, limit):
        return Pool(endpoint.address, limit, self.clock, endpoint.born)

    @property
    def slots(self):
        """What is known of the slots of the service's endpoints."""
        return self.dispatcher.binding.slots

    def find_pool(self, identity):
        """Return the connections to an endpoint, or None if it is gone."""
        return self.pools.get(identity)

    def has_idle_connection(self, identity):
        """Tell whether a connection to an endpoint waits for its next use."""
        pool = self.pools.get(identity)
        return pool is not None and pool.has_idle()

    def count_in_flight(self, identity):
        """Return this node's sends in flight at an endpoint."""
        state = self.dispatcher.states.get(identity)
        return state.in_flight if state is not None else 1

    def get_room(self, wire, counters):
        """Return where the service's requests wait for replies."""
        if self.room is None:
            self.room = WaitingRoom(self, wire, counters)
        return self.room

    def settle(self, send, result):
        """Hand a send's end to the dispatcher and start what can go now."""
        state = self.dispatcher.find_state(send)
        was_open = state is None or state.health.is_open()
        self.dispatcher.settle(send, result, self.clock())
        if state is not None and state.health.is_open() != was_open:
            event = Event.ENDPOINT_EJECTED if was_open else Event.ENDPOINT_BACK
            log_event(event, endpoint=send.endpoint)
        if result.report is not None and self.room is not None and state is not None:
            self.room.offer(send.endpoint, result.report)
        if self.held:
            self.pump()

    def record_head(self, send, result):
        """Take what an answer's head says on further requests, before its body comes.

        Parameters
        ----------
        send : Send
            That was answered.
        result : SendResult
            Read from the head.
        """
        now = self.clock()
        limit, backoff = result.limit, result.backoff
        if limit is not None and not limit.is_valid:
            self._complain(Event.LIMIT_INVALID, send.endpoint, now)
        if not backoff.is_valid:
            self._complain(Event.REST_INVALID, send.endpoint, now)
        self.dispatcher.record_limit(send, limit, now)
        self.dispatcher.service_availability.note(
            send.endpoint, send.born, backoff, result.leaving, now
        )
        if result.leaving:
            self.announce.announce_drain(send.endpoint)
            self._close_idle(send)

    def _close_idle(self, send):
        """Close idle connections to a life that is leaving."""
        pool = self.pools.get(send.endpoint)
        if pool is not None and pool.born == send.born:
            pool.close_idle()

    def _complain(self, event, endpoint, now):
        """Write a line for a header that can't be read, unless there was one lately."""
        if now >= self._complain_from:
            self._complain_from = now + COMPLAINT_SECONDS
            log_event(event, endpoint=endpoint)

    def give_back(self, send, connection):
        """Leave an endpoint that was found for a send as it is."""
        pool = self.find_pool(send.endpoint)
        self.settle(send, SendResult(SendStatus.CANCELLED))
        if connection is not None and pool is not None:
            pool.give_back(connection)

    def get_time_to_suspicion(self, send, now):
        """Return the seconds until an answer takes suspiciously long."""
        if not self.announce.is_connected:
            return float("inf")
        ratio = self.dispatcher.view.get_suspicious_ratio()
        left = send.started + ratio * send.expected - now
        return left if left > 0 else SUSPICION_REPEAT_SECONDS

    def suspect(self, send, now):
        """Tell other nodes of an answer that takes far longer than typical."""
        if not self.announce.is_connected:
            return
        ratio = (now - send.started) / send.expected
        if ratio < self.dispatcher.view.get_suspicious_ratio():
            return
        self.announce.announce_suspicion(send.endpoint, ratio, now)

    def pump(self):
        """Wake the held requests that can go now."""
        for send in self.dispatcher.pump(self.clock()):
            self.held.pop(send.ticket).send(send)

    def wait_held(self, request):
        """Wait until a held request is sent or refused; return the decision."""
        ticket = request.ticket
        event = self.held[ticket] = green_event.Event()
        if self.expiry_loop is None:
            self.expiry_loop = eventlet.spawn(self._keep)
        while True:
            decision = event.wait(timeout=CALLER_CHECK_SECONDS)
            if decision is not None:
                return decision
            if is_caller_gone(request.caller_socket) and not event.ready():
                self.held.pop(ticket, None)
                self.dispatcher.abandon(ticket)
                outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
                return Refusal(RefusalReason.CALLER_GONE, outcome)

    def _keep(self):
        """Give up on held requests in time, as long as there are any."""
        while self.held:
            for ticket, refusal in self.dispatcher.expire(self.clock()):
                self.held.pop(ticket).send(refusal)
            self.pump()
            eventlet.sleep(TICK_SECONDS)
        self.expiry_loop = None

    def mark_draining(self, identity, until):
        """Give an endpoint no new work and close idle connections to it."""
        self.dispatcher.mark_draining(identity, until)
        pool = self.pools.get(identity)
        if pool is not None and until > self.clock():
            pool.close_idle()
