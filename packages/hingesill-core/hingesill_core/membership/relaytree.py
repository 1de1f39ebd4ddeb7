"""The tree that distributes changes: relays read the store, others read a parent.

Every node computes the tree from its own list of VMs. Different lists give different
trees, which is harmless: any node serves any other, and a surplus relay costs the store
one waiting watch.
"""

import hashlib

from msgspec import Struct

__all__ = [
    "TreePosition",
    "find_position",
    "list_relays",
    "rank_by_weight",
    "rank_nodes",
]

RELAYS_PER_DATA_CENTRE = 2
FAN_OUT = 8


class TreePosition(Struct, frozen=True):
    """Position of a node in the tree of its data centre.

    Parameters
    ----------
    relay : bool
        Whether the node watches the store itself.
    parents : tuple of Vm
        Nodes to get changes from, in order of preference.
    depth : int
        Number of calls between the store and this node.
    """

    relay: bool
    parents: tuple
    depth: int


def compute_weight(name, key):
    """Return the rendezvous weight of a node for a key."""
    text = f"{key}/{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def rank_by_weight(vms, text):
    """Return VMs in the order in which rendezvous hashing prefers them for a text."""
    return sorted(vms, key=lambda vm: compute_weight(vm.name, text))


def rank_nodes(vms, data_centre):
    """Return a data centre's VMs, the most suitable relay first.

    Notes
    -----
    Nodes that hold only some services come last: they are relays only if there is no
    other node, and then hold all services.
    """
    local = [vm for vm in vms if vm.data_centre == data_centre]
    return sorted(rank_by_weight(local, data_centre), key=lambda vm: not vm.holds_all)


def find_position(own, vms):
    """Return the tree position of a node.

    Parameters
    ----------
    own : Vm
        This node.
    vms : list of Vm
        Usable VMs; `own` is added if it is missing.

    Notes
    -----
    Ranks below ``RELAYS_PER_DATA_CENTRE`` are relays; the others form a heap below them
    with ``FAN_OUT`` children each. The parent is followed by the relays of its data
    centre and then by those of other data centres, in case the parent does not answer.
    A relay gets changes from other relays while it cannot reach the store.
    """
    if all(vm.name != own.name for vm in vms):
        vms = [*vms, own]
    ranked = rank_nodes(vms, own.data_centre)
    rank = next(i for i, vm in enumerate(ranked) if vm.name == own.name)
    relays = [vm for vm in ranked[:RELAYS_PER_DATA_CENTRE] if vm.name != own.name]
    remote = list_remote_relays(own, vms)
    if rank < RELAYS_PER_DATA_CENTRE:
        return TreePosition(True, tuple(relays + remote), 0)
    parent = ranked[find_parent_rank(rank, ranked)]
    others = [vm for vm in relays if vm.name != parent.name]
    return TreePosition(False, (parent, *others, *remote), compute_depth(rank))


def find_parent_rank(rank, ranked):
    """Return the rank of a node's parent, which holds all services.

    Notes
    -----
    Nodes that hold only some services are leaves. If there are more of them than a full
    tree has room for, they are distributed evenly.
    """
    full_node_count = max(RELAYS_PER_DATA_CENTRE, sum(vm.holds_all for vm in ranked))
    return (rank - RELAYS_PER_DATA_CENTRE) // FAN_OUT % full_node_count


def list_relays(vms):
    """Return the relays of every data centre."""
    names = sorted({vm.data_centre for vm in vms})
    return [
        vm for name in names for vm in rank_nodes(vms, name)[:RELAYS_PER_DATA_CENTRE]
    ]


def list_remote_relays(own, vms):
    """Return one relay of each other data centre, in order of rendezvous weight."""
    names = sorted({vm.data_centre for vm in vms} - {own.data_centre})
    relays = [rank_nodes(vms, name)[0] for name in names]
    return sorted(relays, key=lambda vm: compute_weight(own.name, vm.name))


def compute_depth(rank):
    """Return the number of calls between the store and a rank."""
    depth = 0
    while rank >= RELAYS_PER_DATA_CENTRE:
        rank = (rank - RELAYS_PER_DATA_CENTRE) // FAN_OUT
        depth += 1
    return depth
