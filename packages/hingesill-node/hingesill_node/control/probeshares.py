"""Acquisition and renewal of a share of the probe budget, a lease in the store."""

import asyncio
import random

from hingesill_core.membership.relaytree import rank_by_weight
from hingesill_core.probing.probeshare import (
    PROBE_SHARE_TTL_SECONDS,
    PROBE_SHARES,
    ProbeShare,
)
from hingesill_core.store import LeaseGranted, LeaseLost
from hingesill_node.clocks import read_boot_time
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ProbeShares"]

CANDIDATES_PER_SHARE = 2
RENEW_INTERVAL_SECONDS = PROBE_SHARE_TTL_SECONDS / 3
ACQUIRE_INTERVAL_SECONDS = 5.0


class ProbeShares:
    """Acquires one share and renews its lease.

    Parameters
    ----------
    state : ControlState
        Its membership determines which shares this node is a candidate for.
    store : Store
        Store of the leases.
    store_calls : StoreCalls
        Runs the blocking calls to the store.
    team : str
        First part of the keys.
    publish : callable
        Called with the ProbeShare, or with None once it is lost.
    """

    def __init__(self, state, store, store_calls, team, publish):
        self.state = state
        self.store = store
        self.store_calls = store_calls
        self.team = team
        self.publish = publish
        self.share = None
        self.rng = random.Random()

    async def run(self):
        """Acquire a share and renew it, until cancelled."""
        while True:
            if self.share is None:
                await self._try_to_acquire()
                await asyncio.sleep(
                    ACQUIRE_INTERVAL_SECONDS * (0.5 + self.rng.random())
                )
            else:
                await asyncio.sleep(RENEW_INTERVAL_SECONDS)
                await self._renew()

    async def _try_to_acquire(self):
        """Try to acquire one of the shares that this node is a candidate for."""
        if not self.state.is_store_available:
            return
        usable = self.state.membership.list_usable(self.state.clock())
        for number in range(PROBE_SHARES):
            ranked = rank_by_weight(usable, f"probe-share-{number}")
            if self.state.own.name not in [
                vm.name for vm in ranked[:CANDIDATES_PER_SHARE]
            ]:
                continue
            if await self._acquire(number):
                return

    async def _acquire(self, number):
        requested_at = read_boot_time()
        key = f"{self.team}/probe-share/{number}"
        name = self.state.own.name
        answer = await self.store_calls.run(
            self.store.acquire, key, name, PROBE_SHARE_TTL_SECONDS
        )
        if not isinstance(answer, LeaseGranted):
            return False
        self.share = ProbeShare.acquire(number, answer.lease, answer.ttl, requested_at)
        log_event(Event.PROBE_SHARE_HELD, share=number)
        self.publish(self.share)
        return True

    async def _renew(self):
        requested_at = read_boot_time()
        share = self.share
        answer = await self.store_calls.run(
            self.store.renew, share.lease, PROBE_SHARE_TTL_SECONDS
        )
        if isinstance(answer, LeaseGranted):
            share.renew(answer.ttl, requested_at)
            self.publish(share)
        elif isinstance(answer, LeaseLost) or not share.is_held(read_boot_time()):
            log_event(Event.PROBE_SHARE_LOST, share=share.number)
            self.share = None
            self.publish(None)

    async def release(self):
        """Release the share before a planned stop."""
        if self.share is not None:
            self.publish(None)
            await self.store_calls.run(self.store.release, self.share.lease)
