"""Snapshots of the complete state in the store, split into values of bounded size."""

import hashlib
import json

from msgspec import Struct

from hingesill_core.configuration.state import (
    Applied,
    decode_difference,
    encode_difference,
)
from hingesill_core.store import StoreFailure, Value, VersionConflict, Written
from hingesill_core.validation import parse_json

__all__ = ["SNAPSHOT_PART_BYTES", "Snapshot", "Snapshots"]

SNAPSHOT_PART_BYTES = 500_000


class Snapshot(Struct, frozen=True):
    """Location of a snapshot in the store.

    Parameters
    ----------
    revision : int
        Revision of the state.
    parts : int
        Number of values that contain the state.
    folder : str
        Prefix of their keys.
    """

    revision: int = 0
    parts: int = 0
    folder: str = ""

    def list_keys(self):
        """Return the keys of the parts, in order."""
        return [f"{self.folder}/{index}" for index in range(self.parts)]


class Snapshots:
    """Writes and reads the snapshot of a team's state.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    team : str
        Prefix of all keys.
    """

    def __init__(self, store, team):
        self.store = store
        self.head_key = f"{team}/snapshot/head"
        self.prefix = f"{team}/snapshot"

    def save(self, replica):
        """Write the complete state, so that new nodes need not read the whole log.

        Returns
        -------
        Snapshot, VersionConflict or StoreFailure
            The previous Snapshot, which may be deleted once all nodes that were
            starting have read it.
        """
        head = self.store.get(self.head_key)
        if isinstance(head, StoreFailure):
            return head
        previous = decode_snapshot(head)
        if previous.revision >= replica.revision:
            return VersionConflict()
        encoded = encode_difference(replica.build_difference())
        digest = hashlib.blake2b(encoded, digest_size=8).hexdigest()
        folder = f"{self.prefix}/{replica.revision:012d}-{digest}"
        starts = range(0, len(encoded), SNAPSHOT_PART_BYTES)
        snapshot = Snapshot(replica.revision, len(starts), folder)
        for key, start in zip(snapshot.list_keys(), starts):
            part = encoded[start : start + SNAPSHOT_PART_BYTES]
            written = self.store.put(key, part, 0)
            if isinstance(written, StoreFailure):
                return written
        value = json.dumps([snapshot.revision, snapshot.parts, snapshot.folder])
        written = self.store.put(self.head_key, value.encode(), head.version)
        return previous if isinstance(written, Written) else written

    def load(self, replica):
        """Bring a replica up to the snapshot.

        Returns
        -------
        Applied or StoreFailure
        """
        head = self.store.get(self.head_key)
        if not isinstance(head, Value):
            return head if isinstance(head, StoreFailure) else Applied.ALREADY_HELD
        parts = []
        for key in decode_snapshot(head).list_keys():
            part = self.store.get(key)
            if not isinstance(part, Value):
                return StoreFailure(f"{key}, a part of the snapshot, is missing")
            parts.append(part.data)
        try:
            return replica.adopt(decode_difference(b"".join(parts)))
        except ValueError as error:
            return StoreFailure(str(error))


def decode_snapshot(head):
    """Return the Snapshot in the head key; an empty one if there is none."""
    if not isinstance(head, Value):
        return Snapshot()
    revision, parts, folder = parse_json(head.data)
    return Snapshot(revision, parts, folder)
