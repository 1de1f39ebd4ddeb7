"""What nodes tell each other of endpoints' limits."""

from msgspec import Struct

from hingesill_core.ratelimits.grantscheduler import GrantRun

__all__ = ["GrantReply", "GrantRequest", "LimitUpdate", "LimitQuery", "LimitRecord"]


class LimitRecord(Struct, frozen=True, array_like=True):
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


class LimitUpdate(Struct, frozen=True, array_like=True, tag=1):
    """Limits that began, changed or ended.

    Parameters
    ----------
    told : tuple of LimitRecord
        The news.
    """

    records: tuple[LimitRecord, ...]


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
    told : tuple of LimitRecord
        Limits as the sender knows them.
    avoid : tuple of str
        Endpoints in need that the sender does not use now.
    """

    number: int
    service: str
    wanted: int
    horizon: float = 0.0
    records: tuple[LimitRecord, ...] = ()
    excluded: tuple[str, ...] = ()


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
    retry_after, wait : float
        See `hingesill_core.ratelimits.grantscheduler.Granted`.
    pause : float
        Seconds between two requests of a node; more in large fleets.
    told : tuple of LimitRecord
        Where the coordinator knows better than the node that asked.
    """

    number: int
    service: str
    runs: tuple[GrantRun, ...]
    retry_after: float
    wait: float
    pause: float
    records: tuple[LimitRecord, ...] = ()


class LimitQuery(Struct, frozen=True, array_like=True, tag=4):
    """A node that has just started asks which endpoints name limits.

    Parameters
    ----------
    told : tuple of LimitRecord
        None: it knows of no limit yet.
    """

    records: tuple[LimitRecord, ...] = ()
