"""The tree by which changes spread: relays read the store, others read a parent.

Every node works it out from the list it has. Two lists that differ give trees
that differ, which does no harm: any node serves any other, and a relay too many
costs the store one waiting watch.
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
    """Where a node stands in the tree of its data centre.

    Parameters
    ----------
    relay : bool
        It watches the store itself.
    parents : tuple of Vm
        Whom to take changes from, in order of preference.
    depth : int
        Calls between the store and this node.
    """

    relay: bool
    parents: tuple
    depth: int


def compute_weight(name, key):
    """Return the rendezvous weight of a node for a text."""
    text = f"{key}/{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def rank_by_weight(vms, text):
    """Return VMs, the one that rendezvous hashing prefers for a text first."""
    return sorted(vms, key=lambda vm: compute_weight(vm.name, text))


def rank_nodes(vms, data_centre):
    """Return a data centre's VMs, the most suited as a relay first.

    Notes
    -----
    Nodes that do not hold everything come last: they are relays only where
    there is no other node, and then hold everything.
    """
    local = [vm for vm in vms if vm.data_centre == data_centre]
    return sorted(rank_by_weight(local, data_centre), key=lambda vm: not vm.holds_all)


def find_position(own, vms):
    """Return the place of a node.

    Parameters
    ----------
    own : Vm
        The node.
    vms : list of Vm
        Usable VMs; the node's own is added if it is missing.

    Notes
    -----
    Ranks below ``RELAYS_PER_DATA_CENTRE`` are relays; the others form a heap
    below them with ``FAN_OUT`` children each. After the parent come its other
    relay, then the relays of other data centres, as a way round a parent that
    does not answer. A relay takes changes from other relays while it cannot
    reach the store.
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
    """Return the rank of a node's parent, which is one that holds everything.

    Notes
    -----
    Nodes that hold only some services are leaves, shared out evenly where there
    are more of them than a full tree has room for.
    """
    givers = max(RELAYS_PER_DATA_CENTRE, sum(vm.holds_all for vm in ranked))
    return (rank - RELAYS_PER_DATA_CENTRE) // FAN_OUT % givers


def list_relays(vms):
    """Return the relays of every data centre."""
    names = sorted({vm.data_centre for vm in vms})
    return [
        vm for name in names for vm in rank_nodes(vms, name)[:RELAYS_PER_DATA_CENTRE]
    ]


def list_remote_relays(own, vms):
    """Return one relay of each other data centre, the nearest hash first."""
    names = sorted({vm.data_centre for vm in vms} - {own.data_centre})
    relays = [rank_nodes(vms, name)[0] for name in names]
    return sorted(relays, key=lambda vm: compute_weight(own.name, vm.name))


def compute_depth(rank):
    """Return how many calls lie between the store and a rank."""
    depth = 0
    while rank >= RELAYS_PER_DATA_CENTRE:
        rank = (rank - RELAYS_PER_DATA_CENTRE) // FAN_OUT
        depth += 1
    return depth
