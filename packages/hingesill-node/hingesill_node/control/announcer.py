"""Telling drain signs to other nodes without the store."""

import asyncio

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersStub
from hingesill_core.membership.spreading import list_relays
from hingesill_node.control.messages import write_signs

__all__ = ["Announcer"]

PEER_SECONDS = 2.0


class Announcer:
    """Tells drain signs to the relays, whose subscribers get them at once.

    Parameters
    ----------
    state : ControlState
        Its membership says who the relays are.
    channels : Channels
        To other nodes.
    """

    def __init__(self, state, channels):
        self.state = state
        self.channels = channels

    async def tell(self, signs):
        """Tell signs to all relays; return how many took them."""
        own = self.state.own.name
        usable = self.state.membership.list_usable(self.state.clock())
        relays = [vm for vm in list_relays(usable) if vm.name != own]
        request = pb.TellRequest(signs=write_signs(signs, self.state.clock()))
        answers = await asyncio.gather(*(self._tell(vm, request) for vm in relays))
        return sum(answers)

    async def _tell(self, vm, request):
        stub = PeersStub(self.channels.get(vm.control))
        try:
            await stub.Tell(request, timeout=PEER_SECONDS)
            return True
        except grpc.aio.AioRpcError:
            self.state.membership.note_silent(vm.name, self.state.clock())
            return False
