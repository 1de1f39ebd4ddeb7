"""Interface to the platform's key-value service, and the results of its calls.

The node has a registry of adapters; a test or a benchmark may use any object with these
methods. No method raises an exception: failures are returned as values.
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
    """The value of a key, with the version for a CAS."""

    data: bytes
    version: int


class KeyMissing(Struct, frozen=True):
    """The key has no value; a CAS that creates it expects version 0."""

    version: int = 0


class Unchanged(Struct, frozen=True):
    """A watch timed out without a change."""


class Written(Struct, frozen=True):
    """The write took effect."""


class VersionConflict(Struct, frozen=True):
    """The key has another version; the write did not take effect."""


class StoreFailure(Struct, frozen=True):
    """The call returned no usable result.

    Parameters
    ----------
    reason : str
        Description for logs and operators.
    may_have_run : bool
        True if a write may have taken effect, or may still do so.
    """

    reason: str
    may_have_run: bool = False


class LeaseGranted(Struct, frozen=True):
    """The caller holds the lease.

    Parameters
    ----------
    lease : str
        Identifier of the lease in the store.
    ttl : float
        Seconds for which it is valid, from before the start of the call.
    """

    lease: str
    ttl: float


class LeaseLost(Struct, frozen=True):
    """The lease has expired, or another holder has the key."""


class Store(Protocol):
    """The calls of the platform's service; each counts as one call there."""

    def get(self, key):
        """Return Value, KeyMissing or StoreFailure."""

    def put(self, key, data, expected):
        """Write a value if the key's version is the expected one.

        Returns Written, VersionConflict or StoreFailure.
        """

    def delete(self, key):
        """Delete a key; return Written or StoreFailure."""

    def watch(self, key, version, timeout):
        """Wait until the key has another version, ``timeout`` seconds at most.

        Returns Value, KeyMissing, Unchanged or StoreFailure.
        """

    def acquire(self, key, holder, ttl):
        """Acquire a lease on a key; return LeaseGranted, LeaseLost or StoreFailure."""

    def renew(self, lease, ttl):
        """Renew a lease; return LeaseGranted, LeaseLost or StoreFailure."""

    def release(self, lease):
        """Release a lease; return Written or StoreFailure."""
