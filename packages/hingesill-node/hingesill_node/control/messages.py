"""Conversion between protobuf messages and the types of the core."""

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.membership.drainnotices import DrainNotice

__all__ = ["build_node_status", "decode_drain_notices", "encode_drain_notices"]


def encode_drain_notices(notices, now):
    """Return drain notices as protobuf messages."""
    return [
        pb.Sign(
            endpoint=notice.endpoint,
            remaining_ms=max(0, int((notice.until - now) * 1000)),
            sequence=notice.sequence,
        )
        for notice in notices
    ]


def decode_drain_notices(messages, now):
    """Yield the drain notices of protobuf messages."""
    for message in messages:
        yield DrainNotice(
            message.endpoint, message.sequence, now + message.remaining_ms / 1000
        )


def build_node_status(state, is_ready, counters):
    """Return the status of this node as a protobuf message."""
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
