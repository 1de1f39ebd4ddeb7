"""What the decisions of a service know of the node and its fleet."""

from msgspec import Struct

__all__ = ["FleetView"]


class FleetView(Struct, frozen=True):
    """What a dispatcher has to know of the node and its fleet.

    Parameters
    ----------
    data_centre : str
        The node's own.
    nodes : int
        Node processes that are alive, as far as this node knows.
    fleet_limit : int
        The largest number of them at once, as the operator declared it.
    place : int or None
        Of this node among them by their names, from 0; None if its entry is not there.
    """

    data_centre: str
    nodes: int
    fleet_limit: int
    place: int | None = 0
