"""Choice of the nodes that grant requests to limited endpoints of a service."""

from hashlib import blake2b

__all__ = ["rank_coordinators"]

# Coordinators of a service: a primary and a substitute.
MAX_COORDINATORS = 2


def rank_coordinators(service, nodes):
    """Return the coordinators of a service, the primary first.

    Parameters
    ----------
    service : str
        Name of the service.
    nodes : iterable of tuple
        IP numbers and ports of all nodes.

    Notes
    -----
    Rendezvous hashing: all nodes compute the same result from the same list without an
    agreement protocol, and a node that joins or leaves moves only the services that it
    coordinates.
    """
    return sorted(nodes, key=lambda node: compute_weight(service, node))[
        :MAX_COORDINATORS
    ]


def compute_weight(service, node):
    """Return the hash of a service and a node, which is the same at all nodes."""
    host, port = node
    return blake2b(f"{service} {host}:{port}".encode(), digest_size=8).digest()
