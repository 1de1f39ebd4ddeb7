"""Interface to a store that holds declarations and endpoints.

An adapter registers itself under the scheme of the store's address. Its calls run in
green threads and never raise: they return failures as values.
"""

from typing import Protocol
from urllib.parse import urlsplit

from hingesill_core.registry import Registry

__all__ = ["SOURCES", "DirectorySource", "open_source"]

SOURCES = Registry("directory source")


class DirectorySource(Protocol):
    """Calls of a node to the store."""

    def read(self, may_be_stale=False):
        """Return a Snapshot of the whole store, or StoreFailure.

        A read that may be stale by some seconds is cheaper.
        """

    def wait(self, after, seconds):
        """Return the Changes after a position as soon as there are any.

        Returns Changes without content after the given time, HistoryGone if the store
        has dropped its history, StoreRestored if it was restored from an older copy, or
        StoreFailure. The calling green thread may be killed during the call.
        """

    def check(self):
        """Return the store's Position, possibly stale, or StoreFailure.

        This is the cheapest call.
        """

    def count_invalid(self):
        """Return how many items are skipped because they cannot be decoded."""

    def enter(self, node, seconds):
        """Register this node under a lease; return LeaseGranted or StoreFailure."""

    def resume(self, node):
        """Renew the lease of the entry that an earlier process of this node made.

        Returns LeaseGranted, LeaseLost if there is no such entry or its content
        differs, or StoreFailure.
        """

    def renew(self, lease):
        """Renew the lease; return LeaseGranted, LeaseLost or StoreFailure."""

    def save_quarantine(self, record, seconds):
        """Store a QuarantineRecord for a time; return None or StoreFailure.

        A record that another node has written is not replaced.
        """

    def delete_quarantine(self, fingerprint):
        """Remove a QuarantineRecord; return None or StoreFailure."""

    def save(self, profile):
        """Replace the stored Profile; return None or StoreFailure."""


def open_source(url):
    """Return the source for an address.

    Raises
    ------
    ValueError
        If no adapter is registered for its scheme.
    """
    scheme = urlsplit(url).scheme
    adapter = SOURCES.get(scheme)
    if adapter is None:
        known = ", ".join(SOURCES.list_names()) or "none"
        raise ValueError(f"no directory source for {url!r}; known schemes: {known}")
    return adapter(url)
