"""The control of a node that follows a directory in the platform's store."""

import random

import eventlet

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.configuration.services import SendBudget
from hingesill_core.discovery.assembly import ServiceRules, build_services
from hingesill_core.discovery.difference import find_changed_evacuations
from hingesill_core.discovery.fleetsize import FleetSize
from hingesill_core.discovery.records import NodeRecord
from hingesill_core.discovery.relays import RelayChoice
from hingesill_core.routing.fleetview import FleetView
from hingesill_node.blackboard import Configuration
from hingesill_node.clocks import read_boot_time
from hingesill_node.crashes.crashgossip import CrashGossip
from hingesill_node.crashes.quarantinestore import QuarantineStore
from hingesill_node.datagramport import DatagramPort
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.discovery.follower import Follower
from hingesill_node.discovery.peers import PeerApplication, PeerClient
from hingesill_node.discovery.profiles import ProfileStore
from hingesill_node.discovery.registration import Registration
from hingesill_node.discovery.relayclient import RelayClient
from hingesill_node.discovery.reports import Reporter
from hingesill_node.discovery.source import open_source
from hingesill_node.listeners import split_address
from hingesill_node.ratelimits.exchange import LimitExchange
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["DirectoryControl", "NoAnnouncements"]

# Factor of the known nodes by which connections are shared out, as nodes may start
# before others know of them.
ROOM_FOR_NODES = 2
SILENT_SECONDS = 3.0
# A node that enters itself asks for a lease and writes its entry under that.
ENTERING_WRITES = 2
# Of the store's writes while all nodes enter again; the endpoints and the operator
# write at that time too.
ENTERING_SHARE = 0.6


class NoAnnouncements:
    """For nodes that tell each other nothing of endpoints."""

    is_connected = False

    def announce_drain(self, endpoint):
        """Drop the word that an endpoint is leaving: its entry says so too."""

    def announce_suspicion(self, endpoint, ratio, now):
        """Drop the word that an answer is overdue."""


class DirectoryControl:
    """Follows the directory and publishes it to the blackboard.

    Parameters
    ----------
    settings : Settings
        Validated.
    blackboard : Blackboard
        Its configuration and fleet are written.
    counters : Counters
        Of the node.
    """

    def __init__(self, settings, blackboard, counters):
        self.settings = settings
        self.blackboard = blackboard
        self.counters = counters
        self.announcements = NoAnnouncements()
        self.address = settings.control_address
        self.rules = ServiceRules(
            probes_per_second=settings.probes_per_second,
            probe_window=settings.probe_window_s,
            sends=SendBudget(
                settings.hedge_share, settings.retry_share, settings.extra_sends
            ),
            queue_limit=settings.queue_limit,
            regions=parse_regions(settings.regions),
        )
        source = open_source(settings.directory)
        vm = settings.vm or settings.name
        peers = PeerClient(vm, settings.data_centre)
        entry = NodeRecord(vm, self.address, settings.data_centre, settings.strength)
        choice = RelayChoice(entry, random.Random())
        # How old a belief is counts the time in which the VM was suspended.
        self.clock = read_boot_time
        self.follower = Follower(
            source, peers, self.publish, choice, RelayClient(), self.clock, counters
        )
        self.registration = Registration(
            source,
            entry,
            self._lists,
            lambda: self.follower.is_store_available,
            lambda: self.follower.directory.position.era,
            self._get_entering_seconds,
            self.clock,
        )
        self.profiles = None
        self.holds = None
        self.fleet_size = FleetSize()
        self._declared = None
        self._routes = RouteTable(())
        self._evacuated = {}
        self._held = {}

    def start(self, runners):
        """See `node.Control`."""
        try:
            listener = listen(self.address, False)
        except OSError as error:
            return f"control_address {self.address}: {error.strerror}"
        follower = self.follower
        application = PeerApplication(
            follower.directory,
            follower.feed,
            runners.merge_report,
            lambda: follower.is_sure,
        )
        start_server(listener, application)
        self.follower.start()
        eventlet.spawn(self.registration.run)
        self.profiles = ProfileStore(
            follower.source,
            follower.directory,
            runners,
            follower.is_watching_for_others,
            self.clock,
        )
        eventlet.spawn(self.profiles.run)
        eventlet.spawn(Reporter(follower.find_relay, runners, self.clock).run)
        self._start_guard(runners.guard)
        return self._start_datagrams(runners)

    def _start_guard(self, guard):
        """Keep in the store which requests are held back."""
        follower = self.follower
        self.holds = QuarantineStore(
            follower.source,
            follower.directory,
            guard,
            follower.is_watching_for_others,
            lambda: follower.is_store_available,
        )
        self.holds.take(follower.directory.held)
        eventlet.spawn(self.holds.run)

    def _start_datagrams(self, runners):
        """Let nodes tell each other what they need not agree on; see `start`."""
        port = DatagramPort(self.counters)
        try:
            port.start(self.address)
        except OSError as error:
            return f"control_address {self.address}: {error.strerror}"
        CrashGossip(runners.guard, self.list_peers, self.counters).start(port)
        LimitExchange(
            runners.limits, port, self.list_peers, runners, self.counters
        ).start(split_address(self.address))
        return ""

    def list_peers(self):
        """Return IP number and port of the control address of each other node."""
        nodes = self.follower.directory.nodes.values()
        own = self.follower.choice.own.name
        return [split_address(node.address) for node in nodes if node.name != own]

    def publish(self, directory):
        """Put what the directory holds in force."""
        fleet = self._build_fleet(directory)
        if fleet != self.blackboard.fleet:
            self.blackboard.write("fleet", fleet)
        profile = directory.profile
        if profile is not None and profile is not self.blackboard.profile:
            self.blackboard.write("profile", profile)
        if directory.held is not self._held and self.holds is not None:
            self._held = directory.held
            self.holds.take(directory.held)
        self._log_evacuations(directory)
        if directory.declared is None:
            return
        declared = directory.declared
        # Written again after a restore, a version may have other content.
        if declared is not self._declared:
            self._declared = declared
            self._routes = RouteTable(declared.routes)
            log_event(
                Event.CONFIGURATION_IN_FORCE,
                version=declared.version,
                position=str(directory.position),
                routes=len(declared.routes),
            )
        services = build_services(directory, self.rules)
        configuration = Configuration(
            declared.version, services, self._routes, declared.limits
        )
        self.blackboard.write("configuration", configuration)

    def _log_evacuations(self, directory):
        """Write a line for each data centre whose evacuation begins or ends here."""
        before, self._evacuated = self._evacuated, directory.evacuated
        for name, requested in find_changed_evacuations(
            before, directory.evacuated
        ).items():
            event = Event.EVACUATION_IN_FORCE
            if requested is None:
                event = Event.EVACUATION_ENDED
            log_event(
                event,
                data_centre=name,
                requested=requested,
                position=str(directory.position),
            )

    def _lists(self, node):
        """Tell whether the store lists a node's entry, as far as is known."""
        directory = self.follower.directory
        is_held = directory.nodes.get(node.name) == node
        return is_held and node.name not in directory.unlisted

    def _get_entering_seconds(self):
        """Return the seconds over which nodes enter themselves after a restore."""
        writes = ENTERING_WRITES * len(self.follower.directory.nodes)
        return writes / (ENTERING_SHARE * self.settings.store_writes_per_second)

    def _build_fleet(self, directory):
        nodes = self.fleet_size.note(len(directory.nodes), self.clock())
        limit = ROOM_FOR_NODES * nodes
        # Looked for only where it decides who saves a token up: a view that changes
        # with each node that comes makes all services be configured anew.
        place = 0
        if nodes > self.settings.extra_sends:
            place = find_node_index(directory.nodes, self.follower.choice.own.name)
        return FleetView(self.settings.data_centre, nodes, limit, place)

    def is_initialized(self):
        """See `node.Control`."""
        return self.follower.is_initialized()

    def is_connected(self):
        """See `node.Control`."""
        return self.follower.get_silence() < SILENT_SECONDS

    def get_confirmed_age(self):
        """See `node.Control`."""
        return self.follower.get_silence()

    def count_invalid(self):
        """See `node.Control`."""
        return self.follower.source.count_invalid()

    def apply(self, settings):
        """See `node.Control`; the store may move, the rest needs a new start."""
        if settings.directory == self.settings.directory:
            return []
        self.settings = settings
        self.follower.move(open_source(settings.directory))
        self.registration.source = self.follower.source
        self.profiles.source = self.follower.source
        self.holds.source = self.follower.source
        return ["directory"]

    def leave(self):
        """See `node.Control`."""
        self.follower.leave()

    def stop(self):
        """Green threads end with the process."""


def find_node_index(nodes, name):
    """Return how many nodes' names go before one; None if it is not among them."""
    return sum(other < name for other in nodes) if name in nodes else None


def parse_regions(text):
    """Return the region by data centre of a setting that was checked."""
    return dict(item.split("=") for item in text.split(",") if item)
