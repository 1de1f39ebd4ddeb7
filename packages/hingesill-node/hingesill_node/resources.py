"""Limits of what clients may use, derived from the settings."""

from msgspec import Struct

__all__ = ["ServerLimits", "compute_limits"]


class ServerLimits(Struct, frozen=True):
    """Limits of one listening address.

    Parameters
    ----------
    head_bytes : int
        Maximum size of a request's head, including empty lines before it.
    """

    head_bytes: int = 64 * 1024


def compute_limits(settings):
    """Return the ServerLimits for validated settings."""
    return ServerLimits(settings.max_head_bytes)
