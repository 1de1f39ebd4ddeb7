"""What a fleet has learnt of its services, as it is kept for nodes that start."""

from dataclasses import dataclass, field

__all__ = ["LevelProfile", "Profile", "ServiceProfile"]


@dataclass(frozen=True, slots=True)
class LevelProfile:
    """Answers of endpoints with so many slots, of which so many were taken.

    Parameters
    ----------
    slots, level : int
        Of the endpoint, and taken with the request that was answered.
    answers : float
        How many answers it stands for.
    mean : float
        Of the logarithm of an answer's time, divided by its route's typical time.
    """

    slots: int
    level: int
    answers: float
    mean: float


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """What was learnt of one service.

    Parameters
    ----------
    levels : tuple of LevelProfile
        How answer times grow with the taken slots.
    """

    levels: tuple[LevelProfile, ...] = ()


@dataclass(frozen=True, slots=True)
class Profile:
    """What was learnt of all services.

    Parameters
    ----------
    services : dict
        `ServiceProfile` by service's name.
    """

    services: dict[str, ServiceProfile] = field(default_factory=dict)
