"""The observations of a fleet, as stored for nodes that start."""

from msgspec import Struct, field

__all__ = ["BaselineLatency", "LevelProfile", "Profile", "ServiceProfile"]


class LevelProfile(Struct, frozen=True):
    """Response times at one concurrency level of endpoints of one size.

    Parameters
    ----------
    slots, level : int
        Slots of the endpoint, and slots in use including the answered request.
    answers : float
        Weighted number of answers.
    mean : float
        Mean logarithm of the response time, divided by the route's baseline latency.
    """

    slots: int
    level: int
    answers: float
    mean: float


class BaselineLatency(Struct, frozen=True):
    """The usual response time of one route.

    Parameters
    ----------
    host, method, path : str
        Identify the route; see `Route`.
    answers : float
        Weighted number of answers.
    mean : float
        Mean logarithm of the response time in seconds, over all concurrency levels.
    """

    host: str
    method: str
    path: str
    answers: float
    mean: float


class ServiceProfile(Struct, frozen=True):
    """The observations of one service.

    Parameters
    ----------
    levels : tuple of LevelProfile
        Response times by concurrency level.
    usual_times : tuple of BaselineLatency
        Baseline latencies of the service's routes.
    """

    levels: tuple[LevelProfile, ...] = ()
    usual_times: tuple[BaselineLatency, ...] = ()


class Profile(Struct, frozen=True):
    """The observations of all services.

    Parameters
    ----------
    services : dict
        `ServiceProfile` by name of the service.
    """

    services: dict[str, ServiceProfile] = field(default_factory=dict)
