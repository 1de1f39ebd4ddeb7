"""An in-memory store, for tests and for a single node without a platform."""

import threading
import time

from msgspec import Struct

from hingesill_core.store import (
    KeyMissing,
    LeaseGranted,
    LeaseLost,
    Unchanged,
    Value,
    VersionConflict,
    Written,
)
from hingesill_node.store.registry import STORES

__all__ = ["MemoryStore"]

_shared = {}
_shared_lock = threading.Lock()


class LeaseRecord(Struct):
    """Key, holder and expiry of a lease."""

    key: str
    holder: str
    until: float


@STORES.register("memory")
def open_memory(url):
    """Return the store of an address, which is shared within the process."""
    with _shared_lock:
        return _shared.setdefault(url, MemoryStore())


class MemoryStore:
    """Keys with versions, watches and leases, guarded by one lock.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds, for the expiry of leases.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._changed = threading.Condition()
        self._values = {}
        self._leases = {}
        self._counter = 0

    def get(self, key):
        """See `hingesill_core.store.Store`."""
        with self._changed:
            return self._values.get(key, KeyMissing())

    def put(self, key, data, expected):
        """See `hingesill_core.store.Store`."""
        with self._changed:
            if self._values.get(key, KeyMissing()).version != expected:
                return VersionConflict()
            self._counter += 1
            self._values[key] = Value(bytes(data), self._counter)
            self._changed.notify_all()
            return Written()

    def delete(self, key):
        """See `hingesill_core.store.Store`."""
        with self._changed:
            self._values.pop(key, None)
            self._changed.notify_all()
            return Written()

    def watch(self, key, version, timeout):
        """See `hingesill_core.store.Store`."""

        def has_changed():
            return self._values.get(key, KeyMissing()).version != version

        with self._changed:
            if not self._changed.wait_for(has_changed, timeout):
                return Unchanged()
            return self._values.get(key, KeyMissing())

    def acquire(self, key, holder, ttl):
        """See `hingesill_core.store.Store`."""
        with self._changed:
            now = self._clock()
            for record in self._leases.values():
                if record.key == key and record.until > now:
                    return LeaseLost()
            self._counter += 1
            lease = f"lease-{self._counter}"
            self._leases[lease] = LeaseRecord(key, holder, now + ttl)
            return LeaseGranted(lease, ttl)

    def renew(self, lease, ttl):
        """See `hingesill_core.store.Store`."""
        with self._changed:
            record = self._leases.get(lease)
            if record is None or record.until <= self._clock():
                self._leases.pop(lease, None)
                return LeaseLost()
            record.until = self._clock() + ttl
            return LeaseGranted(lease, ttl)

    def release(self, lease):
        """See `hingesill_core.store.Store`."""
        with self._changed:
            self._leases.pop(lease, None)
            return Written()
