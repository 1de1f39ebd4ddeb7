"""The seam to the platform's key-value service, and the answers it gives.

An adapter stands in a registry of the node's; any object with these methods
will do for a test or a bench. No method raises: what went wrong is a value.
"""

from typing import Protocol

from msgspec import Struct

__all__ = [
    "VersionConflict",
    "LeaseGranted",
    "LeaseLost",
    "KeyMissing",
    "Store",
    "StoreFailure",
    "Unchanged",
    "Value",
    "Written",
]

MAX_VALUE_BYTES = 1_000_000


class Value(Struct, frozen=True):
    """What a key holds, with the version that a CAS names."""

    data: bytes
    version: int


class KeyMissing(Struct, frozen=True):
    """The key holds nothing; a CAS that creates it names version 0."""

    version: int = 0


class Unchanged(Struct, frozen=True):
    """A watch ended without a change."""


class Written(Struct, frozen=True):
    """The write took effect."""


class VersionConflict(Struct, frozen=True):
    """The key has another version; the write did not take effect."""


class StoreFailure(Struct, frozen=True):
    """No usable answer came.

    Parameters
    ----------
    reason : str
        For logs and operators.
    may_have_run : bool
        True if a write may have taken effect, or may still do so.
    """

    reason: str
    may_have_run: bool = False


class LeaseGranted(Struct, frozen=True):
    """The lease is held.

    Parameters
    ----------
    lease : str
        The store's name for it.
    ttl : float
        Seconds for which it holds, counted from before the call was made.
    """

    lease: str
    ttl: float


class LeaseLost(Struct, frozen=True):
    """The lease has lapsed or another holds the key."""


class Store(Protocol):
    """The calls used of the platform's service; each counts as one there."""

    def get(self, key):
        """Return Value, Missing or StoreFailure."""

    def put(self, key, data, expected):
        """Write if the version is the expected one.

        Returns Written, Conflicting or StoreFailure.
        """

    def delete(self, key):
        """Remove a key; return Written or StoreFailure."""

    def watch(self, key, version, timeout):
        """Wait until the key has another version, ``timeout`` seconds at most.

        Returns Value, Missing, Unchanged or StoreFailure.
        """

    def acquire(self, key, holder, ttl):
        """Take a lease on a key; return Held, LeaseLost or StoreFailure."""

    def renew(self, lease, ttl):
        """Prolong a lease; return Held, LeaseLost or StoreFailure."""

    def release(self, lease):
        """Give a lease up; return Written or StoreFailure."""
