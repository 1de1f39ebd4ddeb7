"""Services, routes and endpoints as the decisions see them."""

from math import floor

from msgspec import Struct

from hingesill_core.retries.budget import BURST

__all__ = [
    "MOST_SENDS",
    "Bursts",
    "Endpoint",
    "WeightedService",
    "ProbeBudget",
    "Route",
    "SendBudget",
    "Service",
    "share_out",
]

MOST_SENDS = 3


class Endpoint(Struct, frozen=True):
    """An endpoint as the decisions see it."""

    address: str
    data_centre: str
    slots: int
    connections: int
    instance: str = ""
    warm_in: float = 0.0
    region: str = ""
    # Tells lives under the same identity apart; 0 if the endpoint does not say.
    born: int = 0

    @property
    def identity(self):
        """What tells this endpoint from a later one at the same address."""
        return self.instance or self.address


class WeightedService(Struct, frozen=True):
    """One service of a split route, with its share of the requests.

    Parameters
    ----------
    service : str
        Its name.
    weight : float
        Share of the route's requests, relative to the other parts.
    """

    service: str
    weight: float


class Route(Struct, frozen=True):
    """A route as the decisions see it.

    Parameters
    ----------
    service : str
        Where its requests go, unless ``parts`` says otherwise.
    method : str
        In capitals; empty for every method.
    path : str
        Prefix of the path. One that ends with a slash covers only what
        follows the slash.
    repeatable, live : bool
        May run more than once; is served before what is deferrable.
    timeout : float
        Seconds after which a request gets its final answer.
    host : str
        The ``Host`` header that it is for; empty for all.
    target : float
        Seconds within which an answer is of full use; 0 if none was declared.
    rank : int
        0 is the most urgent.
    most_sends : int
        Endpoints that one request may be sent to.
    parts : tuple of Part
        Services that share the requests; empty if there is one.
    homes : tuple of str
        Regions whose endpoints alone may get its requests; empty for all.
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
    most_sends: int = MOST_SENDS
    parts: tuple[WeightedService, ...] = ()
    homes: tuple[str, ...] = ()

    def choose_service(self, rng):
        """Return the service of the next request, by the weights of the parts."""
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
        Share of the endpoints' capacity, and what a probe takes of it.
    path : str
        Of the request that is a probe.
    pooled : bool
        Services may use what others leave, as the budget is one for all.
    """

    per_second: float
    window: float
    capacity_share: float
    cost: float
    path: str
    pooled: bool = False


class Bursts(Struct, frozen=True):
    """How many extra sends of each kind a node may save up."""

    hedges: float
    retries: float


class SendBudget(Struct, frozen=True):
    """Extra sends a request, as shares of the first sends.

    Parameters
    ----------
    hedge_share, retry_share : float
        Extra sends that each first send earns.
    fleet_burst : float
        Extra sends that all nodes together may make at once; 0 for a fixed
        number a node.
    """

    hedge_share: float
    retry_share: float
    fleet_burst: float = 0.0

    def compute_bursts(self, nodes, place=0):
        """Return the Bursts of a node.

        Parameters
        ----------
        nodes : int
            Nodes that share what the fleet may send at once.
        place : int or None
            Of this node among them, from 0; None if it is not known.
        """
        if not self.fleet_burst:
            return Bursts(BURST, BURST)
        if not self.hedge_share:
            return Bursts(0.0, share_out(self.fleet_burst, nodes, place))
        half = share_out(self.fleet_burst / 2, nodes, place)
        return Bursts(half, half)


def share_out(tokens, nodes, place):
    """Return how many of the fleet's tokens a node may save up.

    Parameters
    ----------
    tokens : float
        Of the fleet.
    nodes : int
        That share them.
    place : int or None
        Of the node among them, from 0; None if it is not known.

    Notes
    -----
    A send takes a whole token, so where there are more nodes than tokens some save
    one up and the others none: a whole one for each would pass the fleet's budget.
    Callers whose node has none are told to come back, and mostly come to another.
    """
    share = tokens / max(1, nodes)
    if share >= 1.0:
        return share
    if place is None:
        return 0.0
    return float(floor((place + 1) * share) - floor(place * share))


class Service(Struct, frozen=True):
    """A service as the decisions see it."""

    name: str
    policy: str
    endpoints: tuple[Endpoint, ...]
    routes: tuple[Route, ...]
    probes: ProbeBudget
    sends: SendBudget
    queue_limit: int
    places: int
    # Requests a second that a cold endpoint bears from all nodes; 0 for no limit.
    warm_up_rate: float = 0.0
