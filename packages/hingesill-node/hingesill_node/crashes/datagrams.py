"""Encodes, decodes and validates gossip datagrams on endpoint crashes."""

from msgspec import DecodeError
from msgspec.msgpack import Decoder, encode

from hingesill_core.crashes.fingerprint import FingerprintScope
from hingesill_core.crashes.history import CRASH_RETENTION_SECONDS
from hingesill_core.crashes.messages import GossipKind, GossipMessage
from hingesill_core.crashes.quarantine import (
    MAX_QUARANTINE_SECONDS,
    MAX_QUARANTINED_REQUESTS,
)

__all__ = ["MESSAGE_PREFIX", "decode_message", "encode_message", "is_gossip_message"]

MAX_FINGERPRINT_LENGTH = 64
MAX_ENDPOINT_LENGTH = 128

DECODER = Decoder(GossipMessage)
# First byte of each gossip message; other datagrams between nodes have another one.
MESSAGE_PREFIX = encode(GossipMessage())[:1]


def encode_message(message):
    """Return the bytes of a GossipMessage."""
    return encode(message)


def decode_message(data):
    """Return the GossipMessage of a datagram.

    Raises
    ------
    ValueError
        If the datagram is not a GossipMessage or a value is out of range.
    """
    try:
        message = DECODER.decode(data)
    except (DecodeError, RecursionError) as error:
        raise ValueError(f"not a gossip message: {error}") from error
    for item in message.items:
        check_item(item)
    return message


def check_item(item):
    """Raise ValueError if a value of a gossip item is out of range."""
    if not 0 < len(item.fingerprints) <= len(FingerprintScope):
        raise ValueError(f"gossip item has {len(item.fingerprints)} fingerprints")
    for fingerprint in item.fingerprints:
        if not 0 < len(fingerprint) <= MAX_FINGERPRINT_LENGTH:
            raise ValueError(f"fingerprint has {len(fingerprint)} characters")
    if len(item.endpoint) > MAX_ENDPOINT_LENGTH:
        raise ValueError(f"endpoint identity has {len(item.endpoint)} characters")
    if not 0.0 <= item.age <= CRASH_RETENTION_SECONDS + MAX_QUARANTINE_SECONDS:
        raise ValueError(f"age of {item.age} s is out of range")
    if item.kind is GossipKind.CRASHED and not item.endpoint:
        raise ValueError("crash report has no endpoint")
    if item.kind is GossipKind.QUARANTINED:
        check_quarantine(item)


def check_quarantine(item):
    """Raise ValueError if the duration or count of a quarantine is out of range."""
    if not 0.0 < item.left <= MAX_QUARANTINE_SECONDS:
        raise ValueError(f"remaining quarantine of {item.left} s is out of range")
    if not 0 < item.times <= MAX_QUARANTINED_REQUESTS:
        raise ValueError(f"quarantine count of {item.times} is out of range")


def is_gossip_message(data):
    """Return whether the first byte of a datagram is that of a GossipMessage."""
    return data[:1] == MESSAGE_PREFIX
