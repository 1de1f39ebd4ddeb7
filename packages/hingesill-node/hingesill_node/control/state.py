"""State of the control thread; only its event loop may access it."""

import asyncio
from collections import OrderedDict

from msgspec import Struct, field

from hingesill_core.configuration.state import Applied, Replica
from hingesill_core.membership.drainnotices import DrainNoticeTable
from hingesill_core.membership.vms import Membership
from hingesill_node.clocks import read_boot_time
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ControlState", "NEVER_CONFIRMED", "copy_replica"]

NEVER_CONFIRMED = 2**63

REFUSED_EVENTS = {
    Applied.OLDER: Event.OLDER_REFUSED,
    Applied.FORKED: Event.FORK_REFUSED,
}


class ControlState(Struct):
    """The replica, its freshness, the membership and the drain notices.

    Parameters
    ----------
    membership : Membership
        VMs of this node and of the others.
    counters : Counters
        Shared with the data path.
    interests : frozenset of str
        Services that this node holds; empty for all.
    publish : callable
        Called after each change of the replica or of the drain notices.

    Attributes
    ----------
    clock : callable
        Returns seconds that include the time in which the VM was suspended, so that a
        state that was confirmed before a suspension is old after it.
    initialized : bool
        Whether a started node is known to hold the same state as the others.
    """

    membership: Membership
    counters: object
    interests: frozenset
    publish: object
    clock: object = read_boot_time
    replica: Replica = field(default_factory=Replica)
    drain_notices: DrainNoticeTable = field(default_factory=DrainNoticeTable)
    confirmed_at: float | None = None
    parent: str = ""
    is_relay: bool = False
    is_store_available: bool = False
    initialized: bool = False
    last_peer_at: float | None = None
    _changed: object = None

    def __post_init__(self):
        self._changed = asyncio.Event()

    @property
    def own(self):
        """VM of this node."""
        return self.membership.own

    def adopt(self, difference, source):
        """Apply a difference to the replica; log one that is refused.

        Returns
        -------
        Applied
            Result of applying it.
        """
        applied = self.replica.adopt(difference)
        event = REFUSED_EVENTS.get(applied)
        if event is not None:
            log_event(event, source=source, offered=difference.revision)
        if applied is Applied.APPLIED:
            self.publish_change()
        return applied

    def apply_drain_notices(self, notices):
        """Apply drain notices; return whether any was newer than the known one."""
        now = self.clock()
        applied = [notice for notice in notices if self.drain_notices.take(notice, now)]
        for notice in applied:
            if notice.until > now:
                log_event(Event.ENDPOINT_DRAINING, endpoint=notice.endpoint)
        if applied:
            self.publish_change()
        return bool(applied)

    def confirm(self, at):
        """Record that the replica was the newest state at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def get_confirmed_age_ms(self):
        """Return the milliseconds since the state was last confirmed as the newest.

        `NEVER_CONFIRMED` if neither the store nor a parent has confirmed it yet.
        """
        if self.confirmed_at is None:
            return NEVER_CONFIRMED
        return max(0, int((self.clock() - self.confirmed_at) * 1000))

    def publish_change(self):
        """Publish to the hub and wake the tasks that wait for a change."""
        self.publish()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_for_change(self, seconds):
        """Wait for the next change, for at most the given seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return


def copy_replica(replica):
    """Return a copy that another thread may change."""
    return Replica(
        replica.revision,
        replica.chain,
        OrderedDict(replica.services),
        OrderedDict(replica._operations),
        replica._chains.copy(),
    )
