"""Shared state that the node's controllers read and write.

Only the hub's thread accesses it. Other threads post their writes through the
`Bridge`.
"""

from collections import defaultdict
from enum import Enum

from msgspec import Struct, field

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.discovery.records import Limits
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.probing.probeshare import ProbeShare
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.profile import Profile

__all__ = ["Blackboard", "Configuration", "Phase"]


class Phase(str, Enum):
    """Phase of the node's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    ISOLATED = "isolated"
    STOPPING = "stopping"


class Configuration(Struct, frozen=True):
    """All services in force at a revision, with their route table.

    Parameters
    ----------
    revision : int
        Version of the configuration; 0 before the first one.
    services : dict
        Service by name.
    routes : RouteTable
        All routes.
    limits : Limits
        Limits for callers.
    organisations : dict or None
        Organisation by name; None if callers need no keys.
    keys : KeyTable or None
        The keys of all organisations; None if callers need no keys.
    """

    revision: int = 0
    services: dict = field(default_factory=dict)
    routes: RouteTable = field(default_factory=lambda: RouteTable(()))
    limits: Limits = Limits()
    organisations: dict | None = None
    keys: KeyTable | None = None


class Blackboard(Struct):
    """The node's shared state.

    Attributes
    ----------
    configuration : Configuration
        Written by the publisher of the control thread.
    fleet : FleetView
        Written by the membership controller.
    signs : dict
        Expiry of each endpoint's drain notice, in the node's clock seconds.
    peers : tuple
        Host and port of other nodes' control addresses, nearest first.
    listed : tuple
        Addresses of the control ports of all other nodes in the platform's list, also
        of those that did not answer this node recently.
    nodes : dict
        NodeRecord by name of all nodes in the platform's list; written by the publisher
        of the control thread.
    probe_share : ProbeShare or None
        Written by the component that holds the lease.
    profile : Profile
        Observations that nodes share about the services; written by the control.
    phase : Phase
        Written by the `Lifecycle`.
    stop_seconds : float or None
        Seconds from the write of the field to the end of the process; None before a
        planned stop. Written by the `Lifecycle`.
    in_flight : int
        Number of callers' requests without a final answer.
    """

    fleet: FleetView
    configuration: Configuration = field(default_factory=Configuration)
    signs: dict = field(default_factory=dict)
    peers: tuple = ()
    listed: tuple = ()
    nodes: dict = field(default_factory=dict)
    probe_share: ProbeShare | None = None
    profile: Profile = field(default_factory=Profile)
    phase: Phase = Phase.STARTING
    stop_seconds: float | None = None
    in_flight: int = 0
    _watchers: dict = field(default_factory=lambda: defaultdict(list))

    def watch(self, name, callback):
        """Register a function to call after each write of a field."""
        self._watchers[name].append(callback)

    def write(self, name, value):
        """Write a field and call its watchers."""
        if name not in self.__struct_fields__:
            raise AttributeError(f"the blackboard has no field {name!r}")
        setattr(self, name, value)
        for callback in self._watchers[name]:
            callback()

    @property
    def is_ready(self):
        """Return whether the platform's balancer should send callers to this node."""
        return self.phase is Phase.SERVING
