"""The calls that other nodes make on this one."""

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersServicer
from hingesill_core.configuration.state import encode_difference
from hingesill_node.control.messages import (
    build_node_status,
    decode_drain_notices,
    encode_drain_notices,
)
from hingesill_node.control.spreader import HEARTBEAT_SECONDS

__all__ = ["Peers"]


class Peers(PeersServicer):
    """Serves subscriptions, drain signs and status to other nodes.

    Parameters
    ----------
    state : ControlState
        Read, and written by drain signs.
    is_ready : callable
        Tells whether the node is ready.
    """

    def __init__(self, state, is_ready):
        self.state = state
        self.is_ready = is_ready
        self._encoded_key = None
        self._encoded = b""

    async def Subscribe(self, request, context):
        """Send each change as the difference from what the subscriber has."""
        state = self.state
        if state.interests and not state.is_relay:
            reason = "this node holds only some services"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, reason)
        state.membership.mark_reachable(request.node)
        held = request.revision
        names = frozenset(request.services)
        signs_sent = -1
        while True:
            update = self._build_update(held, names, signs_sent)
            held = max(held, update.revision)
            signs_sent = state.signs.generation
            state.counters.add("peer_bytes", "sent", amount=update.ByteSize())
            yield update
            await self._wait_news(held, signs_sent)

    async def _wait_news(self, held, signs_sent):
        """Wait for a change or for the next heartbeat."""
        state = self.state
        if state.replica.revision > held or state.signs.generation != signs_sent:
            return
        await state.wait_change(HEARTBEAT_SECONDS)

    def _build_update(self, held, names, signs_sent):
        state = self.state
        replica = state.replica
        update = pb.Update(
            since=held,
            revision=replica.revision,
            chain=replica.chain,
            confirmed_age_ms=state.get_confirmed_age_ms(),
        )
        if replica.revision > held:
            update.difference = self._encode_since(held, names)
        if signs_sent != state.signs.generation:
            signs = state.signs.list_all()
            update.signs.extend(encode_drain_notices(signs, state.clock()))
        return update

    def _encode_since(self, held, names):
        """Return the difference since a revision, encoded once for all children."""
        replica = self.state.replica
        key = (held, replica.revision, names)
        if key != self._encoded_key:
            difference = replica.build_difference(held, names)
            self._encoded = encode_difference(difference)
            self._encoded_key = key
        return self._encoded

    async def Tell(self, request, context):
        """Take drain signs from any node; subscribers get them at once."""
        now = self.state.clock()
        self.state.apply_drain_notices(decode_drain_notices(request.signs, now))
        return pb.TellReply(
            signs=encode_drain_notices(self.state.signs.list_all(), now)
        )

    async def Inspect(self, request, context):
        """Return this node's status."""
        return build_node_status(self.state, self.is_ready(), self.state.counters)
