"""Datagrams between nodes on requests under which endpoints ended, and their checks."""

from msgspec import DecodeError
from msgspec.msgpack import Decoder, encode

from hingesill_core.crashes.fingerprint import Breadth
from hingesill_core.crashes.history import MEMORY_SECONDS
from hingesill_core.crashes.messages import GossipKind, GossipMessage
from hingesill_core.crashes.quarantine import (
    MAX_QUARANTINE_SECONDS,
    MAX_QUARANTINED_REQUESTS,
)

__all__ = ["MESSAGE_PREFIX", "decode_batch", "encode_batch", "is_batch"]

LONGEST_FINGERPRINT = 64
LONGEST_ENDPOINT = 128

BATCHES = Decoder(GossipMessage)
# With what each one begins; other datagrams of nodes begin with something else.
MESSAGE_PREFIX = encode(GossipMessage())[:1]


def encode_batch(batch):
    """Return the bytes of a Batch."""
    return encode(batch)


def decode_batch(data):
    """Return the Batch that a datagram holds.

    Raises
    ------
    ValueError
        If it holds none, or figures beyond all bounds.
    """
    try:
        batch = BATCHES.decode(data)
    except (DecodeError, RecursionError) as error:
        raise ValueError(f"not a batch: {error}") from error
    for told in batch.told:
        check_told(told)
    return batch


def check_told(told):
    """Raise ValueError for news that no node of this project tells."""
    if not 0 < len(told.fingerprints) <= len(Breadth):
        raise ValueError(f"{len(told.fingerprints)} fingerprints")
    for fingerprint in told.fingerprints:
        if not 0 < len(fingerprint) <= LONGEST_FINGERPRINT:
            raise ValueError(f"a fingerprint of {len(fingerprint)} characters")
    if len(told.endpoint) > LONGEST_ENDPOINT:
        raise ValueError(f"an identity of {len(told.endpoint)} characters")
    if not 0.0 <= told.age <= MEMORY_SECONDS + MAX_QUARANTINE_SECONDS:
        raise ValueError(f"an age of {told.age} s")
    if told.kind is GossipKind.ENDED and not told.endpoint:
        raise ValueError("an ending without an endpoint")
    if told.kind is GossipKind.HELD:
        check_held(told)


def check_held(told):
    """Raise ValueError for a hold that no node of this project begins."""
    if not 0.0 < told.left <= MAX_QUARANTINE_SECONDS:
        raise ValueError(f"a hold of {told.left} s")
    if not 0 < told.times <= MAX_QUARANTINED_REQUESTS:
        raise ValueError(f"a request that was held back {told.times} times")


def is_batch(data):
    """Tell whether a datagram is meant to be a Batch, by its first byte."""
    return data[:1] == MESSAGE_PREFIX
