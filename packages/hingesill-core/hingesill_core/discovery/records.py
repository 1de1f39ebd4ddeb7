"""What a directory holds: the operator's declaration and the endpoints."""

from msgspec import Struct, field

from hingesill_core.configuration.services import Route
from hingesill_core.discovery.position import Position
from hingesill_core.routing.profile import Profile

__all__ = [
    "Changes",
    "DeclaredConfiguration",
    "DeclaredService",
    "EndpointRecord",
    "QuarantineRecord",
    "HistoryGone",
    "Limits",
    "NodeRecord",
    "Snapshot",
    "StoreRestored",
]


class DeclaredService(Struct, frozen=True):
    """A service without its endpoints.

    Parameters
    ----------
    name : str
        Its name.
    health_path : str
        Answers with the endpoint's load.
    connections : int
        What an endpoint takes from all nodes together.
    warm_up_rate : float
        Requests a second that it bears from all nodes together while it is cold; 0 if
        none is declared.
    """

    name: str
    health_path: str
    connections: int
    warm_up_rate: float = 0.0


class Limits(Struct, frozen=True):
    """What callers may send and how long they may take.

    Parameters
    ----------
    body_bytes : int
        Longest body.
    header_seconds : float
        Longest time for a request's head.
    idle_seconds : float
        Longest rest of a caller's connection.
    """

    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 30.0
    idle_seconds: float = 60.0


class DeclaredConfiguration(Struct, frozen=True):
    """What the operator declared, whole.

    Parameters
    ----------
    version : int
        Grows with each change.
    services : tuple of DeclaredService
        All services.
    routes : tuple of Route
        All routes.
    limits : Limits
        For callers.
    """

    version: int
    services: tuple[DeclaredService, ...]
    routes: tuple[Route, ...]
    limits: Limits = Limits()


class EndpointRecord(Struct, frozen=True):
    """One endpoint's own entry.

    Parameters
    ----------
    instance : str
        Its identity; it may keep it when it starts again.
    service, address, data_centre : str
        What it serves, where it listens, where it runs.
    slots : int
        Requests that it works on at a time.
    leaving : bool
        It takes no new work.
    warm_in : float
        Seconds from the entry's write during which it is slow.
    born : int
        Unix milliseconds of its start, which tell its lives under one identity apart;
        0 if it does not say.
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
    """Another node's own entry.

    Parameters
    ----------
    name : str
        Of the VM; a process that starts anew there keeps it.
    address : str
        Where it tells other nodes what it holds.
    data_centre : str
        Where it runs.
    strength : float
        Processor time that it may use, in cores; the strongest nodes watch the
        store for others.
    """

    name: str
    address: str
    data_centre: str
    strength: float = 1.0


class QuarantineRecord(Struct, frozen=True):
    """A request that is sent to no endpoint, as endpoints ended under it.

    Parameters
    ----------
    fingerprint : str
        By which all nodes know it again.
    since, until : float
        Unix seconds, by the clock of the node that wrote it.
    times : int
        How often it has been held back.
    """

    fingerprint: str
    since: float
    until: float
    times: int = 1


class Snapshot(Struct, frozen=True):
    """Everything at one position of the store.

    Parameters
    ----------
    position : Position
        Changes up to here are in it.
    declared : Declared or None
        None before the operator's first declaration.
    endpoints : dict
        EndpointRecord by instance.
    nodes : dict
        NodeRecord by name.
    profile : Profile or None
        What nodes have learnt; None if nothing is kept.
    evacuated : dict
        By data centre, the revision at which the operator asked that nothing more be
        sent to its endpoints.
    held : dict
        QuarantineRecord by fingerprint.
    unlisted : tuple of str
        Nodes that are believed though a restored store lacks their entries.
    """

    position: Position
    declared: DeclaredConfiguration | None = None
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    profile: Profile | None = None
    evacuated: dict[str, int] = field(default_factory=dict)
    held: dict[str, QuarantineRecord] = field(default_factory=dict)
    unlisted: tuple[str, ...] = ()


class Changes(Struct, frozen=True):
    """What changed after a position, up to another.

    Parameters
    ----------
    position : Position
        The later position.
    declared : Declared or None
        None if it did not change.
    endpoints, nodes : dict
        Records as they were written; None for those that are gone.
    profile : Profile or None
        None if it did not change.
    evacuated : dict
        Data centres that were evacuated, with the revision; None for those that were
        restored.
    held : dict
        QuarantineRecord as they were written; None for those that were let go.
    unlisted : tuple of str or None
        Nodes that are believed though a restored store lacks their entries; None if
        they are the same as before.
    """

    position: Position
    declared: DeclaredConfiguration | None = None
    endpoints: dict[str, EndpointRecord | None] = field(default_factory=dict)
    nodes: dict[str, NodeRecord | None] = field(default_factory=dict)
    profile: Profile | None = None
    evacuated: dict[str, int | None] = field(default_factory=dict)
    held: dict[str, QuarantineRecord | None] = field(default_factory=dict)
    unlisted: tuple[str, ...] | None = None


class StoreRestored(Struct, frozen=True):
    """The store came back from an older copy; the whole must be read again.

    Parameters
    ----------
    era : int
        Of the store as it is now.
    """

    era: int


class HistoryGone(Struct, frozen=True):
    """The store no longer tells what changed; the whole must be read again."""
