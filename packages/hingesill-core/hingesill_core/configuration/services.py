"""Immutable services, routes and endpoints, as the routing decisions use them."""

from math import floor

from msgspec import Struct

from hingesill_core.retries.budget import BURST

__all__ = [
    "DEFAULT_MAX_SENDS",
    "Bursts",
    "Endpoint",
    "WeightedService",
    "ProbeBudget",
    "Route",
    "SendBudget",
    "Service",
    "compute_token_share",
]

DEFAULT_MAX_SENDS = 3


class Endpoint(Struct, frozen=True):
    """An endpoint of a service."""

    address: str
    data_centre: str
    slots: int
    connections: int
    instance: str = ""
    warm_in: float = 0.0
    region: str = ""
    # Incarnation of the endpoint; 0 if the endpoint does not report it.
    born: int = 0

    @property
    def identity(self):
        """Identity, which differs from that of a later endpoint at the address."""
        return self.instance or self.address


class WeightedService(Struct, frozen=True):
    """One service of a traffic split, with its share of the requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the route's requests, relative to the other services.
    """

    service: str
    weight: float


class Route(Struct, frozen=True):
    """A route.

    Parameters
    ----------
    service : str
        Service that gets the requests, unless ``parts`` is set.
    method : str
        HTTP method in capitals; empty for every method.
    path : str
        Prefix of the path. A prefix that ends with a slash does not cover the path
        without the slash.
    repeatable : bool
        Whether a request may be executed more than once.
    live : bool
        Whether its requests are served before deferrable ones.
    timeout : float
        Seconds after which a request gets its final response.
    host : str
        Value of the ``Host`` header; empty for all hosts.
    target : float
        Target latency in seconds; 0 if none was declared.
    rank : int
        Priority; 0 is the most urgent.
    most_sends : int
        Maximum number of endpoints to which one request is sent.
    parts : tuple of WeightedService
        Services of a traffic split; empty without a split.
    homes : tuple of str
        Regions of the endpoints that may get its requests; empty for all regions.
    public : bool
        Whether its callers need no key where the configuration has organisations.
    """

    service: str
    method: str
    path: str
    repeatable: bool
    live: bool
    timeout: float
    host: str = ""
    target: float = 0.0
    rank: int = 0
    most_sends: int = DEFAULT_MAX_SENDS
    parts: tuple[WeightedService, ...] = ()
    homes: tuple[str, ...] = ()
    public: bool = False

    def list_services(self):
        """Return the names of the services that may get its requests."""
        return [part.service for part in self.parts] or [self.service]

    def choose_service(self, rng):
        """Return the service of the next request, at random by weight."""
        if not self.parts:
            return self.service
        weights = [part.weight for part in self.parts]
        return rng.choices(self.parts, weights)[0].service


class ProbeBudget(Struct, frozen=True):
    """The fleet's probe budget of a service; times in seconds.

    Parameters
    ----------
    per_second, window : float
        Probes a second, counted over a window.
    capacity_share, cost : float
        Share of the endpoints' capacity for probes, and the cost of a probe.
    path : str
        Path of a probe request.
    pooled : bool
        Whether services share one budget, so that one may use what others leave.
    """

    per_second: float
    window: float
    capacity_share: float
    cost: float
    path: str
    pooled: bool = False


class Bursts(Struct, frozen=True):
    """Maximum numbers of tokens for hedges and for retries at a node."""

    hedges: float
    retries: float


class SendBudget(Struct, frozen=True):
    """Budget of additional sends, as shares of the first sends.

    Parameters
    ----------
    hedge_share, retry_share : float
        Tokens for additional sends that each first send earns.
    fleet_burst : float
        Additional sends that all nodes together may make in a burst; 0 for a fixed
        number per node.
    """

    hedge_share: float
    retry_share: float
    fleet_burst: float = 0.0

    def compute_bursts(self, nodes, node_index=0):
        """Return the Bursts of a node.

        Parameters
        ----------
        nodes : int
            Number of nodes that share the fleet's burst.
        node_index : int or None
            Index of this node among them, from 0; None if it is unknown.
        """
        if not self.fleet_burst:
            return Bursts(BURST, BURST)
        if not self.hedge_share:
            return Bursts(0.0, compute_token_share(self.fleet_burst, nodes, node_index))
        half = compute_token_share(self.fleet_burst / 2, nodes, node_index)
        return Bursts(half, half)


def compute_token_share(tokens, nodes, node_index):
    """Return the maximum number of the fleet's tokens for one node.

    Parameters
    ----------
    tokens : float
        Tokens of the fleet.
    nodes : int
        Number of nodes that share the tokens.
    node_index : int or None
        Index of the node among them, from 0; None if it is unknown.

    Notes
    -----
    A send takes a whole token, so if there are more nodes than tokens, some nodes
    accumulate one token and the others none: one token for each node would exceed the
    fleet's budget. Callers of a node without tokens are asked to retry later, and most
    of them then reach another node.
    """
    share = tokens / max(1, nodes)
    if share >= 1.0:
        return share
    if node_index is None:
        return 0.0
    return float(floor((node_index + 1) * share) - floor(node_index * share))


class Service(Struct, frozen=True):
    """A service with its endpoints and routes."""

    name: str
    policy: str
    endpoints: tuple[Endpoint, ...]
    routes: tuple[Route, ...]
    probes: ProbeBudget
    sends: SendBudget
    queue_limit: int
    places: int
    # Requests a second that a cold endpoint may get from all nodes; 0 for no limit.
    warm_up_rate: float = 0.0
    # Whether requests that cannot be sent in time are refused at once.
    early_refusal: bool = False
