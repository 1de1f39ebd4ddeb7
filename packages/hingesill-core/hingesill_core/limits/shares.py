"""A node's share of the capacity that an endpoint allows to the whole fleet."""

from math import ceil

__all__ = ["compute_connection_share", "compute_send_limit"]

SPARE_SENDS = 1
MIN_SENDS = 2


def compute_connection_share(connections, fleet_limit):
    """Return how many connections this node may hold to an endpoint.

    Parameters
    ----------
    connections : int
        Maximum that the endpoint allows.
    fleet_limit : int
        The largest number of node processes that ever run at once, as declared by
        the operator. The sum over the fleet then stays within the endpoint's maximum
        without coordination.
    """
    return max(1, connections // max(1, fleet_limit))


def compute_send_limit(endpoint, declared, nodes, fleet_limit):
    """Return how many sends this node may have in flight at an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Its slots and connections are read.
    declared : int
        Limit declared by the operator; 0 to compute it.
    nodes, fleet_limit : int
        Number of live nodes, and the most that ever run at once.

    Notes
    -----
    Each node gets its share of the slots and one more. Further requests wait in the
    node's queue, where they can still be sent to another endpoint, and not at an
    endpoint that has become slow.
    """
    connection_share = compute_connection_share(endpoint.connections, fleet_limit)
    fair_share = ceil(endpoint.slots / max(1, nodes)) + SPARE_SENDS
    limit = declared or max(MIN_SENDS, fair_share)
    return max(1, min(limit, connection_share))
