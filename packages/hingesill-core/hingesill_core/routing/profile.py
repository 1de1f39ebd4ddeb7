"""What a fleet has learnt of its services, as it is kept for nodes that start."""

from msgspec import Struct, field

__all__ = ["LevelProfile", "Profile", "ServiceProfile", "BaselineLatency"]


class LevelProfile(Struct, frozen=True):
    """Answers of endpoints with so many slots, of which so many were taken.

    Parameters
    ----------
    slots, level : int
        Of the endpoint, and taken with the request that was answered.
    answers : float
        How many answers it stands for.
    mean : float
        Of the logarithm of an answer's time, divided by its route's usual time.
    """

    slots: int
    level: int
    answers: float
    mean: float


class BaselineLatency(Struct, frozen=True):
    """How long the answers of one route usually take.

    Parameters
    ----------
    host, method, path : str
        Of the route; see `Route`.
    answers : float
        How many answers it stands for.
    mean : float
        Of the logarithm of an answer's seconds, over all levels.
    """

    host: str
    method: str
    path: str
    answers: float
    mean: float


class ServiceProfile(Struct, frozen=True):
    """What was learnt of one service.

    Parameters
    ----------
    levels : tuple of LevelProfile
        How answer times grow with the taken slots.
    usual_times : tuple of BaselineLatency
        Of the service's routes.
    """

    levels: tuple[LevelProfile, ...] = ()
    usual_times: tuple[BaselineLatency, ...] = ()


class Profile(Struct, frozen=True):
    """What was learnt of all services.

    Parameters
    ----------
    services : dict
        `ServiceProfile` by service's name.
    """

    services: dict[str, ServiceProfile] = field(default_factory=dict)
