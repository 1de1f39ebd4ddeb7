"""The end of the change log, and the segments behind it, which have its form."""

import json

from msgspec import Struct

from hingesill_core.configuration.log import (
    EMPTY_CHAIN,
    decode_entry,
    encode_entry,
)

__all__ = ["Tail", "decode_tail", "encode_tail"]


class Tail(Struct, frozen=True):
    """The end of the change log.

    Parameters
    ----------
    base : int
        The revision before the first entry.
    chain : str
        The chain digest at the base.
    segment : str
        The key of the segment before; empty if there is none.
    entries : tuple of Entry
        In order.
    version : int
        The store's version of the key, for a CAS.
    """

    base: int = 0
    chain: str = EMPTY_CHAIN
    segment: str = ""
    entries: tuple = ()
    version: int = 0

    @property
    def revision(self):
        """The newest revision in the store."""
        return self.base + len(self.entries)

    @property
    def last_chain(self):
        """The chain digest after the newest entry."""
        return self.entries[-1].compute_chain() if self.entries else self.chain


def decode_tail(data, version):
    """Return the Tail that a value holds; ValueError if it holds none."""
    try:
        base, chain, segment, entries = json.loads(data)
        decoded = tuple(decode_entry(json.dumps(entry)) for entry in entries)
        return Tail(int(base), str(chain), str(segment), decoded, version)
    except (TypeError, ValueError) as error:
        raise ValueError(f"not a tail of the change log: {error}") from error


def encode_tail(tail):
    """Return a tail as JSON bytes."""
    entries = b",".join(encode_entry(entry) for entry in tail.entries)
    head = json.dumps([tail.base, tail.chain, tail.segment], separators=(",", ":"))
    return head[:-1].encode() + b",[" + entries + b"]]"
