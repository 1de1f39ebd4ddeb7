"""What a relay sends to its followers: frames on one long answer."""

import struct
from enum import IntEnum

from msgspec import Struct

from hingesill_node.discovery.codec import decode_changes, decode_snapshot

__all__ = ["Frame", "FrameKind", "FrameReader", "build_frame"]

# Kind, seconds since the store's last return (negative if none), payload's length.
HEAD = struct.Struct("!BdI")
NO_RETURN = -1.0
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024


class FrameKind(IntEnum):
    """What a frame tells."""

    # The relay has just had the store's word that it knows everything.
    HEARTBEAT = 0
    # All that the relay holds.
    WHOLE = 1
    # What has changed since the frame before.
    CHANGES = 2


class Frame(Struct, frozen=True):
    """One frame as a follower gets it.

    Parameters
    ----------
    kind : FrameKind
        What it tells.
    return_age : float or None
        Seconds since the relay saw the store come back; None if it never did.
    content : Snapshot, Changes or None
        None with a heartbeat.
    """

    kind: FrameKind
    return_age: float | None
    content: object = None


def build_frame(kind, return_age, payload=b""):
    """Return the bytes of a frame.

    Parameters
    ----------
    kind : FrameKind
        What it tells.
    return_age : float or None
        Seconds since the relay saw the store come back; None if it never did.
    payload : bytes
        The encoded content; none with a heartbeat.
    """
    age = NO_RETURN if return_age is None else return_age
    return HEAD.pack(kind, age, len(payload)) + payload


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Take bytes; yield the frames that are whole now.

        Raises
        ------
        ValueError
            If the bytes are no frames.
        """
        self._buffer += data
        while len(self._buffer) >= HEAD.size:
            kind, age, length = HEAD.unpack_from(self._buffer)
            if length > MAX_PAYLOAD_BYTES:
                raise ValueError(f"a frame of {length} bytes")
            end = HEAD.size + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[HEAD.size : end])
            del self._buffer[:end]
            yield decode_frame(FrameKind(kind), age, payload)


def decode_frame(kind, age, payload):
    """Return the Frame of a head and a payload; ValueError if it is none."""
    return_age = None if age < 0 else age
    if kind is FrameKind.WHOLE:
        return Frame(kind, return_age, decode_snapshot(payload))
    if kind is FrameKind.CHANGES:
        return Frame(kind, return_age, decode_changes(payload))
    return Frame(kind, return_age)
