"""An organisation: whose callers share keys, a rank and a quota."""

from hashlib import sha256

from msgspec import Struct

__all__ = ["Organisation", "digest_key"]


class Organisation(Struct, frozen=True):
    """An organisation, as the operator declares it.

    Parameters
    ----------
    name : str
        Unique name; endpoints receive it with each request.
    keys : tuple of str
        Digests of the keys of its callers, see `digest_key`. The keys themselves are
        not kept, so that no log line or message can contain one.
    rank : int or None
        Priority of its requests, 0 is the most urgent; None for that of the route.
    rate : float
        Requests per second that all nodes together let through; 0 for no quota.
    burst : float
        Requests that may be let through in addition after a time of less use.
    """

    name: str
    keys: tuple[str, ...] = ()
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0


def digest_key(key):
    """Return the hexadecimal SHA-256 digest by which a key is known."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
