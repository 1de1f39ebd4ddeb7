"""What nodes tell each other of endpoints' limits."""

from msgspec import Struct

from hingesill_core.ratelimits.ledger import GrantRun

__all__ = ["GrantReply", "GrantRequest", "LimitNews", "LimitQuery", "ToldLimit"]


class ToldLimit(Struct, frozen=True, array_like=True):
    """An endpoint's newest word, as one node knows it.

    Parameters
    ----------
    service, endpoint : str
        Of which service, and which endpoint.
    born : int
        The life that said it.
    per_second : float or None
        Requests from all nodes together; None if it names no limit.
    age : float
        Seconds since it was said at the latest, when this was sent.
    span : float
        Seconds before that in which it may have been said.
    is_in_health : bool
        Answers to questions for its load name limits too.
    """

    service: str
    endpoint: str
    born: int
    per_second: float | None
    age: float
    span: float
    is_in_health: bool = False


class LimitNews(Struct, frozen=True, array_like=True, tag=1):
    """Limits that began, changed or ended.

    Parameters
    ----------
    told : tuple of ToldLimit
        The news.
    """

    told: tuple[ToldLimit, ...]


class GrantRequest(Struct, frozen=True, array_like=True, tag=2):
    """A node asks the coordinator what endpoints of a service still take.

    Parameters
    ----------
    number : int
        Of the sender's requests.
    service : str
        Its name.
    wanted : int
        Requests that wait, and that will come until the next ask.
    horizon : float
        Seconds within which grants are of use.
    told : tuple of ToldLimit
        Limits as the sender knows them.
    avoid : tuple of str
        Endpoints in need that the sender does not use now.
    """

    number: int
    service: str
    wanted: int
    horizon: float = 0.0
    told: tuple[ToldLimit, ...] = ()
    avoid: tuple[str, ...] = ()


class GrantReply(Struct, frozen=True, array_like=True, tag=3):
    """What a coordinator grants.

    Parameters
    ----------
    number : int
        Of the request.
    service : str
        Its name.
    runs : tuple of GrantRun
        What endpoints take.
    again_in, wait : float
        See `hingesill_core.ratelimits.ledger.Granted`.
    pause : float
        Seconds between two requests of a node; more in large fleets.
    told : tuple of ToldLimit
        Where the coordinator knows better than the node that asked.
    """

    number: int
    service: str
    runs: tuple[GrantRun, ...]
    again_in: float
    wait: float
    pause: float
    told: tuple[ToldLimit, ...] = ()


class LimitQuery(Struct, frozen=True, array_like=True, tag=4):
    """A node that has just started asks which endpoints name limits.

    Parameters
    ----------
    told : tuple of ToldLimit
        None: it knows of no limit yet.
    """

    told: tuple[ToldLimit, ...] = ()
