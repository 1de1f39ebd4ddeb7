"""The registry of store adapters, keyed by the scheme of the store's address."""

from urllib.parse import urlsplit

from hingesill_core.registry import Registry

__all__ = ["STORES", "open_store"]

STORES = Registry("store adapter")


def open_store(url):
    """Return the store behind an address.

    Parameters
    ----------
    url : str
        ``memory://NAME`` or ``http://IP:PORT``.

    Raises
    ------
    ValueError
        If no adapter has this scheme.
    """
    scheme = urlsplit(url).scheme
    adapter = STORES.get(scheme)
    if adapter is None:
        known = ", ".join(STORES.list_names())
        raise ValueError(f"no store adapter for {url!r}; known are {known}")
    return adapter(url)
