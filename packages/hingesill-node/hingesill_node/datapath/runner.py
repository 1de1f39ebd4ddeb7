"""A service at this node: its dispatcher, its connections and held requests."""

import time

import eventlet
from eventlet import event as green_event

from hingesill_core.limits.asking import AskBudget
from hingesill_core.limits.shares import compute_connection_share
from hingesill_core.ratelimits.fleet import FleetLimits
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.curves import SlotCurves, pool_profiles
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import Refusal, SendEnd, SendResult
from hingesill_core.routing.profile import Profile
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datapath.asking import WaitingRoom
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import Pool
from hingesill_node.ratelimits.exchange import log_limit
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["RunnerTable", "ServiceRunner"]

TICK_SECONDS = 0.002
SUSPICION_REPEAT_SECONDS = 0.02
CALLER_CHECK_SECONDS = 0.05
# A line in the log for limits that can't be read, at most so often.
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
    ask_pool : AskBudget or None
        Shared with other services of the node.
    curves : SlotCurves or None
        Of all services of the node.
    clock : callable
        Monotonic seconds.
    guard : RequestGuard or None
        Knows which requests must not be sent; shared by all services.
    limits : ServiceLimits or None
        What the service's endpoints in need still take.
    """

    def __init__(
        self,
        service,
        fleet,
        rng,
        announce,
        ask_pool=None,
        curves=None,
        clock=time.monotonic,
        guard=None,
        limits=None,
    ):
        self.guard = guard or RequestGuard()
        self.dispatcher = Dispatcher(service, fleet, rng, ask_pool, curves, limits)
        self._complain_from = 0.0
        self.announce = announce
        self.clock = clock
        self.pools = {}
        self.held = {}
        self.keeper = None
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
        if result.draining:
            self.announce.tell_drain(send.endpoint)
        if result.report is not None and self.room is not None and state is not None:
            self.room.offer(send.endpoint, result.report)
        if self.held:
            self.pump()

    def note_limit(self, send, named):
        """Take what an answer's head named as the endpoint's limit."""
        now = self.clock()
        if named is None and now >= self._complain_from:
            self._complain_from = now + COMPLAINT_SECONDS
            log_event(Event.LIMIT_INVALID, endpoint=send.endpoint)
        self.dispatcher.note_limit(send, named, now)

    def give_back(self, send, connection):
        """Leave an endpoint that was found for a send as it is."""
        pool = self.find_pool(send.endpoint)
        self.settle(send, SendResult(SendEnd.CANCELLED))
        if connection is not None and pool is not None:
            pool.give_back(connection)

    def get_time_to_suspicion(self, send, now):
        """Return the seconds until an answer takes suspiciously long."""
        if not self.announce.is_heard:
            return float("inf")
        ratio = self.dispatcher.view.get_suspicious_ratio()
        left = send.started + ratio * send.expected - now
        return left if left > 0 else SUSPICION_REPEAT_SECONDS

    def suspect(self, send, now):
        """Tell other nodes of an answer that takes far longer than typical."""
        if not self.announce.is_heard:
            return
        ratio = (now - send.started) / send.expected
        if ratio < self.dispatcher.view.get_suspicious_ratio():
            return
        self.announce.tell_suspicion(send.endpoint, ratio, now)

    def pump(self):
        """Wake the held requests that can go now."""
        for send in self.dispatcher.pump(self.clock()):
            self.held.pop(send.ticket).send(send)

    def wait_held(self, request):
        """Wait until a held request is sent or refused; return the decision."""
        ticket = request.ticket
        event = self.held[ticket] = green_event.Event()
        if self.keeper is None:
            self.keeper = eventlet.spawn(self._keep)
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
        self.keeper = None

    def mark_draining(self, identity, until):
        """Give an endpoint no new work and close idle connections to it."""
        self.dispatcher.mark_draining(identity, until)
        pool = self.pools.get(identity)
        if pool is not None and until > self.clock():
            pool.close_idle()


class RunnerTable:
    """The runners of all services that were asked for, made on first use.

    Parameters
    ----------
    blackboard : Blackboard
        Configuration, fleet and drain signs in force.
    rng : random.Random
        For the dispatchers.
    announce : Announcements
        Told of endpoints that leave and of overdue answers.
    """

    def __init__(self, blackboard, rng, announce, clock=time.monotonic):
        self.blackboard = blackboard
        self.rng = rng
        self.announce = announce
        self.clock = clock
        self.runners = {}
        self.ask_pool = AskBudget()
        self.curves = SlotCurves()
        self.guard = RequestGuard()
        self.limits = FleetLimits(rng, log_limit, self._is_declared)
        self._wire = None
        self._counters = None
        blackboard.watch("configuration", self.refresh)
        blackboard.watch("profile", self.refresh_profile)
        blackboard.watch("fleet", self.refresh)
        blackboard.watch("signs", self.refresh_signs)

    def get(self, name):
        """Return the runner of a service that is in force."""
        runner = self.runners.get(name)
        if runner is None:
            board = self.blackboard
            service = board.configuration.services[name]
            runner = ServiceRunner(
                service,
                board.fleet,
                self.rng,
                self.announce,
                self.ask_pool,
                self.curves,
                self.clock,
                self.guard,
                self.limits.get(name),
            )
            self.runners[name] = runner
            self._apply_signs(runner)
            self._apply_profile(runner)
        return runner

    def _is_declared(self, name):
        """Tell whether a service is in force."""
        return name in self.blackboard.configuration.services

    def open_rooms(self, wire, counters):
        """Let services ask endpoints though no request has come for them yet."""
        self._wire = wire
        self._counters = counters

    def look_at(self, name, endpoints):
        """Ask some endpoints of a service for their load, on behalf of no request."""
        if endpoints and self._is_declared(name):
            room = self.get(name).get_room(self._wire, self._counters)
            room.look_at(endpoints)

    def refresh(self):
        """Bring all runners to the configuration and fleet in force."""
        board = self.blackboard
        self.limits.keep(board.configuration.services)
        for name, runner in list(self.runners.items()):
            service = board.configuration.services.get(name)
            if service is None:
                self.runners.pop(name)
            elif (service, board.fleet) != (
                runner.dispatcher.service,
                runner.dispatcher.fleet,
            ):
                runner.configure(service, board.fleet)
                self._apply_signs(runner)

    def refresh_signs(self):
        """Bring all runners to the drain signs in force."""
        for runner in self.runners.values():
            self._apply_signs(runner)

    def _apply_signs(self, runner):
        for address, until in self.blackboard.signs.items():
            if address in runner.dispatcher.states:
                runner.mark_draining(address, until)

    def refresh_profile(self):
        """Let all runners know what other nodes have learnt."""
        services = self.blackboard.profile.services.values()
        self.curves.adopt(pool_profiles(services), self.clock())
        for runner in self.runners.values():
            self._apply_profile(runner)

    def _apply_profile(self, runner):
        name = runner.dispatcher.service.name
        profile = self.blackboard.profile.services.get(name)
        if profile is not None:
            runner.slots.adopt(profile, self.clock())

    def list_news(self):
        """Return the names of services of which the fleet should know more."""
        now = self.clock()
        return [
            name
            for name, runner in self.runners.items()
            if runner.slots.is_worth_telling(now)
        ]

    def take_news(self, only_urgent):
        """Return a Profile of own answers for the relay, or None if there are none.

        Parameters
        ----------
        only_urgent : bool
            Of services only of which the fleet does not know enough yet.
        """
        now = self.clock()
        news = {
            name: runner.slots.take_news(now)
            for name, runner in self.runners.items()
            if not (only_urgent and runner.slots.is_settled(now))
        }
        news = {name: profile for name, profile in news.items() if profile is not None}
        return Profile(news) if news else None

    def add_news(self, profile):
        """Take a Profile of another node's answers; of unknown services nothing."""
        now = self.clock()
        for name, news in profile.services.items():
            if name in self.blackboard.configuration.services:
                self.get(name).slots.add_news(news, now)

    def build_profiles(self, names):
        """Return the ServiceProfile of each of the services."""
        now = self.clock()
        return {name: self.runners[name].slots.build_profile(now) for name in names}

    def mark_told(self, profiles):
        """Note that others know all that is known here of some services.

        Parameters
        ----------
        profiles : dict
            ServiceProfile by name. A service that is gone by now is passed over.
        """
        now = self.clock()
        for name, profile in profiles.items():
            if name in self.runners:
                self.runners[name].slots.mark_told(profile, now)

    def note_suspicion(self, endpoint, ratio):
        """Take another node's word on an endpoint."""
        now = self.clock()
        for runner in self.runners.values():
            runner.dispatcher.note_suspicion(endpoint, ratio, now)

    def count_held(self):
        """Return the requests held at this node."""
        return sum(len(runner.held) for runner in self.runners.values())
