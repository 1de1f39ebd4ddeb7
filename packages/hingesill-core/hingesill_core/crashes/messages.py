"""Gossip messages on requests under which endpoints crashed."""

from enum import IntEnum

from msgspec import Struct

__all__ = ["GossipMessage", "GossipItem", "GossipKind"]


class GossipKind(IntEnum):
    """Event that a gossip item reports."""

    # An endpoint crashed while it had the request.
    CRASHED = 0
    # An endpoint answered the request.
    ANSWERED = 1
    # The request is in a confirmed quarantine.
    QUARANTINED = 2


class GossipItem(Struct, frozen=True, array_like=True):
    """One event that a node reports to other nodes.

    Parameters
    ----------
    kind : GossipKind
        The event.
    fingerprints : tuple of str
        Fingerprints of the request, the narrowest first; for a quarantine, only the
        one that is quarantined.
    age : float
        Seconds between the event and the sending of this item: nodes have no common
        clock.
    endpoint : str
        The endpoint that crashed; empty for the other kinds.
    left : float
        Seconds for which the quarantine still lasts; 0 for the other kinds.
    times : int
        Number of confirmed quarantines of the request; 0 for the other kinds.
    """

    kind: GossipKind
    fingerprints: tuple[str, ...]
    age: float
    endpoint: str = ""
    left: float = 0.0
    times: int = 0


class GossipMessage(Struct, frozen=True, array_like=True):
    """Content of one datagram.

    Parameters
    ----------
    items : tuple of GossipItem
        Events that the sender reports.
    wants_all : bool
        The sender has just started and requests all items of the recipient.
    """

    items: tuple[GossipItem, ...] = ()
    wants_all: bool = False
