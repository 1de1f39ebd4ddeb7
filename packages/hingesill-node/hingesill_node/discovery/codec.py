"""Encodes directories and their changes for other nodes."""

import zlib

from msgspec import DecodeError, Struct
from msgspec.json import Decoder, encode as encode_json
from msgspec.structs import replace

from hingesill_core.discovery.records import Changes, Snapshot
from hingesill_core.routing.profile import Profile

__all__ = ["decode_changes", "decode_profile", "decode_snapshot", "encode"]

# Level of zlib. Content for many nodes is encoded once, and bandwidth may be low.
COMPRESSION_LEVEL = 6


class Envelope(Struct, frozen=True):
    """The format of a Snapshot or Changes; builds before format 2 do not name it."""

    format: int = 1


ENVELOPE_DECODER = Decoder(Envelope)
SNAPSHOT_DECODER = Decoder(Snapshot)
CHANGES_DECODER = Decoder(Changes)
PROFILE_DECODER = Decoder(Profile)


def encode(content):
    """Return a Snapshot, Changes or Profile as compressed JSON."""
    return zlib.compress(encode_json(content), COMPRESSION_LEVEL)


def decode_snapshot(encoded):
    """Return the Snapshot encoded in bytes.

    Raises
    ------
    ValueError
        If the bytes are not a valid Snapshot.
    """
    return decode_content(encoded, SNAPSHOT_DECODER)


def decode_changes(encoded):
    """Return the Changes encoded in bytes; raise ValueError if they are invalid."""
    return decode_content(encoded, CHANGES_DECODER)


def decode_profile(encoded):
    """Return the Profile encoded in bytes; raise ValueError if it is invalid."""
    return decode(encoded, PROFILE_DECODER)


def decode_content(encoded, decoder):
    """Return a Snapshot or Changes with the format that its sender named."""
    content = decode(encoded, decoder)
    return replace(content, format=decode(encoded, ENVELOPE_DECODER).format)


def decode(encoded, decoder):
    """Return the decoded content; raise ValueError if it is invalid."""
    try:
        return decoder.decode(zlib.decompress(encoded))
    except (zlib.error, DecodeError, RecursionError) as error:
        name = decoder.type.__name__.lower()
        raise ValueError(f"invalid {name}: {error}") from error
