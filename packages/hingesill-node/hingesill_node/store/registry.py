"""The registry of store adapters, keyed by the scheme of the address."""

from urllib.parse import urlsplit

from hingesill_core.registry import Registry

__all__ = ["STORES", "open_store"]

STORES = Registry("store adapter")


def open_store(url):
    """Return the store at an address.

    Parameters
    ----------
    url : str
        ``memory://NAME`` or ``http://IP:PORT``.

    Raises
    ------
    ValueError
        If there is no adapter for the scheme.
    """
    scheme = urlsplit(url).scheme
    adapter = STORES.get(scheme)
    if adapter is None:
        known = ", ".join(STORES.list_names())
        raise ValueError(f"no store adapter for {url!r}; known schemes: {known}")
    return adapter(url)
