"""Control of a node that follows a directory in the platform's store."""

import random

import eventlet
from msgspec.structs import replace

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.configuration.services import SendBudget
from hingesill_core.discovery.assembly import ServiceRules, build_services
from hingesill_core.discovery.difference import find_changed_evacuations
from hingesill_core.discovery.fleetsize import FleetSize
from hingesill_core.discovery.records import NodeRecord
from hingesill_core.discovery.relays import RelayChoice
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.routing.fleetview import FleetView
from hingesill_node.blackboard import Configuration
from hingesill_node.clocks import read_boot_time
from hingesill_node.crashes.crashgossip import CrashGossip
from hingesill_node.crashes.quarantinestore import QuarantineStore
from hingesill_node.datagramport import DatagramPort
from hingesill_node.datapath.requestmemory import RequestMemory
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.discovery.follower import Follower
from hingesill_node.discovery.introductions import IntroductionExchange
from hingesill_node.discovery.peers import PeerApplication, PeerClient
from hingesill_node.discovery.profiles import ProfileStore
from hingesill_node.discovery.registration import Registration
from hingesill_node.discovery.relayclient import RelayClient
from hingesill_node.discovery.reports import Reporter
from hingesill_node.discovery.source import open_source
from hingesill_node.listeners import split_address
from hingesill_node.quotas.exchange import QuotaExchange
from hingesill_node.ratelimits.exchange import LimitExchange
from hingesill_node.resources import compute_control_bytes, compute_limits
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["DirectoryControl", "NoAnnouncements"]

# Connections are divided among the known nodes times this factor, as nodes may start
# before others know of them.
NODE_HEADROOM_FACTOR = 2
MAX_SILENCE_SECONDS = 3.0
# A node that registers creates a lease and writes its entry under it.
REGISTRATION_WRITES = 2
# Share of the store's write rate for nodes that register again; the endpoints and the
# operator write at the same time.
REGISTRATION_WRITE_SHARE = 0.6


class NoAnnouncements:
    """Announcements of a node that sends no notices on endpoints to other nodes."""

    is_connected = False

    def announce_drain(self, endpoint):
        """Drop a drain notice: the endpoint's entry in the store says so too."""

    def announce_suspicion(self, endpoint, ratio, now):
        """Drop a suspicion that a response is overdue."""


class DirectoryControl:
    """Follows the store and publishes the directory to the blackboard.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    blackboard : Blackboard
        Receives the configuration, the fleet and the profile.
    counters : Counters
        Counters of the node.
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
        # The boot-time clock counts time during which the VM is suspended, so that the
        # age of the directory includes it.
        self.clock = read_boot_time
        peers = PeerClient(
            vm, settings.data_centre, address=self.address, clock=self.clock
        )
        entry = NodeRecord(
            vm,
            self.address,
            settings.data_centre,
            settings.strength,
            settings.forward_port,
        )
        choice = RelayChoice(entry, random.Random())
        self.follower = Follower(
            source, peers, self.publish, choice, RelayClient(), self.clock, counters
        )
        self.registration = Registration(
            source,
            entry,
            self._is_listed,
            lambda: self.follower.is_store_available,
            lambda: self.follower.directory.position.era,
            self._get_registration_spread_seconds,
            self.clock,
        )
        self.profiles = None
        self.quarantine_store = None
        self.fleet_size = FleetSize()
        self._declared = None
        self._routes = RouteTable(())
        self._keys = None
        self._evacuated = {}
        self._quarantined = {}

    def start(self, runners):
        """See `node.Control`."""
        try:
            unread = self.settings.receive_buffer_bytes
            listener = listen(self.address, False, unread)
        except OSError as error:
            return f"control_address {self.address}: {error.strerror}"
        follower = self.follower
        application = PeerApplication(
            follower.directory,
            follower.feed,
            runners.merge_report,
            lambda: follower.is_confirmed,
        )
        limits = compute_limits(self.settings)["control"]
        memory = RequestMemory(compute_control_bytes(self.settings))
        start_server(listener, application, "control", self.counters, limits, memory)
        self.follower.start()
        eventlet.spawn(self.registration.run)
        self.profiles = ProfileStore(
            follower.source,
            follower.directory,
            runners,
            follower.is_active_relay,
            self.clock,
        )
        eventlet.spawn(self.profiles.run)
        eventlet.spawn(Reporter(follower.find_relay, runners, self.clock).run)
        self._start_quarantine_store(runners.guard)
        return self._start_datagrams(runners)

    def _start_quarantine_store(self, guard):
        """Synchronise quarantined requests with the store."""
        follower = self.follower
        self.quarantine_store = QuarantineStore(
            follower.source,
            follower.directory,
            guard,
            follower.is_active_relay,
            lambda: follower.is_store_available,
        )
        self.quarantine_store.take(follower.directory.held)
        eventlet.spawn(self.quarantine_store.run)

    def _start_datagrams(self, runners):
        """Start messages on crashes, limits and quotas by datagrams; see `start`."""
        port = DatagramPort(self.counters)
        try:
            port.start(self.address)
        except OSError as error:
            return f"control_address {self.address}: {error.strerror}"
        follower = self.follower
        IntroductionExchange(
            follower.choice.own,
            self.list_peers,
            lambda: follower.is_confirmed and follower.is_store_available,
            follower.peers.record_introduction,
            self.counters,
            self.clock,
        ).start(port)
        CrashGossip(runners.guard, self.list_peers, self.counters).start(port)
        LimitExchange(
            runners.limits, port, self.list_peers, runners, self.counters
        ).start(split_address(self.address))
        QuotaExchange(runners.quotas, port, self.list_peers, self.counters).start(
            split_address(self.address)
        )
        return ""

    def list_peers(self):
        """Return IP address and port of the control address of each other node."""
        nodes = self.follower.directory.nodes.values()
        own = self.follower.choice.own.name
        return [split_address(node.address) for node in nodes if node.name != own]

    def publish(self, directory):
        """Publish the directory's content to the blackboard."""
        fleet = self._build_fleet(directory)
        if fleet != self.blackboard.fleet:
            self.blackboard.write("fleet", fleet)
        profile = directory.profile
        if profile is not None and profile is not self.blackboard.profile:
            self.blackboard.write("profile", profile)
        if (
            directory.held is not self._quarantined
            and self.quarantine_store is not None
        ):
            self._quarantined = directory.held
            self.quarantine_store.take(directory.held)
        self._log_evacuations(directory)
        if directory.declared is None:
            return
        declared = directory.declared
        # A version that is written again after a restore may have other content.
        if declared is not self._declared:
            self._declared = declared
            self._routes = RouteTable(declared.routes)
            self._keys = build_key_table(declared.organisations)
            log_event(
                Event.CONFIGURATION_IN_FORCE,
                version=declared.version,
                position=str(directory.position),
                routes=len(declared.routes),
            )
        services = build_services(directory, self.rules)
        configuration = Configuration(
            declared.version,
            services,
            self._routes,
            declared.limits,
            declared.organisations,
            self._keys,
        )
        self.blackboard.write("configuration", configuration)

    def _log_evacuations(self, directory):
        """Log each evacuation that starts or ends with this directory."""
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

    def _is_listed(self, node):
        """Return whether the store lists a node's entry, as far as is known."""
        directory = self.follower.directory
        known = directory.nodes.get(node.name)
        if known is None or node.name in directory.unlisted:
            return False
        # A relay of an older build passes entries on without the port.
        return replace(known, forward_port=node.forward_port) == node

    def _get_registration_spread_seconds(self):
        """Return the seconds over which all nodes register again after a restore."""
        writes = REGISTRATION_WRITES * len(self.follower.directory.nodes)
        return writes / (
            REGISTRATION_WRITE_SHARE * self.settings.store_writes_per_second
        )

    def _build_fleet(self, directory):
        nodes = self.fleet_size.record(len(directory.nodes), self.clock())
        limit = NODE_HEADROOM_FACTOR * nodes
        # The index matters only if the nodes outnumber the extra sends, as it decides
        # which nodes accumulate tokens. A fleet view that changes with each new node
        # would make all services be configured again.
        node_index = 0
        if nodes > self.settings.extra_sends:
            node_index = find_node_index(directory.nodes, self.follower.choice.own.name)
        return FleetView(self.settings.data_centre, nodes, limit, node_index)

    def is_initialized(self):
        """See `node.Control`."""
        return self.follower.is_initialized()

    def is_connected(self):
        """See `node.Control`."""
        return self.follower.get_contact_age() < MAX_SILENCE_SECONDS

    def get_nodes(self):
        """See `node.Control`."""
        return self.follower.directory.nodes

    def get_confirmed_age(self):
        """See `node.Control`."""
        return self.follower.get_contact_age()

    def count_invalid(self):
        """See `node.Control`."""
        return self.follower.source.count_invalid()

    def apply(self, settings):
        """See `node.Control`; only the store's address applies without a restart."""
        if settings.directory == self.settings.directory:
            return []
        self.settings = settings
        self.follower.replace_source(open_source(settings.directory))
        self.registration.source = self.follower.source
        self.profiles.source = self.follower.source
        self.quarantine_store.source = self.follower.source
        return ["directory"]

    def leave(self):
        """See `node.Control`."""
        self.follower.stop_relaying()

    def stop(self):
        """Do nothing: green threads end with the process."""


def build_key_table(organisations):
    """Return the KeyTable of a declaration, None if it has no organisations."""
    return None if organisations is None else KeyTable(organisations.values())


def find_node_index(nodes, name):
    """Return the number of nodes whose names sort before a name; None if unknown."""
    return sum(other < name for other in nodes) if name in nodes else None


def parse_regions(text):
    """Return the region by data centre from a validated setting."""
    return dict(item.split("=") for item in text.split(",") if item)
