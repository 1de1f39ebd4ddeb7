"""The blackboard: what the node's controllers read and write.

Only the hub's thread touches it. Other threads hand their writes over through
the `Bridge`.
"""

from collections import defaultdict
from enum import Enum

from msgspec import Struct, field

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.discovery.records import Limits
from hingesill_core.probing.probeshare import ProbeShare
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.profile import Profile

__all__ = ["Blackboard", "Configuration", "Phase"]


class Phase(str, Enum):
    """Where the node stands between its start and its end."""

    STARTING = "starting"
    SERVING = "serving"
    ISOLATED = "isolated"
    STOPPING = "stopping"


class Configuration(Struct, frozen=True):
    """All services in force at a revision, with the table of their routes."""

    revision: int = 0
    services: dict = field(default_factory=dict)
    routes: RouteTable = field(default_factory=lambda: RouteTable(()))
    limits: Limits = Limits()


class Blackboard(Struct):
    """The node's shared state.

    Attributes
    ----------
    configuration : Configuration
        Written by the control thread's publisher.
    fleet : FleetView
        Written by the membership controller.
    signs : dict
        Until when each endpoint's drain sign holds, in the node's seconds.
    peers : tuple
        Host and port of other nodes' control addresses, the nearest first.
    probe_share : Share or None
        Written by the holder of the lease.
    profile : Profile
        What nodes have learnt of the services; written by the control.
    phase : Phase
        Written by the life cycle.
    in_flight : int
        Requests of callers that have no final answer yet.
    """

    fleet: FleetView
    configuration: Configuration = field(default_factory=Configuration)
    signs: dict = field(default_factory=dict)
    peers: tuple = ()
    probe_share: ProbeShare | None = None
    profile: Profile = field(default_factory=Profile)
    phase: Phase = Phase.STARTING
    in_flight: int = 0
    _watchers: dict = field(default_factory=lambda: defaultdict(list))

    def watch(self, name, react):
        """Have a function called after each write of a field."""
        self._watchers[name].append(react)

    def write(self, name, value):
        """Write a field and call those who watch it."""
        if name not in self.__struct_fields__:
            raise AttributeError(f"the blackboard has no field {name!r}")
        setattr(self, name, value)
        for react in self._watchers[name]:
            react()

    @property
    def is_ready(self):
        """Whether the platform's balancer should send callers here."""
        return self.phase is Phase.SERVING
