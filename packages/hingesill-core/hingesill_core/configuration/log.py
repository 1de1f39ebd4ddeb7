"""Entries of the change log in one order, each linked to the previous one.

An entry is one accepted change. Its revision is the previous entry's revision plus one,
and the version of a service is the revision of the last entry that changed it. The hash
chain links an entry to all earlier ones, which reveals a store that was restored from
an older copy and then written to.
"""

import hashlib
import json

from msgspec import Struct

from hingesill_core.validation import parse_json

__all__ = [
    "EMPTY_CHAIN",
    "ORGANISATION_PREFIX",
    "Entry",
    "ServiceChange",
    "decode_entry",
    "encode_entry",
    "is_organisation",
]

EMPTY_CHAIN = "0" * 16
CHAIN_BYTES = 8
# Prefix of the names of organisations' documents. No service has a colon in its name.
ORGANISATION_PREFIX = "organisation:"


class ServiceChange(Struct, frozen=True):
    """The new document of a service or an organisation; None is a tombstone."""

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
        """Return the digest of the log up to and including this entry."""
        digest = hashlib.blake2b(encode_entry(self), digest_size=CHAIN_BYTES)
        return digest.hexdigest()


def is_organisation(name):
    """Return whether the document with a name is that of an organisation."""
    return name.startswith(ORGANISATION_PREFIX)


def encode_entry(entry):
    """Return the entry as JSON bytes; equal entries have equal bytes."""
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
    """Return the entry in JSON bytes.

    Raises
    ------
    ValueError
        If the bytes contain no entry.
    """
    try:
        revision, previous, operation_id, author, changes = parse_json(encoded)
        return Entry(
            int(revision),
            str(previous),
            str(operation_id),
            str(author),
            tuple(ServiceChange(service, document) for service, document in changes),
        )
    except (TypeError, ValueError) as error:
        raise ValueError(f"not an entry of the change log: {error}") from error
