"""Requests whose framing two readers could understand in two ways."""

from hingesill_core.findings import Finding

__all__ = ["find_framing_fault"]


def find_framing_fault(environ):
    """Return what is wrong with a request's framing, or None.

    Parameters
    ----------
    environ : dict
        As eventlet's WSGI server made it.

    Notes
    -----
    The server itself refuses a Content-Length beside a Transfer-Encoding and
    one that is negative or no number.
    """
    lengths = 0
    codings = 0
    for name, value in environ["headers_raw"]:
        lowered = name.lower()
        if lowered == "content-length":
            lengths += 1
            if not value.isascii() or not value.isdigit():
                return Finding("Content-Length", "is not a plain number")
        elif lowered == "transfer-encoding":
            codings += 1
            if value.strip().lower() != "chunked":
                return Finding("Transfer-Encoding", "only chunked is understood")
        elif has_bad_name(name):
            return Finding("a header name", "has a space or a control character")
    if lengths > 1:
        return Finding("Content-Length", "stands more than once")
    if codings > 1 or (codings and lengths):
        return Finding("Transfer-Encoding", "conflicts with other headers")
    return None


def has_bad_name(name):
    """Tell whether a header's name has a character that readers skip."""
    return not name or name != name.strip() or " " in name or "\t" in name
