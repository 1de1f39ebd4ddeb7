"""Announcement of drain notices to other nodes without the store."""

import asyncio
import random

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersStub
from hingesill_core.membership.relaytree import list_relays
from hingesill_node.control.messages import decode_drain_notices, encode_drain_notices

__all__ = ["Announcer"]

PEER_TIMEOUT_SECONDS = 2.0
MAX_DIRECT_RECIPIENTS = 32
EXCHANGE_INTERVAL_SECONDS = 2.0
RELAYS_PER_EXCHANGE = 3


class Announcer:
    """Sends drain notices to other nodes, and exchanges them between relays.

    Parameters
    ----------
    state : ControlState
        Its membership lists the recipients.
    channels : Channels
        Channels to other nodes.

    Notes
    -----
    In a small fleet, notices are sent to every node; in a large one only to the relays,
    whose subscribers get them with updates. The list of VMs may lack a node that has
    just started, and a relay without a parent would then miss a notice. Each relay
    therefore exchanges all notices with a few others every two seconds, in both
    directions.
    """

    def __init__(self, state, channels, rng=None):
        self.state = state
        self.channels = channels
        self.rng = rng or random.Random()

    async def run(self):
        """Exchange notices with other relays periodically until cancelled."""
        while True:
            await asyncio.sleep(
                EXCHANGE_INTERVAL_SECONDS * (0.75 + self.rng.random() / 2)
            )
            if self.state.is_relay:
                relays = self._list_others(list_relays)
                partners = self.rng.sample(
                    relays, min(RELAYS_PER_EXCHANGE, len(relays))
                )
                await self._send_to_all(partners, self.state.drain_notices.list_all())

    async def announce(self, notices):
        """Send notices to other nodes; return how many received them."""
        nodes = self._list_others(list)
        if len(nodes) > MAX_DIRECT_RECIPIENTS:
            nodes = self._list_others(list_relays)
        return await self._send_to_all(nodes, notices)

    def _list_others(self, select):
        """Return the usable VMs that a function selects, without this node."""
        usable = self.state.membership.list_usable(self.state.clock())
        return [vm for vm in select(usable) if vm.name != self.state.own.name]

    async def _send_to_all(self, vms, notices):
        request = pb.TellRequest(
            signs=encode_drain_notices(notices, self.state.clock())
        )
        received = await asyncio.gather(*(self._send(vm, request) for vm in vms))
        return sum(received)

    async def _send(self, vm, request):
        stub = PeersStub(self.channels.get(vm.control))
        try:
            reply = await stub.Tell(request, timeout=PEER_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError:
            self.state.membership.mark_unreachable(vm.name, self.state.clock())
            return False
        self.state.apply_drain_notices(
            decode_drain_notices(reply.signs, self.state.clock())
        )
        return True
