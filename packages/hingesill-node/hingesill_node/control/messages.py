"""Turning the schema's messages into the core's data and back."""

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.membership.drainnotices import DrainNotice

__all__ = ["build_node_status", "decode_drain_notices", "encode_drain_notices"]


def encode_drain_notices(signs, now):
    """Return the schema's messages for signs."""
    return [
        pb.Sign(
            endpoint=sign.endpoint,
            remaining_ms=max(0, int((sign.until - now) * 1000)),
            sequence=sign.sequence,
        )
        for sign in signs
    ]


def decode_drain_notices(messages, now):
    """Yield the signs that messages hold."""
    for message in messages:
        yield DrainNotice(
            message.endpoint, message.sequence, now + message.remaining_ms / 1000
        )


def build_node_status(state, is_ready, counters):
    """Return this node's status as the schema's message."""
    return pb.NodeStatus(
        node=state.own.name,
        data_centre=state.own.data_centre,
        revision=state.replica.revision,
        confirmed_age_ms=state.get_confirmed_age_ms(),
        ready=is_ready,
        relay=state.is_relay,
        parent=state.parent,
        counters=counters.sum_by_name(),
    )
