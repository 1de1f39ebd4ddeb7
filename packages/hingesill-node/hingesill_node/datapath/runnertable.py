"""The services at this node, and what they share."""

import time

from hingesill_core.limits.querybudget import QueryBudget
from hingesill_core.ratelimits.fleet import FleetLimits
from hingesill_core.routing.availability import AvailabilityRegistry
from hingesill_core.routing.latencycurves import LatencyCurves, merge_level_profiles
from hingesill_core.routing.profile import Profile
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datapath.availabilitylog import AvailabilityLog
from hingesill_node.datapath.runner import ServiceRunner
from hingesill_node.ratelimits.exchange import log_limit

__all__ = ["RunnerTable"]


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
        self.query_pool = QueryBudget()
        self.curves = LatencyCurves()
        self.guard = RequestGuard()
        self.limits = FleetLimits(rng, log_limit, self._is_declared)
        self.availability_log = AvailabilityLog(clock)
        self.availabilities = AvailabilityRegistry(self.availability_log.note)
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
                self.query_pool,
                self.curves,
                self.clock,
                self.guard,
                self.limits.get(name),
                self.availabilities,
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
        self.availability_log.counters = counters

    def query_load(self, name, endpoints):
        """Ask some endpoints of a service for their load, on behalf of no request."""
        if endpoints and self._is_declared(name):
            room = self.get(name).get_room(self._wire, self._counters)
            room.query_load(endpoints)

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
        self.curves.adopt(merge_level_profiles(services), self.clock())
        for runner in self.runners.values():
            self._apply_profile(runner)

    def _apply_profile(self, runner):
        name = runner.dispatcher.service.name
        profile = self.blackboard.profile.services.get(name)
        if profile is not None:
            runner.slots.adopt(profile, self.clock())

    def list_unpublished(self):
        """Return the names of services of which the fleet should know more."""
        now = self.clock()
        return [
            name
            for name, runner in self.runners.items()
            if runner.slots.should_publish(now)
        ]

    def take_unreported(self, only_urgent):
        """Return a Profile of own answers for the relay, or None if there are none.

        Parameters
        ----------
        only_urgent : bool
            Of services only of which the fleet does not know enough yet.
        """
        now = self.clock()
        news = {
            name: runner.slots.take_unreported(now)
            for name, runner in self.runners.items()
            if not (only_urgent and runner.slots.is_stable(now))
        }
        news = {name: profile for name, profile in news.items() if profile is not None}
        return Profile(news) if news else None

    def merge_report(self, profile):
        """Take a Profile of another node's answers; of unknown services nothing."""
        now = self.clock()
        for name, news in profile.services.items():
            if name in self.blackboard.configuration.services:
                self.get(name).slots.merge_report(news, now)

    def build_profiles(self, names):
        """Return the ServiceProfile of each of the services."""
        now = self.clock()
        return {name: self.runners[name].slots.build_profile(now) for name in names}

    def mark_published(self, profiles):
        """Note that others know all that is known here of some services.

        Parameters
        ----------
        profiles : dict
            ServiceProfile by name. A service that is gone by now is passed over.
        """
        now = self.clock()
        for name, profile in profiles.items():
            if name in self.runners:
                self.runners[name].slots.mark_published(profile, now)

    def record_suspicion(self, endpoint, ratio):
        """Take another node's word on an endpoint."""
        now = self.clock()
        for runner in self.runners.values():
            runner.dispatcher.record_suspicion(endpoint, ratio, now)

    def count_held(self):
        """Return the requests held at this node."""
        return sum(len(runner.held) for runner in self.runners.values())
