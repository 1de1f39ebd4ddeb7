"""The platform's list of VMs, which lags, and the reachability of the nodes."""

from enum import Enum

from msgspec import Struct

__all__ = ["Vm", "VmState", "Membership"]

# Time for which a node is not used after a failed call, in seconds.
UNREACHABLE_SECONDS = 10.0


class VmState(str, Enum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Struct, frozen=True):
    """One node process in the list of VMs.

    Parameters
    ----------
    name : str
        Name of the node; names are never used again.
    control : str
        Address of its control port.
    data_centre : str
        Data centre in which the node runs.
    state : VmState
        A LEAVING node still serves, but gets no new calls.
    holds_all : bool
        Whether the node holds all services. A node that holds only the services it
        needs is no parent of other nodes.
    forward_port : int
        Port at which it accepts requests that other nodes forward, on the IP address of
        `control`; 0 if it accepts none.
    """

    name: str
    control: str
    data_centre: str
    state: VmState = VmState.LIVE
    holds_all: bool = True
    forward_port: int = 0


class Membership:
    """The newest list of VMs, and which nodes recently failed to answer.

    Notes
    -----
    A VM that is gone but still listed costs one failed call each
    ``UNREACHABLE_SECONDS``. A node that is not listed yet takes part as soon as it
    subscribes, since any node serves any other.
    """

    def __init__(self, own):
        self.own = own
        self._vms = {own.name: own}
        self._unreachable_since = {}

    def replace_vms(self, vms):
        """Replace the list by a newer one; this node itself is always included."""
        self._vms = {vm.name: vm for vm in vms}
        self._vms.setdefault(self.own.name, self.own)
        self._unreachable_since = {
            n: t for n, t in self._unreachable_since.items() if n in self._vms
        }

    def mark_unreachable(self, name, now):
        """Record that a node did not answer."""
        self._unreachable_since[name] = now

    def mark_reachable(self, name):
        """Record that a node answered."""
        self._unreachable_since.pop(name, None)

    def list_all(self):
        """Return all VMs of the list."""
        return list(self._vms.values())

    def list_usable(self, now):
        """Return the live VMs that are not marked unreachable."""
        return [
            vm
            for vm in self._vms.values()
            if vm.state is VmState.LIVE and not self._is_unreachable(vm.name, now)
        ]

    def _is_unreachable(self, name, now):
        if name == self.own.name:
            return False
        return (
            now - self._unreachable_since.get(name, -UNREACHABLE_SECONDS)
            < UNREACHABLE_SECONDS
        )
