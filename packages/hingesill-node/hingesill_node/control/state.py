"""What the control thread knows; only its loop touches it."""

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
    """The replica, its freshness, the membership and the drain signs.

    Parameters
    ----------
    membership : Membership
        The node's own VM and the others.
    counters : Counters
        Shared with the data path.
    interests : frozenset of str
        The services this node holds; empty for all.
    publish : callable
        Called after each change of the replica or of the signs.

    Attributes
    ----------
    clock : callable
        Seconds by which what is known here ages, those in which the VM was suspended
        too: what was confirmed before a suspension is old after it.
    settled : bool
        Whether a started node knows that it holds what others hold.
    """

    membership: Membership
    counters: object
    interests: frozenset
    publish: object
    clock: object = read_boot_time
    replica: Replica = field(default_factory=Replica)
    signs: DrainNoticeTable = field(default_factory=DrainNoticeTable)
    confirmed_at: float | None = None
    parent: str = ""
    is_relay: bool = False
    is_store_available: bool = False
    settled: bool = False
    last_peer_at: float | None = None
    _changed: object = None

    def __post_init__(self):
        self._changed = asyncio.Event()

    @property
    def own(self):
        """This node."""
        return self.membership.own

    def adopt(self, difference, source):
        """Take a difference; log one that is refused.

        Returns
        -------
        Applied
            As the replica judged it.
        """
        applied = self.replica.adopt(difference)
        event = REFUSED_EVENTS.get(applied)
        if event is not None:
            log_event(event, source=source, offered=difference.revision)
        if applied is Applied.APPLIED:
            self.wake()
        return applied

    def apply_drain_notices(self, signs):
        """Take drain signs; wake everybody if one of them is news."""
        now = self.clock()
        news = [sign for sign in signs if self.signs.take(sign, now)]
        for sign in news:
            if sign.until > now:
                log_event(Event.ENDPOINT_DRAINING, endpoint=sign.endpoint)
        if news:
            self.wake()
        return bool(news)

    def confirm(self, at):
        """Note that the replica was the newest state at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def get_confirmed_age_ms(self):
        """Return the milliseconds since the state was known to be the newest.

        `NEVER_CONFIRMED` if neither the store nor a parent has said so yet.
        """
        if self.confirmed_at is None:
            return NEVER_CONFIRMED
        return max(0, int((self.clock() - self.confirmed_at) * 1000))

    def wake(self):
        """Publish to the hub and wake those who wait for a change."""
        self.publish()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_change(self, seconds):
        """Wait for the next change, or for some seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return


def copy_replica(replica):
    """Return a copy that a thread may change."""
    return Replica(
        replica.revision,
        replica.chain,
        OrderedDict(replica.services),
        OrderedDict(replica._operations),
        replica._chains.copy(),
    )
