"""Which node grants what the endpoints of a service still take."""

from hashlib import blake2b

__all__ = ["rank_coordinators"]

# Nodes that may grant for a service: the first, and a substitute.
COORDINATORS = 2


def rank_coordinators(service, nodes):
    """Return the nodes that grant for a service, the first one first.

    Parameters
    ----------
    service : str
        Its name.
    nodes : iterable of tuple
        IP number and port of all nodes.

    Notes
    -----
    All nodes work out the same from the same list, so nothing has to be agreed, and a
    node that comes or goes moves only the services that it grants for.
    """
    return sorted(nodes, key=lambda node: compute_weight(service, node))[:COORDINATORS]


def compute_weight(service, node):
    """Return a number that is the same at all nodes and spreads services over them."""
    host, port = node
    return blake2b(f"{service} {host}:{port}".encode(), digest_size=8).digest()
