"""Directories and their changes as bytes, for other nodes."""

import zlib

from msgspec import DecodeError
from msgspec.json import Decoder, encode as encode_json

from hingesill_core.discovery.records import Changes, Snapshot
from hingesill_core.routing.profile import Profile

__all__ = ["decode_changes", "decode_profile", "decode_snapshot", "encode"]

# Of zlib: what goes to many nodes is encoded once, and links may be narrow.
COMPRESSION_LEVEL = 6

SNAPSHOT_DECODER = Decoder(Snapshot)
CHANGES_DECODER = Decoder(Changes)
PROFILE_DECODER = Decoder(Profile)


def encode(content):
    """Return a Snapshot, Changes or Profile as compressed JSON."""
    return zlib.compress(encode_json(content), COMPRESSION_LEVEL)


def decode_snapshot(encoded):
    """Return the Snapshot that bytes hold.

    Raises
    ------
    ValueError
        If they hold none.
    """
    return decode(encoded, SNAPSHOT_DECODER)


def decode_changes(encoded):
    """Return the Changes that bytes hold; ValueError if they hold none."""
    return decode(encoded, CHANGES_DECODER)


def decode_profile(encoded):
    """Return the Profile that bytes hold; ValueError if they hold none."""
    return decode(encoded, PROFILE_DECODER)


def decode(encoded, decoder):
    """Return the content of one kind; ValueError if there is none."""
    try:
        return decoder.decode(zlib.decompress(encoded))
    except (zlib.error, DecodeError, RecursionError) as error:
        name = decoder.type.__name__.lower()
        raise ValueError(f"not a {name}: {error}") from error
