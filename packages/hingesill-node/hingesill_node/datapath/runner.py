"""A service at this node: its dispatcher, connections and queued requests."""

import time

import eventlet
from eventlet import event as green_event

from hingesill_core.limits.shares import compute_connection_share
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.dispatcher import TRIAL_INTERVAL_SECONDS, Dispatcher
from hingesill_core.routing.messages import Refusal, SendResult, SendStatus
from hingesill_core.routing.selection import takes_work
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import Pool
from hingesill_node.datapath.loadqueries import LoadQueryClient
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ServiceRunner"]

EXPIRY_CHECK_INTERVAL_SECONDS = 0.002
SUSPICION_INTERVAL_SECONDS = 0.02
CALLER_CHECK_INTERVAL_SECONDS = 0.05
# Minimum interval between log lines about invalid headers.
LOG_INTERVAL_SECONDS = 5.0
# Endpoints queried in each trial whether any can be reached.
TRIAL_ENDPOINTS = 2
# Other endpoints that are tried before a check concludes that none can be reached.
COMPARED_ENDPOINTS = 4
# Seconds without a request after which trials end.
IDLE_TRIAL_SECONDS = 5.0


class ServiceRunner:
    """Delivers a dispatcher's decisions to the requests that wait for them.

    Parameters
    ----------
    service : Service
        The service's current declaration.
    fleet : FleetView
        The node and its fleet.
    rng : random.Random
        Source of randomness of the dispatcher.
    announcements : Announcements
        Sends leaving endpoints and overdue answers to other nodes.
    query_pool : QueryBudget or None
        Budget of load queries, shared by all services of the node.
    curves : LatencyCurves or None
        Latency curves, shared by all services of the node.
    clock : callable
        Monotonic seconds.
    guard : RequestGuard or None
        Decides which requests must not be sent; shared by all services.
    limits : ServiceLimits or None
        Rate limits of the service's endpoints.
    availabilities : AvailabilityRegistry or None
        Availability of each known incarnation of an endpoint.
    forwarder : Forwarder or None
        Forwards requests while no endpoint can be reached; None if no other node
        accepts them.
    """

    def __init__(
        self,
        service,
        fleet,
        rng,
        announcements,
        query_pool=None,
        curves=None,
        clock=time.monotonic,
        guard=None,
        limits=None,
        availabilities=None,
        forwarder=None,
    ):
        self.guard = guard or RequestGuard()
        self.forwarder = forwarder
        self.trials = None
        self.dispatcher = Dispatcher(
            service, fleet, rng, query_pool, curves, limits, availabilities
        )
        self.dispatcher.reachability.is_enabled = forwarder is not None
        self._next_log_at = 0.0
        self.announcements = announcements
        self.clock = clock
        self.pools = {}
        self.queued = {}
        self.expiry_loop = None
        self.query_client = None
        self._limit_pools(service, fleet)

    def configure(self, service, fleet):
        """Apply a new declaration or view of the fleet."""
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
        incarnations = {
            endpoint.identity: endpoint.born for endpoint in service.endpoints
        }
        for identity, pool in list(self.pools.items()):
            if incarnations.get(identity) != pool.born:
                self.pools.pop(identity).retire()
        for endpoint in service.endpoints:
            identity = endpoint.identity
            if identity not in self.pools:
                self.pools[identity] = self._build_pool(endpoint, limits[identity])
            self.pools[identity].limit = limits[identity]

    def _build_pool(self, endpoint, limit):
        return Pool(endpoint.address, limit, self.clock, endpoint.born)

    @property
    def concurrency(self):
        """The ConcurrencyModel of the service's endpoints."""
        return self.dispatcher.binding.concurrency_model

    def find_pool(self, identity):
        """Return the connection pool of an endpoint, or None if it is gone."""
        return self.pools.get(identity)

    def has_idle_connection(self, identity):
        """Return whether there is an idle connection to an endpoint."""
        pool = self.pools.get(identity)
        return pool is not None and pool.has_idle()

    def count_in_flight(self, identity):
        """Return this node's sends in flight at an endpoint."""
        state = self.dispatcher.states.get(identity)
        return state.in_flight if state is not None else 1

    def get_query_client(self, wire, counters):
        """Return the service's LoadQueryClient, created on first use."""
        if self.query_client is None:
            self.query_client = LoadQueryClient(self, wire, counters)
        return self.query_client

    def start_trials(self, wire, counters):
        """Try endpoints regularly until one can be reached again."""
        if self.trials is None:
            query_client = self.get_query_client(wire, counters)
            self.trials = eventlet.spawn(self._run_trials, query_client)

    def _run_trials(self, query_client):
        """Query the load of a few endpoints until one replies or requests end."""
        dispatcher, reachability = self.dispatcher, self.dispatcher.reachability
        lost_at, heard_at = reachability.lost_at, reachability.heard_at
        name = dispatcher.service.name
        log_event(
            Event.SERVICE_UNREACHABLE,
            service=name,
            evidence=reachability.describe(self.clock()),
            nodes=self._count_usable_peers(),
        )
        while reachability.lost_at is not None:
            if self.clock() - dispatcher.last_submit_at > IDLE_TRIAL_SECONDS:
                reachability.forget()
                break
            query_client.query_load(self._choose_trial_endpoints())
            eventlet.sleep(TRIAL_INTERVAL_SECONDS * dispatcher.rng.uniform(0.7, 1.3))
        self.trials = None
        dispatcher.end_outage(heard_at)
        log_event(
            Event.SERVICE_REACHED,
            service=name,
            ms=round(1000 * (self.clock() - (lost_at or self.clock()))),
            forgotten=self.clock() - reachability.heard_at > IDLE_TRIAL_SECONDS,
        )

    def _choose_trial_endpoints(self):
        """Return random endpoints that may be queried."""
        now = self.clock()
        usable = [
            identity
            for identity, state in self.dispatcher.states.items()
            if takes_work(state, now)
        ]
        count = min(TRIAL_ENDPOINTS, len(usable))
        return self.dispatcher.rng.sample(usable, count)

    def _count_usable_peers(self):
        """Return the number of nodes through which requests may go."""
        if self.forwarder is None:
            return 0
        name = self.dispatcher.service.name
        return self.forwarder.peers.count_usable(name, self.clock())

    def list_other_addresses(self, endpoint):
        """Return addresses of a few other endpoints, chosen at random."""
        others = [pool.address for name, pool in self.pools.items() if name != endpoint]
        count = min(COMPARED_ENDPOINTS, len(others))
        return self.dispatcher.rng.sample(others, count)

    def get_heard_at(self):
        """Return the time at which any endpoint of the service last sent anything."""
        return self.dispatcher.reachability.heard_at

    def settle(self, send, result):
        """Pass a send's result to the dispatcher and start queued requests."""
        state = self.dispatcher.find_state(send)
        was_open = state is None or state.health.accepts_traffic()
        self.dispatcher.complete_send(send, result, self.clock())
        if state is not None and state.health.accepts_traffic() != was_open:
            event = Event.ENDPOINT_EJECTED if was_open else Event.ENDPOINT_BACK
            log_event(event, endpoint=send.endpoint)
        if (
            result.report is not None
            and self.query_client is not None
            and state is not None
        ):
            self.query_client.offer(send.endpoint, result.report)
        if self.queued:
            self.pump()

    def record_head(self, send, result):
        """Apply an answer's limit, back-off and drain headers before its body is read.

        Parameters
        ----------
        send : Send
            The send that was answered.
        result : SendResult
            The result read from the answer's head.
        """
        now = self.clock()
        self.dispatcher.reachability.record_heard(now)
        limit, backoff = result.limit, result.backoff
        if limit is not None and not limit.is_valid:
            self._log_invalid_header(Event.LIMIT_INVALID, send.endpoint, now)
        if not backoff.is_valid:
            self._log_invalid_header(Event.REST_INVALID, send.endpoint, now)
        self.dispatcher.record_limit(send, limit, now)
        self.dispatcher.service_availability.record(
            send.endpoint, send.born, backoff, result.leaving, now
        )
        if result.leaving:
            self.announcements.announce_drain(send.endpoint)
            self._close_idle(send)

    def _close_idle(self, send):
        """Close idle connections to an incarnation that is leaving."""
        pool = self.pools.get(send.endpoint)
        if pool is not None and pool.born == send.born:
            pool.close_idle()

    def _log_invalid_header(self, event, endpoint, now):
        """Log an invalid header, at most once per interval."""
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_SECONDS
            log_event(event, endpoint=endpoint)

    def cancel_send(self, send, connection):
        """Cancel a send that was not started, and return its connection."""
        pool = self.find_pool(send.endpoint)
        self.settle(send, SendResult(SendStatus.CANCELLED))
        if connection is not None and pool is not None:
            pool.release(connection)

    def get_time_to_suspicion(self, send, now):
        """Return the seconds until an answer is suspiciously late."""
        if not self.announcements.is_connected:
            return float("inf")
        ratio = self.dispatcher.service_view.get_suspicious_ratio()
        remaining = send.started + ratio * send.expected - now
        return remaining if remaining > 0 else SUSPICION_INTERVAL_SECONDS

    def report_suspicion(self, send, now):
        """Announce an answer that takes far longer than expected to other nodes.

        Notes
        -----
        A node that has received nothing from the service since the send may be cut off
        from all its endpoints, and announces nothing.
        """
        if not self.announcements.is_connected:
            return
        if self.dispatcher.reachability.heard_at <= send.started:
            return
        ratio = (now - send.started) / send.expected
        if ratio < self.dispatcher.service_view.get_suspicious_ratio():
            return
        self.announcements.announce_suspicion(send.endpoint, ratio, now)

    def pump(self):
        """Wake the queued requests that can be sent now."""
        for send in self.dispatcher.dispatch_queued(self.clock()):
            self.queued.pop(send.ticket).send(send)

    def wait_queued(self, request):
        """Wait until a queued request is sent or refused; return the decision."""
        ticket = request.ticket
        event = self.queued[ticket] = green_event.Event()
        if self.expiry_loop is None:
            self.expiry_loop = eventlet.spawn(self._expire_queued)
        while True:
            decision = event.wait(timeout=CALLER_CHECK_INTERVAL_SECONDS)
            if decision is not None:
                return decision
            if is_caller_gone(request.caller_socket) and not event.ready():
                self.queued.pop(ticket, None)
                self.dispatcher.remove_queued(ticket)
                outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
                return Refusal(RefusalReason.CALLER_GONE, outcome)

    def _expire_queued(self):
        """Refuse queued requests whose time is up, until the queue is empty."""
        while self.queued:
            for ticket, refusal in self.dispatcher.expire(self.clock()):
                self.queued.pop(ticket).send(refusal)
            self.pump()
            eventlet.sleep(EXPIRY_CHECK_INTERVAL_SECONDS)
        self.expiry_loop = None

    def mark_draining(self, identity, until):
        """Send no new requests to an endpoint until a time; close idle connections."""
        self.dispatcher.mark_draining(identity, until)
        pool = self.pools.get(identity)
        if pool is not None and until > self.clock():
            pool.close_idle()
