"""By what a request is known again, whichever node and connection it comes to."""

from enum import Enum
from hashlib import blake2b

__all__ = ["Breadth", "describe_request", "get_breadth"]

# 96 bits, so that no two of the requests that are remembered are alike by chance.
FINGERPRINT_BYTES = 12


class Breadth(str, Enum):
    """How much of a request a fingerprint stands for; the first letter of it."""

    # The same content from the same caller's address.
    CALLER = "a"
    # The same method, host, target and body from any address.
    CONTENT = "b"
    # The same method, host and path, whatever query and body.
    RESOURCE = "c"


def describe_request(method, host, target, caller, body):
    """Return the fingerprints of a request, the narrowest first.

    Parameters
    ----------
    method, host, target : str
        The target as it came, with its query.
    caller : str
        The caller's IP address; each of its tries may come from another port.
    body : bytes
        The beginning of the body that is known before anything is sent.

    Notes
    -----
    What of a request ends endpoints is not known: its content, what is allowed to its
    caller, or the resource that it names. With the caller's address in the only one, a
    request that comes from several addresses would count as several. The id is left
    out, since each try has one of its own, and so are the headers, which tell how much
    time is left.
    """
    path = target.partition("?")[0]
    common = f"{method} {host.lower()} "
    return (
        build(Breadth.CALLER, f"{common}{target} {caller}", body),
        build(Breadth.CONTENT, f"{common}{target}", body),
        build(Breadth.RESOURCE, f"{common}{path}", b""),
    )


def build(breadth, text, body):
    """Return the fingerprint of one breadth."""
    digest = blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    digest.update(b"\0")
    digest.update(body)
    return breadth.value + digest.hexdigest()


def get_breadth(fingerprint):
    """Return what identifies the breadth of a fingerprint; any text has some."""
    return fingerprint[:1]
