"""Fingerprints that identify a request across nodes and connections."""

from enum import Enum
from hashlib import blake2b

__all__ = ["FingerprintScope", "describe_request", "get_scope"]

# 96 bits make an accidental collision between recorded requests negligible.
FINGERPRINT_BYTES = 12


class FingerprintScope(str, Enum):
    """Which parts of a request a fingerprint covers; its first letter."""

    # The same content from the same caller's address.
    CALLER = "a"
    # The same method, host, target and body from any address.
    CONTENT = "b"
    # The same method, host and path, with any query and body.
    RESOURCE = "c"


def describe_request(method, host, target, caller, body):
    """Return the fingerprints of a request, the narrowest scope first.

    Parameters
    ----------
    method, host, target : str
        Method, host and the unchanged target, including its query.
    caller : str
        The caller's IP address, without the port: each attempt may use another port.
    body : bytes
        The beginning of the body that is known before anything is sent.

    Notes
    -----
    It is unknown which part of a request crashes endpoints: its content, the
    permissions of its caller, or the resource that it names. If every fingerprint
    included the caller's address, a request that comes from several addresses would
    count as several requests. The request id is excluded because each attempt has its
    own, and the headers because they contain the remaining time.
    """
    path = target.partition("?")[0]
    common = f"{method} {host.lower()} "
    return (
        build_fingerprint(FingerprintScope.CALLER, f"{common}{target} {caller}", body),
        build_fingerprint(FingerprintScope.CONTENT, f"{common}{target}", body),
        build_fingerprint(FingerprintScope.RESOURCE, f"{common}{path}", b""),
    )


def build_fingerprint(scope, text, body):
    """Return the fingerprint of one scope."""
    digest = blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    digest.update(b"\0")
    digest.update(body)
    return scope.value + digest.hexdigest()


def get_scope(fingerprint):
    """Return the first letter of a fingerprint, without checking that it is valid."""
    return fingerprint[:1]
