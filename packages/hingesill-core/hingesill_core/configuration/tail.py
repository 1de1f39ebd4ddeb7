"""The tail of the change log, and the sealed segments, which have the same form."""

import json

from msgspec import Struct

from hingesill_core.configuration.log import (
    EMPTY_CHAIN,
    decode_entry,
    encode_entry,
)
from hingesill_core.validation import parse_json

__all__ = ["Tail", "decode_tail", "encode_tail"]


class Tail(Struct, frozen=True):
    """The last part of the change log, or a sealed segment.

    Parameters
    ----------
    base : int
        Revision before the first entry.
    chain : str
        Chain digest at the base.
    segment : str
        Key of the previous segment; empty if there is none.
    entries : tuple of Entry
        Entries in order.
    version : int
        Store version of the key, for a CAS.
    """

    base: int = 0
    chain: str = EMPTY_CHAIN
    segment: str = ""
    entries: tuple = ()
    version: int = 0

    @property
    def revision(self):
        """Newest revision in the store."""
        return self.base + len(self.entries)

    @property
    def last_chain(self):
        """Chain digest after the newest entry."""
        return self.entries[-1].compute_chain() if self.entries else self.chain


def decode_tail(data, version):
    """Return the Tail in a value; raise ValueError if there is none."""
    try:
        base, chain, segment, entries = parse_json(data)
        decoded = tuple(decode_entry(json.dumps(entry)) for entry in entries)
        return Tail(int(base), str(chain), str(segment), decoded, version)
    except (TypeError, ValueError) as error:
        raise ValueError(f"not a tail of the change log: {error}") from error


def encode_tail(tail):
    """Return a tail as JSON bytes."""
    entries = b",".join(encode_entry(entry) for entry in tail.entries)
    head = json.dumps([tail.base, tail.chain, tail.segment], separators=(",", ":"))
    return head[:-1].encode() + b",[" + entries + b"]]"
