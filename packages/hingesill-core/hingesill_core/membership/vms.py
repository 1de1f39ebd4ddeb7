"""The platform's lagging list of VMs, joined with what peers were heard of."""

from enum import Enum

from msgspec import Struct

__all__ = ["Vm", "VmState", "Membership"]

SILENT_AFTER = 10.0


class VmState(str, Enum):
    """The platform's word on a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Struct, frozen=True):
    """One node process as the list shows it.

    Parameters
    ----------
    name : str
        The node's name, which no other node ever has.
    control : str
        Address of its control port.
    data_centre : str
        Where it runs.
    state : VmState
        LEAVING ones serve, but are asked for nothing new.
    holds_all : bool
        False for a node that holds only the services that it needs; it gives
        changes to nobody.
    """

    name: str
    control: str
    data_centre: str
    state: VmState = VmState.LIVE
    holds_all: bool = True


class Membership:
    """The newest list, and which of it failed to answer of late.

    Notes
    -----
    A VM that the list still shows but that is gone costs one failed call each
    ``SILENT_AFTER`` seconds. One that the list does not show yet takes part as
    soon as it subscribes, since any node serves any other.
    """

    def __init__(self, own):
        self.own = own
        self._vms = {own.name: own}
        self._silent = {}

    def replace_vms(self, vms):
        """Put a newer list in force; this node itself always belongs to it."""
        self._vms = {vm.name: vm for vm in vms}
        self._vms.setdefault(self.own.name, self.own)
        self._silent = {n: t for n, t in self._silent.items() if n in self._vms}

    def mark_unreachable(self, name, now):
        """Note that a node did not answer."""
        self._silent[name] = now

    def mark_reachable(self, name):
        """Note that a node answered."""
        self._silent.pop(name, None)

    def list_all(self):
        """Return every VM of the list."""
        return list(self._vms.values())

    def list_usable(self, now):
        """Return the VMs to count on: live ones that were not silent of late."""
        return [
            vm
            for vm in self._vms.values()
            if vm.state is VmState.LIVE and not self._is_silent(vm.name, now)
        ]

    def _is_silent(self, name, now):
        if name == self.own.name:
            return False
        return now - self._silent.get(name, -SILENT_AFTER) < SILENT_AFTER
