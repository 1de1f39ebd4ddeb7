"""The gRPC service for other nodes."""

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import PeersServicer
from hingesill_core.configuration.state import encode_difference
from hingesill_node.control.messages import (
    build_node_status,
    decode_drain_notices,
    encode_drain_notices,
)
from hingesill_node.control.replicator import HEARTBEAT_SECONDS, UPDATE_FORMAT

__all__ = ["Peers"]


class Peers(PeersServicer):
    """Serves subscriptions, drain notices and the status to other nodes.

    Parameters
    ----------
    state : ControlState
        State of the control thread; received drain notices are applied to it.
    is_ready : callable
        Returns whether the node is ready.
    """

    def __init__(self, state, is_ready):
        self.state = state
        self.is_ready = is_ready
        self._encoded_key = None
        self._encoded = b""

    async def Subscribe(self, request, context):
        """Send each change as a difference from the subscriber's revision."""
        state = self.state
        if state.interests and not state.is_relay:
            reason = "this node holds only some services"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, reason)
        state.membership.mark_reachable(request.node)
        known_revision = request.revision
        names = frozenset(request.services)
        sent_generation = -1
        while True:
            update = self._build_update(known_revision, names, sent_generation)
            known_revision = max(known_revision, update.revision)
            sent_generation = state.drain_notices.generation
            state.counters.add("peer_bytes", "sent", amount=update.ByteSize())
            yield update
            await self._wait_for_update(known_revision, sent_generation)

    async def _wait_for_update(self, known_revision, sent_generation):
        """Wait for a change, or until the next heartbeat is due."""
        state = self.state
        if (
            state.replica.revision > known_revision
            or state.drain_notices.generation != sent_generation
        ):
            return
        await state.wait_for_change(HEARTBEAT_SECONDS)

    def _build_update(self, known_revision, names, sent_generation):
        state = self.state
        replica = state.replica
        update = pb.Update(
            since=known_revision,
            revision=replica.revision,
            chain=replica.chain,
            confirmed_age_ms=state.get_confirmed_age_ms(),
            format=UPDATE_FORMAT,
        )
        if replica.revision > known_revision:
            update.difference = self._encode_since(known_revision, names)
        if sent_generation != state.drain_notices.generation:
            notices = state.drain_notices.list_all()
            update.signs.extend(encode_drain_notices(notices, state.clock()))
        return update

    def _encode_since(self, known_revision, names):
        """Return the encoded difference since a revision, cached for other children."""
        replica = self.state.replica
        key = (known_revision, replica.revision, names)
        if key != self._encoded_key:
            difference = replica.build_difference(known_revision, names)
            self._encoded = encode_difference(difference)
            self._encoded_key = key
        return self._encoded

    async def Tell(self, request, context):
        """Apply drain notices of another node; return all that are known here."""
        now = self.state.clock()
        self.state.apply_drain_notices(decode_drain_notices(request.signs, now))
        return pb.TellReply(
            signs=encode_drain_notices(self.state.drain_notices.list_all(), now)
        )

    async def Inspect(self, request, context):
        """Return the status of this node."""
        return build_node_status(self.state, self.is_ready(), self.state.counters)
