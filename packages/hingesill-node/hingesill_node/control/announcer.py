"""Telling drain signs to other nodes without the store."""

import asyncio
import random

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersStub
from hingesill_core.membership.relaytree import list_relays
from hingesill_node.control.messages import decode_drain_notices, encode_drain_notices

__all__ = ["Announcer"]

PEER_SECONDS = 2.0
MOST_TOLD_DIRECTLY = 32
EVEN_OUT_SECONDS = 2.0
RELAYS_EVENED_OUT = 3


class Announcer:
    """Tells drain signs at once, and evens them out between relays now and then.

    Parameters
    ----------
    state : ControlState
        Its membership says whom to tell.
    channels : Channels
        To other nodes.

    Notes
    -----
    A small fleet is told as a whole, a large one by its relays, whose subscribers
    get the signs with updates. The list of VMs may lack a node that just started;
    a relay that follows nobody would then miss a sign. So each relay exchanges all
    signs with a few others every two seconds, in both directions.
    """

    def __init__(self, state, channels, rng=None):
        self.state = state
        self.channels = channels
        self.rng = rng or random.Random()

    async def run(self):
        """Even signs out with other relays until cancelled."""
        while True:
            await asyncio.sleep(EVEN_OUT_SECONDS * (0.75 + self.rng.random() / 2))
            if self.state.is_relay:
                relays = self._list_others(list_relays)
                some = self.rng.sample(relays, min(RELAYS_EVENED_OUT, len(relays)))
                await self._tell_all(some, self.state.signs.list_all())

    async def tell(self, signs):
        """Tell signs at once; return how many nodes took them."""
        nodes = self._list_others(list)
        if len(nodes) > MOST_TOLD_DIRECTLY:
            nodes = self._list_others(list_relays)
        return await self._tell_all(nodes, signs)

    def _list_others(self, select):
        """Return those of the usable VMs that a function selects, without this."""
        usable = self.state.membership.list_usable(self.state.clock())
        return [vm for vm in select(usable) if vm.name != self.state.own.name]

    async def _tell_all(self, vms, signs):
        request = pb.TellRequest(signs=encode_drain_notices(signs, self.state.clock()))
        answers = await asyncio.gather(*(self._tell(vm, request) for vm in vms))
        return sum(answers)

    async def _tell(self, vm, request):
        stub = PeersStub(self.channels.get(vm.control))
        try:
            reply = await stub.Tell(request, timeout=PEER_SECONDS)
        except grpc.aio.AioRpcError:
            self.state.membership.mark_unreachable(vm.name, self.state.clock())
            return False
        self.state.apply_drain_notices(
            decode_drain_notices(reply.signs, self.state.clock())
        )
        return True
