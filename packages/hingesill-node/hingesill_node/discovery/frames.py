"""Frames that a relay sends to its followers as a streamed response."""

import struct
from enum import IntEnum

from msgspec import Struct

from hingesill_node.discovery.codec import decode_changes, decode_snapshot

__all__ = ["Frame", "FrameKind", "FrameReader", "build_frame"]

# Kind, seconds since the store's last return (negative if none), payload's length.
HEADER = struct.Struct("!BdI")
NO_RETURN = -1.0
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024


class FrameKind(IntEnum):
    """Kinds of frames."""

    # The store has just confirmed that the relay is up to date.
    HEARTBEAT = 0
    # The relay's complete directory.
    WHOLE = 1
    # Changes since the previous frame.
    CHANGES = 2


class Frame(Struct, frozen=True):
    """A decoded frame.

    Parameters
    ----------
    kind : FrameKind
        The frame's kind.
    return_age : float or None
        Seconds since the store last became available again, as seen by the relay; None
        if it saw no outage.
    content : Snapshot, Changes or None
        None for a heartbeat.
    """

    kind: FrameKind
    return_age: float | None
    content: object = None


def build_frame(kind, return_age, payload=b""):
    """Return the bytes of a frame.

    Parameters
    ----------
    kind : FrameKind
        The frame's kind.
    return_age : float or None
        See `Frame`.
    payload : bytes
        The encoded content; empty for a heartbeat.
    """
    age = NO_RETURN if return_age is None else return_age
    return HEADER.pack(kind, age, len(payload)) + payload


class FrameReader:
    """Decodes frames from a stream of bytes."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Add received bytes; yield the frames that are complete.

        Raises
        ------
        ValueError
            If the bytes are not valid frames.
        """
        self._buffer += data
        while len(self._buffer) >= HEADER.size:
            kind, age, length = HEADER.unpack_from(self._buffer)
            if length > MAX_PAYLOAD_BYTES:
                raise ValueError(f"frame payload of {length} bytes is too long")
            end = HEADER.size + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            yield decode_frame(FrameKind(kind), age, payload)


def decode_frame(kind, age, payload):
    """Return the Frame of a header and a payload; raise ValueError if invalid."""
    return_age = None if age < 0 else age
    if kind is FrameKind.WHOLE:
        return Frame(kind, return_age, decode_snapshot(payload))
    if kind is FrameKind.CHANGES:
        return Frame(kind, return_age, decode_changes(payload))
    return Frame(kind, return_age)
