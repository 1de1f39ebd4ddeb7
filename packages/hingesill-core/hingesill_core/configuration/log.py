"""The change log: entries in one order, each bound to the one before it.

An accepted change is one entry. Its revision is one more than the entry's
before it, and the version of a service is the revision of the last entry that
touched it. The chain digest binds an entry to all earlier ones, so that a
store which was put back to an older state and then written to is recognised.
"""

import hashlib
import json

from msgspec import Struct

__all__ = ["EMPTY_CHAIN", "Entry", "ServiceChange", "decode_entry", "encode_entry"]

EMPTY_CHAIN = "0" * 16
CHAIN_BYTES = 8


class ServiceChange(Struct, frozen=True):
    """The new declaration of a service; None leaves a tombstone."""

    service: str
    document: str | None


class Entry(Struct, frozen=True):
    """One accepted change of one or more services."""

    revision: int
    previous: str
    operation_id: str
    author: str
    changes: tuple[ServiceChange, ...]

    def compute_chain(self):
        """Return the digest of the log up to and with this entry."""
        digest = hashlib.blake2b(encode_entry(self), digest_size=CHAIN_BYTES)
        return digest.hexdigest()


def encode_entry(entry):
    """Return the entry as JSON bytes; equal entries give equal bytes."""
    return json.dumps(
        [
            entry.revision,
            entry.previous,
            entry.operation_id,
            entry.author,
            [[change.service, change.document] for change in entry.changes],
        ],
        separators=(",", ":"),
    ).encode()


def decode_entry(encoded):
    """Return the entry that JSON bytes hold.

    Raises
    ------
    ValueError
        If the bytes hold no entry.
    """
    try:
        revision, previous, operation_id, author, changes = json.loads(encoded)
        return Entry(
            int(revision),
            str(previous),
            str(operation_id),
            str(author),
            tuple(ServiceChange(service, document) for service, document in changes),
        )
    except (TypeError, ValueError) as error:
        raise ValueError(f"not an entry of the change log: {error}") from error
