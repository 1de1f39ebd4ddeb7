"""A node's share of what an endpoint allows to the whole fleet."""

from math import ceil

__all__ = ["compute_connection_share", "compute_send_limit"]

SPARE_SENDS = 1
FEWEST_SENDS = 2


def compute_connection_share(connections, fleet_limit):
    """Return how many connections this node may hold to an endpoint.

    Parameters
    ----------
    connections : int
        What the endpoint allows.
    fleet_limit : int
        The largest number of node processes that ever run at once, as the
        operator declared it; the sum over the fleet then keeps the limit
        without any agreement.
    """
    return max(1, connections // max(1, fleet_limit))


def compute_send_limit(endpoint, places, nodes, fleet_limit):
    """Return how many sends this node may have in flight at an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Its slots and connections.
    places : int
        What the operator declared; 0 to work it out.
    nodes, fleet_limit : int
        Nodes that are alive, and the most there ever are.

    Notes
    -----
    Each node gets its share of the slots and one more. What is beyond that
    waits at the node, where it can still go to another endpoint, and not at an
    endpoint that has become slow.
    """
    share = compute_connection_share(endpoint.connections, fleet_limit)
    fair = ceil(endpoint.slots / max(1, nodes)) + SPARE_SENDS
    wanted = places or max(FEWEST_SENDS, fair)
    return max(1, min(wanted, share))
