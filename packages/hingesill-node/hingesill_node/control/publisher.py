"""Publication of the state of the control thread on the blackboard of the hub."""

from msgspec.structs import replace

from hingesill_core.configuration.declaration import build_service, parse_declaration
from hingesill_core.configuration.log import is_organisation
from hingesill_core.configuration.organisations import (
    build_organisation,
    parse_organisation,
)
from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.discovery.records import NodeRecord
from hingesill_core.findings import Findings
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.routing.fleetview import FleetView
from hingesill_node.blackboard import Configuration
from hingesill_node.listeners import split_address
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Publisher"]


class Publisher:
    """Posts configuration, fleet, peers and drain notices when they have changed.

    Parameters
    ----------
    blackboard : Blackboard
        Written on the thread of the hub only.
    bridge : Bridge
        Runs the writes on the thread of the hub.
    fleet_limit : int
        Limit for the FleetView.
    """

    def __init__(self, blackboard, bridge, fleet_limit):
        self.blackboard = blackboard
        self.bridge = bridge
        self.fleet_limit = fleet_limit
        self.revision = 0
        self.fleet = None
        self.peers = ()
        self.listed = ()
        self.nodes = {}
        self.generation = 0
        self._built = {}
        self._organisations = None
        self._keys = None

    def publish(self, state):
        """Post the parts that have changed since the last call."""
        if state.replica.revision != self.revision:
            self.revision = state.replica.revision
            configuration = self._build_configuration(state.replica)
            self.bridge.post(self.blackboard.write, "configuration", configuration)
            log_event(Event.CONFIGURATION_IN_FORCE, revision=self.revision)
        fleet = self._build_fleet(state)
        if fleet != self.fleet:
            self.fleet = fleet
            self.bridge.post(self.blackboard.write, "fleet", fleet)
        peers = list_peers(state)
        if peers != self.peers:
            self.peers = peers
            self.bridge.post(self.blackboard.write, "peers", peers)
        listed = list_others(state)
        if listed != self.listed:
            self.listed = listed
            self.bridge.post(self.blackboard.write, "listed", listed)
        nodes = build_nodes(state)
        if nodes != self.nodes:
            self.nodes = nodes
            self.bridge.post(self.blackboard.write, "nodes", nodes)
        if state.drain_notices.generation != self.generation:
            self.generation = state.drain_notices.generation
            notices = state.drain_notices.list_until(0.0)
            self.bridge.post(self.blackboard.write, "signs", notices)

    def publish_share(self, share):
        """Post the share of the probe budget, or None if there is none."""
        copy = None if share is None else replace(share)
        self.bridge.post(self.blackboard.write, "probe_share", copy)

    def _build_fleet(self, state):
        nodes = len(state.membership.list_usable(state.clock()))
        return FleetView(state.own.data_centre, nodes, self.fleet_limit)

    def _build_configuration(self, replica):
        """Return the Configuration of a replica, parsing only new versions."""
        built = {}
        for name, versioned in replica.services.items():
            if versioned.document is None:
                continue
            known = self._built.get(name)
            if known is None or known[0] != versioned.version:
                last_good = known[1] if known is not None else None
                known = (versioned.version, self._parse(name, versioned) or last_good)
            built[name] = known
        self._built = built
        services = {
            name: item
            for name, (_, item) in built.items()
            if item is not None and not is_organisation(name)
        }
        self._build_organisations(replica, built)
        return Configuration(
            replica.revision,
            services,
            RouteTable(list_routes(services)),
            organisations=self._organisations,
            keys=self._keys,
        )

    def _build_organisations(self, replica, built):
        """Build the organisations and their keys, unless they are unchanged.

        Notes
        -----
        The tombstone of an organisation counts as well: routes do not become open to
        all because an operator removed the last organisation.
        """
        if not any(map(is_organisation, replica.services)):
            self._organisations = self._keys = None
            return
        organisations = {
            item.name: item
            for name, (_, item) in sorted(built.items())
            if item is not None and is_organisation(name)
        }
        if organisations != self._organisations:
            self._organisations = organisations
            self._keys = KeyTable(organisations.values())

    def _parse(self, name, versioned):
        """Return the Service or Organisation of a document, None if it is invalid."""
        findings = Findings()
        if is_organisation(name):
            parse, build = parse_organisation, build_organisation
        else:
            parse, build = parse_declaration, build_service
        declaration = parse(versioned.document, findings)
        if declaration is None:
            log_event(
                Event.DOCUMENT_INVALID,
                service=name,
                version=versioned.version,
                findings=[str(finding) for finding in findings],
            )
            return None
        return build(declaration)


def list_routes(services):
    """Yield the routes of all services."""
    for service in services.values():
        yield from service.routes


def list_peers(state):
    """Return the addresses of other nodes, those of the same data centre first."""
    own = state.own
    others = [
        vm for vm in state.membership.list_usable(state.clock()) if vm.name != own.name
    ]
    others.sort(key=lambda vm: (vm.data_centre != own.data_centre, vm.name))
    return tuple(split_address(vm.control) for vm in others)


def build_nodes(state):
    """Return the NodeRecord of each node in the list of VMs by name."""
    return {
        vm.name: NodeRecord(
            vm.name, vm.control, vm.data_centre, forward_port=vm.forward_port
        )
        for vm in state.membership.list_all()
    }


def list_others(state):
    """Return the addresses of all other nodes in the list of VMs.

    Notes
    -----
    Nodes that do not answer this node are included. Quotas need the same list at all
    nodes: otherwise two nodes each take themselves for the coordinator, and each is in
    the list of a third one.
    """
    others = [vm for vm in state.membership.list_all() if vm.name != state.own.name]
    others.sort(key=lambda vm: vm.name)
    return tuple(split_address(vm.control) for vm in others)
