"""The view of the node and its fleet that routing decisions use."""

from msgspec import Struct

__all__ = ["FleetView"]


class FleetView(Struct, frozen=True):
    """The node and the size of its fleet.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    nodes : int
        Number of live node processes that this node knows.
    fleet_limit : int
        Largest number of nodes at once, as the operator declared it.
    node_index : int or None
        Index of this node in the sorted node names; None if it has no entry.
    """

    data_centre: str
    nodes: int
    fleet_limit: int
    node_index: int | None = 0
