"""Detection of ambiguous request framing, against request smuggling."""

from hingesill_core.findings import Finding

__all__ = ["find_framing_fault"]


def find_framing_fault(environ):
    """Return a Finding on the framing of a request, or None if it is valid.

    Parameters
    ----------
    environ : dict
        The environment from eventlet's WSGI server.

    Notes
    -----
    The server itself rejects a Content-Length together with a Transfer-Encoding
    and a Content-Length that is negative or not a number.
    """
    lengths = 0
    codings = 0
    for name, value in environ["headers_raw"]:
        lowered = name.lower()
        if lowered == "content-length":
            lengths += 1
            if not value.isascii() or not value.isdigit():
                return Finding("Content-Length", "is not a decimal number")
        elif lowered == "transfer-encoding":
            codings += 1
            if value.strip().lower() != "chunked":
                return Finding("Transfer-Encoding", "must be chunked")
        elif is_invalid_header_name(name):
            return Finding("a header name", "is empty or contains white space")
    if lengths > 1:
        return Finding("Content-Length", "is repeated")
    if codings > 1 or (codings and lengths):
        return Finding("Transfer-Encoding", "conflicts with other headers")
    return None


def is_invalid_header_name(name):
    """Return whether a header name is empty or has white space that parsers skip."""
    return not name or name != name.strip() or " " in name or "\t" in name
