"""The services at this node and their shared state."""

import time

from hingesill_core.limits.querybudget import QueryBudget
from hingesill_core.quotas.decision import QuotaTolerance
from hingesill_core.ratelimits.fleet import FleetLimits
from hingesill_core.routing.availability import AvailabilityRegistry
from hingesill_core.routing.latencycurves import LatencyCurves, merge_level_profiles
from hingesill_core.routing.profile import Profile
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datapath.availabilitylog import AvailabilityLog
from hingesill_node.datapath.runner import ServiceRunner
from hingesill_node.quotas.gate import QuotaGate
from hingesill_node.ratelimits.exchange import log_limit

__all__ = ["RunnerTable"]


class RunnerTable:
    """The runners of services, created on first use.

    Parameters
    ----------
    blackboard : Blackboard
        Current configuration, fleet and drain notices.
    rng : random.Random
        Source of randomness of the dispatchers.
    announcements : Announcements
        Sends leaving endpoints and overdue answers to other nodes.
    tolerance : QuotaTolerance
        How far the requests of all nodes together may exceed an organisation's quota.
    """

    def __init__(
        self,
        blackboard,
        rng,
        announcements,
        clock=time.monotonic,
        tolerance=QuotaTolerance(),
    ):
        self.blackboard = blackboard
        self.rng = rng
        self.announcements = announcements
        self.clock = clock
        self.runners = {}
        self.query_pool = QueryBudget()
        self.curves = LatencyCurves()
        self.guard = RequestGuard()
        self.limits = FleetLimits(rng, log_limit, self._is_declared)
        self.quotas = QuotaGate(rng, tolerance, clock)
        self.availability_log = AvailabilityLog(clock)
        self.availabilities = AvailabilityRegistry(self.availability_log.record)
        self.forwarder = None
        self.stops_at = None
        self._wire = None
        self._counters = None
        blackboard.watch("configuration", self.refresh)
        blackboard.watch("profile", self.refresh_profile)
        blackboard.watch("fleet", self.refresh)
        blackboard.watch("signs", self.refresh_drain_notices)
        blackboard.watch("stop_seconds", self.refresh_stop)

    def get(self, name):
        """Return the runner of a declared service."""
        runner = self.runners.get(name)
        if runner is None:
            board = self.blackboard
            service = board.configuration.services[name]
            runner = ServiceRunner(
                service,
                board.fleet,
                self.rng,
                self.announcements,
                self.query_pool,
                self.curves,
                self.clock,
                self.guard,
                self.limits.get(name),
                self.availabilities,
                self.forwarder,
            )
            runner.dispatcher.planned_stop.ends_at = self.stops_at
            self.runners[name] = runner
            self._apply_drain_notices(runner)
            self._apply_profile(runner)
        return runner

    def _is_declared(self, name):
        """Return whether a service is in the current configuration."""
        return name in self.blackboard.configuration.services

    def enable_load_queries(self, wire, counters):
        """Allow load queries for services that have had no request yet."""
        self._wire = wire
        self._counters = counters
        self.availability_log.counters = counters
        self.quotas.labels.counters = counters

    def count_unreachable(self):
        """Return the number of services of which no endpoint can be reached."""
        return sum(
            runner.dispatcher.reachability.lost_at is not None
            for runner in self.runners.values()
        )

    def query_load(self, name, endpoints):
        """Query the load of some endpoints of a service without a request."""
        if endpoints and self._is_declared(name):
            query_client = self.get(name).get_query_client(self._wire, self._counters)
            query_client.query_load(endpoints)

    def refresh(self):
        """Apply the current configuration and fleet to all runners."""
        board = self.blackboard
        self.limits.keep(board.configuration.services)
        self.quotas.configure(board.configuration.organisations)
        for name, runner in list(self.runners.items()):
            service = board.configuration.services.get(name)
            if service is None:
                self.runners.pop(name)
            elif (service, board.fleet) != (
                runner.dispatcher.service,
                runner.dispatcher.fleet,
            ):
                runner.configure(service, board.fleet)
                self._apply_drain_notices(runner)

    def refresh_stop(self):
        """Apply the end of a planned stop to all runners."""
        self.stops_at = self.clock() + self.blackboard.stop_seconds
        for runner in self.runners.values():
            runner.dispatcher.planned_stop.ends_at = self.stops_at

    def refresh_drain_notices(self):
        """Apply the current drain notices to all runners."""
        for runner in self.runners.values():
            self._apply_drain_notices(runner)

    def _apply_drain_notices(self, runner):
        for address, until in self.blackboard.signs.items():
            if address in runner.dispatcher.states:
                runner.mark_draining(address, until)

    def refresh_profile(self):
        """Apply the profile, which holds other nodes' observations, to all runners."""
        services = self.blackboard.profile.services.values()
        self.curves.adopt(merge_level_profiles(services), self.clock())
        for runner in self.runners.values():
            self._apply_profile(runner)

    def _apply_profile(self, runner):
        name = runner.dispatcher.service.name
        profile = self.blackboard.profile.services.get(name)
        if profile is not None:
            runner.concurrency.adopt(profile, self.clock())

    def list_unpublished(self):
        """Return the names of services with observations worth publishing."""
        now = self.clock()
        return [
            name
            for name, runner in self.runners.items()
            if runner.concurrency.should_publish(now)
        ]

    def take_unreported(self, only_urgent):
        """Return a Profile of this node's unreported observations, or None if none.

        Parameters
        ----------
        only_urgent : bool
            Whether to include only services whose concurrency model is not yet
            stable.
        """
        now = self.clock()
        observations = {
            name: runner.concurrency.take_unreported(now)
            for name, runner in self.runners.items()
            if not (only_urgent and runner.concurrency.is_stable(now))
        }
        observations = {
            name: profile
            for name, profile in observations.items()
            if profile is not None
        }
        return Profile(observations) if observations else None

    def merge_report(self, profile):
        """Merge a Profile of another node's observations.

        Services that are not in the current configuration are skipped.
        """
        now = self.clock()
        for name, observations in profile.services.items():
            if name in self.blackboard.configuration.services:
                self.get(name).concurrency.merge_report(observations, now)

    def build_profiles(self, names):
        """Return the ServiceProfile of each of the services by name."""
        now = self.clock()
        return {
            name: self.runners[name].concurrency.build_profile(now) for name in names
        }

    def mark_published(self, profiles):
        """Record that the profiles of some services have been published.

        Parameters
        ----------
        profiles : dict
            ServiceProfile by name. Services without a runner are skipped.
        """
        now = self.clock()
        for name, profile in profiles.items():
            if name in self.runners:
                self.runners[name].concurrency.mark_published(profile, now)

    def record_suspicion(self, endpoint, ratio):
        """Record another node's suspicion of an endpoint."""
        now = self.clock()
        for runner in self.runners.values():
            runner.dispatcher.record_suspicion(endpoint, ratio, now)

    def count_queued(self):
        """Return the number of requests queued at this node."""
        return sum(len(runner.queued) for runner in self.runners.values())
