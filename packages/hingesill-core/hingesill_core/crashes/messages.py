"""What nodes tell each other of requests under which endpoints ended."""

from enum import IntEnum

from msgspec import Struct

__all__ = ["GossipMessage", "GossipItem", "GossipKind"]


class GossipKind(IntEnum):
    """What is told of a request."""

    # An endpoint ended while it had the request.
    ENDED = 0
    # An endpoint answered it.
    ANSWERED = 1
    # It is held back for long.
    HELD = 2


class GossipItem(Struct, frozen=True, array_like=True):
    """One piece of news.

    Parameters
    ----------
    kind : GossipKind
        What happened.
    fingerprints : tuple of str
        Of the request, the narrowest first; just the one that is held back.
    age : float
        Seconds since it happened, when this was sent: nodes have no common clock.
    endpoint : str
        That ended; empty for the other kinds.
    left : float
        Seconds for which it is still held back; 0 for the other kinds.
    times : int
        How often it has been held back; 0 for the other kinds.
    """

    kind: GossipKind
    fingerprints: tuple[str, ...]
    age: float
    endpoint: str = ""
    left: float = 0.0
    times: int = 0


class GossipMessage(Struct, frozen=True, array_like=True):
    """What one datagram carries.

    Parameters
    ----------
    told : tuple of Told
        News.
    asks : bool
        The sender has just started and wants to be told everything.
    """

    told: tuple[GossipItem, ...] = ()
    asks: bool = False
