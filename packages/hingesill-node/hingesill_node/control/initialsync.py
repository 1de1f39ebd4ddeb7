"""Initial synchronisation: a started node is ready once it holds the newest state.

A confirmation by the store is enough, received directly or through a parent. Without
one, the node queries several others and fetches the newest of their states, since any
single one may lag behind.
"""

import asyncio

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersStub

__all__ = ["InitialSync"]

MAX_QUERIED_NODES = 5
QUERY_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.25
MAX_CONFIRMED_AGE_MS = 10_000


class InitialSync:
    """Brings a started node up to date before it may become ready.

    Parameters
    ----------
    state : ControlState
        Its ``initialized`` is set.
    replicator : Replicator
        Fetches the newest state of another node.
    channels : Channels
        Channels to other nodes.
    """

    def __init__(self, state, replicator, channels):
        self.state = state
        self.replicator = replicator
        self.channels = channels

    async def run(self):
        """Try repeatedly until the node is initialized."""
        while not self.state.initialized:
            await self._try_to_initialize()
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _try_to_initialize(self):
        state = self.state
        if state.get_confirmed_age_ms() < MAX_CONFIRMED_AGE_MS:
            state.initialized = True
            return
        revisions = await self._query_others()
        if not revisions:
            return
        newest, vm = max(revisions, key=lambda pair: pair[0])
        if state.replica.revision >= newest > 0:
            state.initialized = True
        else:
            await self.replicator.fetch(vm)

    async def _query_others(self):
        """Return (revision, VM) of the queried nodes that answered."""
        state = self.state
        usable = state.membership.list_usable(state.clock())
        others = [vm for vm in usable if vm.name != state.own.name and vm.holds_all]
        others.sort(key=lambda vm: (vm.data_centre != state.own.data_centre, vm.name))
        answers = await asyncio.gather(
            *(self._query_revision(vm) for vm in others[:MAX_QUERIED_NODES])
        )
        return [answer for answer in answers if answer is not None]

    async def _query_revision(self, vm):
        stub = PeersStub(self.channels.get(vm.control))
        try:
            status = await stub.Inspect(
                pb.StatusRequest(), timeout=QUERY_TIMEOUT_SECONDS
            )
            return status.revision, vm
        except grpc.aio.AioRpcError:
            self.state.membership.mark_unreachable(vm.name, self.state.clock())
            return None
