"""Records of a directory: the operator's declaration, endpoints and nodes."""

from msgspec import Struct, field

from hingesill_core.configuration.services import Route
from hingesill_core.discovery.position import Position
from hingesill_core.organisations.changes import OrganisationChanges
from hingesill_core.organisations.organisation import Organisation
from hingesill_core.routing.profile import Profile

__all__ = [
    "Changes",
    "DeclaredConfiguration",
    "DeclaredService",
    "EndpointRecord",
    "FORMAT",
    "QuarantineRecord",
    "HistoryGone",
    "Limits",
    "NodeRecord",
    "Snapshot",
    "StoreRestored",
]

# Format of the snapshots and changes that this build passes to other nodes. Format 1
# has no organisations: a node of such a build drops them from what it passes on.
FORMAT = 2


class DeclaredService(Struct, frozen=True):
    """A service without its endpoints.

    Parameters
    ----------
    name : str
        The service's name.
    health_path : str
        Path at which an endpoint reports its load.
    connections : int
        Connections that an endpoint accepts from all nodes together.
    warm_up_rate : float
        Requests per second that a cold endpoint accepts from all nodes together; 0 if
        no rate is declared.
    """

    name: str
    health_path: str
    connections: int
    warm_up_rate: float = 0.0


class Limits(Struct, frozen=True):
    """Limits of size and time for callers' requests.

    Parameters
    ----------
    body_bytes : int
        Maximum length of a body.
    header_seconds : float
        Maximum time for receiving a request's head.
    idle_seconds : float
        Maximum idle time of a caller's connection.
    """

    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 30.0
    idle_seconds: float = 60.0


class DeclaredConfiguration(Struct, frozen=True):
    """The operator's complete declaration.

    Parameters
    ----------
    version : int
        Grows with each change.
    services : tuple of DeclaredService
        All services.
    routes : tuple of Route
        All routes.
    limits : Limits
        Limits for callers.
    organisations : dict or None
        Organisation by name; None if callers need no keys.
    organisations_digest : int
        Digest of all organisations, by which nodes see that they have the same ones.
    """

    version: int
    services: tuple[DeclaredService, ...]
    routes: tuple[Route, ...]
    limits: Limits = Limits()
    organisations: dict[str, Organisation] | None = None
    organisations_digest: int = 0


class EndpointRecord(Struct, frozen=True):
    """The entry that an endpoint writes for itself.

    Parameters
    ----------
    instance : str
        The endpoint's identity; a restarted endpoint may keep it.
    service, address, data_centre : str
        The service it belongs to, the address it listens on, and its data centre.
    slots : int
        Requests that it processes concurrently.
    leaving : bool
        It accepts no new requests.
    warm_in : float
        Warm-up time after the entry is written, in seconds, during which the endpoint
        is slow.
    born : int
        Start time in Unix milliseconds, which distinguishes incarnations under one
        identity; 0 if the entry does not include it.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    warm_in: float = 0.0
    born: int = 0


class NodeRecord(Struct, frozen=True):
    """The entry that a node writes for itself.

    Parameters
    ----------
    name : str
        Name of the VM; a restarted process there keeps it.
    address : str
        Control address, at which the node serves its directory to other nodes.
    data_centre : str
        The node's data centre.
    strength : float
        Processor time that it may use, in cores; the strongest nodes are relays.
    forward_port : int
        Port at which it accepts requests that other nodes forward, on the IP address of
        `address`; 0 if it accepts none, as nodes of older builds.
    """

    name: str
    address: str
    data_centre: str
    strength: float = 1.0
    forward_port: int = 0

    @property
    def forward_address(self):
        """IP address and port for forwarded requests."""
        return f"{self.address.rpartition(':')[0]}:{self.forward_port}"


class QuarantineRecord(Struct, frozen=True):
    """A request in quarantine: it is sent to no endpoint, as it crashed endpoints.

    Parameters
    ----------
    fingerprint : str
        The request's fingerprint, which is the same at all nodes.
    since, until : float
        Start and end of the quarantine in Unix seconds, by the clock of the node that
        wrote the record.
    times : int
        How often the request has been quarantined.
    """

    fingerprint: str
    since: float
    until: float
    times: int = 1


class Snapshot(Struct, frozen=True):
    """The complete content of the store at one position.

    Parameters
    ----------
    position : Position
        Position up to which changes are included.
    declared : DeclaredConfiguration or None
        None before the operator's first declaration.
    endpoints : dict
        EndpointRecord by instance.
    nodes : dict
        NodeRecord by name.
    profile : Profile or None
        The nodes' observations of services; None if none are stored.
    evacuated : dict
        Revision of the operator's request to evacuate a data centre, by data centre.
        Endpoints there receive no new requests.
    held : dict
        QuarantineRecord by fingerprint.
    unlisted : tuple of str
        Known nodes whose entries a restored store lacks.
    format : int
        Format of the build that sent it.
    """

    position: Position
    declared: DeclaredConfiguration | None = None
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    profile: Profile | None = None
    evacuated: dict[str, int] = field(default_factory=dict)
    held: dict[str, QuarantineRecord] = field(default_factory=dict)
    unlisted: tuple[str, ...] = ()
    format: int = FORMAT


class Changes(Struct, frozen=True):
    """Changes of the store's content from one position to a later one.

    Parameters
    ----------
    position : Position
        The later position.
    declared : DeclaredConfiguration or None
        None if it did not change. With `organisations` below it is without its
        organisations.
    endpoints, nodes : dict
        Records that were written; None for removed ones.
    profile : Profile or None
        None if it did not change.
    evacuated : dict
        Revision of new evacuation requests by data centre; None for withdrawn ones.
    held : dict
        QuarantineRecord by fingerprint; None for removed ones.
    unlisted : tuple of str or None
        Known nodes whose entries a restored store lacks; None if they did not change.
    organisations : OrganisationChanges or None
        Changes of the declaration's organisations; None if the declaration is complete.
    format : int
        Format of the build that sent it.
    """

    position: Position
    declared: DeclaredConfiguration | None = None
    endpoints: dict[str, EndpointRecord | None] = field(default_factory=dict)
    nodes: dict[str, NodeRecord | None] = field(default_factory=dict)
    profile: Profile | None = None
    evacuated: dict[str, int | None] = field(default_factory=dict)
    held: dict[str, QuarantineRecord | None] = field(default_factory=dict)
    unlisted: tuple[str, ...] | None = None
    organisations: OrganisationChanges | None = None
    format: int = FORMAT


class StoreRestored(Struct, frozen=True):
    """The store was restored from an older copy; a full read is needed.

    Parameters
    ----------
    era : int
        The store's current era.
    """

    era: int


class HistoryGone(Struct, frozen=True):
    """The store has dropped the history of changes; a full read is needed."""
