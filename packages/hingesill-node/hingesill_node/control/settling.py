"""A started node is ready only when it knows that it holds the newest state.

The store's word, its own or through a parent, is enough. Without it the node asks
several others and takes the newest of what they hold, as one of them may itself lag
behind.
"""

import asyncio

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersStub

__all__ = ["Settling"]

NODES_ASKED = 5
ANSWER_SECONDS = 1.0
PAUSE_SECONDS = 0.25
FRESH_MS = 10_000


class Settling:
    """Finds out whether a started node may become ready.

    Parameters
    ----------
    state : ControlState
        Its ``settled`` is written.
    spreader : Spreader
        Takes the newest state that was found.
    channels : Channels
        To other nodes.
    """

    def __init__(self, state, spreader, channels):
        self.state = state
        self.spreader = spreader
        self.channels = channels

    async def run(self):
        """Work until the node has settled."""
        while not self.state.settled:
            await self._try_to_settle()
            await asyncio.sleep(PAUSE_SECONDS)

    async def _try_to_settle(self):
        state = self.state
        if state.get_confirmed_age_ms() < FRESH_MS:
            state.settled = True
            return
        found = await self._ask_others()
        if not found:
            return
        newest, vm = max(found, key=lambda pair: pair[0])
        if state.replica.revision >= newest > 0:
            state.settled = True
        else:
            await self.spreader.fetch(vm)

    async def _ask_others(self):
        """Return (revision, VM) of several nodes that answer."""
        state = self.state
        usable = state.membership.list_usable(state.clock())
        others = [vm for vm in usable if vm.name != state.own.name and vm.holds_all]
        others.sort(key=lambda vm: (vm.data_centre != state.own.data_centre, vm.name))
        answers = await asyncio.gather(*(self._ask(vm) for vm in others[:NODES_ASKED]))
        return [answer for answer in answers if answer is not None]

    async def _ask(self, vm):
        stub = PeersStub(self.channels.get(vm.control))
        try:
            status = await stub.Inspect(pb.StatusRequest(), timeout=ANSWER_SECONDS)
            return status.revision, vm
        except grpc.aio.AioRpcError:
            self.state.membership.mark_unreachable(vm.name, self.state.clock())
            return None
