"""The seam to a store that holds declarations and endpoints.

An adapter registers itself under the scheme of the store's address. Its calls
run in green threads and never raise: what went wrong is a value.
"""

from typing import Protocol
from urllib.parse import urlsplit

from hingesill_core.registry import Registry

__all__ = ["SOURCES", "DirectorySource", "open_source"]

SOURCES = Registry("directory source")


class DirectorySource(Protocol):
    """What a follower asks of the store."""

    def read(self, may_be_stale=False):
        """Return a Snapshot of everything, or StoreFailure.

        One that may be seconds old is cheaper.
        """

    def wait(self, after, seconds):
        """Return the Changes after a position as soon as there are any.

        Returns Changes without content after so many seconds, HistoryGone if
        the store no longer knows, StoreRestored if it came back from an older copy
        since, or StoreFailure. Its green thread may be
        killed meanwhile.
        """

    def check(self):
        """Return the store's Position, maybe a stale one, or StoreFailure.

        It is the cheapest call there is.
        """

    def count_invalid(self):
        """Return how many items are left out now, as they cannot be read."""

    def enter(self, node, seconds):
        """Enter this node under a lease; return its Held or StoreFailure."""

    def resume(self, node):
        """Prolong the lease of the entry that an earlier process here made.

        Returns Held, LeaseLost if there is no such entry or it says something
        else, or StoreFailure.
        """

    def renew(self, lease):
        """Prolong the lease; return Held, LeaseLost or StoreFailure."""

    def save_quarantine(self, record, seconds):
        """Keep a QuarantineRecord for so long; return None or StoreFailure.

        One that another node has written stays as it is.
        """

    def delete_quarantine(self, fingerprint):
        """Remove a QuarantineRecord; return None or StoreFailure."""

    def save(self, profile):
        """Keep a Profile in place of the one before; return None or StoreFailure."""


def open_source(url):
    """Return the source behind an address.

    Raises
    ------
    ValueError
        If no adapter has this scheme.
    """
    scheme = urlsplit(url).scheme
    adapter = SOURCES.get(scheme)
    if adapter is None:
        known = ", ".join(SOURCES.list_names()) or "none"
        raise ValueError(f"no directory source for {url!r}; known are {known}")
    return adapter(url)
