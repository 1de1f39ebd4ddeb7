"""Names, parsing and filtering of HTTP headers."""

import re

from msgspec import Struct

from hingesill_core.ratelimits.reportedlimits import (
    INVALID_LIMIT,
    NO_LIMIT,
    ParsedLimit,
)
from hingesill_core.routing.availability import (
    INVALID_BACKOFF,
    NO_BACKOFF,
    RequestedBackoff,
)

__all__ = [
    "EndpointHeaders",
    "FORWARD_DROPS",
    "ForwardHeaders",
    "HOP_BY_HOP",
    "HeaderNames",
    "RETRY_AFTER",
    "build_organisation_header",
    "filter_headers",
    "read_flag",
    "read_limit",
    "read_milliseconds",
    "read_backoff",
]


class EndpointHeaders(Struct, frozen=True):
    """Names of the headers in which endpoints of a dialect report their state.

    Notes
    -----
    Every dialect defines all of these headers; a test checks that each is read.

    Parameters
    ----------
    load, warmth : str
        Headers with the load and the warm-up state of the endpoint.
    limit : str
        Header with the requests per second that it accepts from all nodes together.
    backoff : str
        Header with the seconds for which this node should send it no requests.
    leaving : str
        Header that announces that the endpoint stops soon.
    """

    load: str
    warmth: str
    limit: str
    backoff: str
    leaving: str


class HeaderNames:
    """Header names of hingesill's own dialect."""

    REQUEST_ID = "Hingesill-Request-Id"
    REMAINING = "Hingesill-Remaining-Ms"
    OUTCOME = "Hingesill-Outcome"
    REASON = "Hingesill-Reason"
    RETRY_AFTER = "Hingesill-Retry-After-Ms"
    RETRIES = "Hingesill-Retries"
    RUNNING = "Hingesill-Running"
    DRAINING = "Hingesill-Draining"
    COLD = "Hingesill-Cold"
    LIMIT = "Hingesill-Limit"
    ORGANISATION = "Hingesill-Organisation"


class ForwardHeaders:
    """Names of the headers between a node that forwards a request and the next one."""

    # Name of the node that forwards the request.
    NODE = "Hingesill-Forwarding-Node"
    # IP address of the caller.
    CALLER = "Hingesill-Forwarded-Caller"
    # The service that the forwarding node chose.
    SERVICE = "Hingesill-Forwarded-Service"
    # Number of sends to endpoints so far.
    SENDS = "Hingesill-Forwarded-Sends"
    # Set if the forwarding node has taken a token of the organisation's quota.
    TOKEN = "Hingesill-Forwarded-Token"
    # Outcome and reason, in the response to a request that the node itself refused.
    RESULT = "Hingesill-Forward-Refusal"
    # Names of nodes that reach endpoints of the service, in such a response.
    NAMED = "Hingesill-Forward-Nodes"

    @staticmethod
    def environ(name):
        """Return the key of a header in the WSGI environment."""
        return f"HTTP_{name.upper().replace('-', '_')}"


FORWARD_DROPS = frozenset(
    {
        ForwardHeaders.NODE.lower(),
        ForwardHeaders.CALLER.lower(),
        ForwardHeaders.SERVICE.lower(),
        ForwardHeaders.SENDS.lower(),
        ForwardHeaders.TOKEN.lower(),
        ForwardHeaders.RESULT.lower(),
        ForwardHeaders.NAMED.lower(),
    }
)
RETRIES_TAKEN = "taken"
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
SET_BY_NODE = frozenset(
    {
        HeaderNames.REQUEST_ID.lower(),
        HeaderNames.REMAINING.lower(),
        HeaderNames.RETRIES.lower(),
        "content-length",
        "expect",
    }
)
SET_BY_ENDPOINT = frozenset(
    {
        HeaderNames.REQUEST_ID.lower(),
        HeaderNames.OUTCOME.lower(),
        HeaderNames.REASON.lower(),
        HeaderNames.RUNNING.lower(),
        HeaderNames.DRAINING.lower(),
        HeaderNames.COLD.lower(),
        HeaderNames.LIMIT.lower(),
    }
)
MAX_MILLISECONDS = 86_400_000
MAX_MILLISECONDS_DIGITS = 9
# Value of a flag header that is set.
FLAG_SET = "1"
# Header of refusals in both dialects.
RETRY_AFTER = "Retry-After"
# Endpoints ask nodes to back off only with this status; Retry-After with another one
# concerns the caller.
BACKOFF_STATUS = 503
# A decimal number without a sign or an exponent.
NUMBER_PATTERN = re.compile(r"[0-9]{1,300}(\.[0-9]{0,300})?|\.[0-9]{1,300}")
# Requests per second; a limit of this size or larger counts as none.
MAX_LIMIT_PER_SECOND = 1e6


def build_organisation_header(name, organisation):
    """Return the headers that name a request's organisation to an endpoint.

    Parameters
    ----------
    name : str
        Name of the header.
    organisation : Organisation or None
        None for a request without a key.
    """
    if organisation is None:
        return []
    # Header values are written as Latin-1; names may have any printable characters.
    return [(name, organisation.name.encode().decode("latin-1"))]


def list_connection_options(pairs):
    """Return the header names that are listed in Connection headers."""
    options = set()
    for name, value in pairs:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return options


def filter_headers(pairs, drops):
    """Yield the headers to forward.

    Parameters
    ----------
    pairs : iterable of tuple of str
        Names and values as received.
    drops : frozenset of str
        Lower-case names of headers to drop. Headers that are listed in a
        ``Connection`` header are dropped too.
    """
    options = list_connection_options(pairs)
    if options:
        drops = drops | options
    for name, value in pairs:
        if name.lower() not in drops:
            yield name, value


def read_flag(response, name):
    """Return whether at least one value of a response's header is "1"."""
    if response.get(name) is None:
        return False
    parts = ",".join(response.get_all(name)).split(",")
    return any(part.strip() == FLAG_SET for part in parts)


def read_limit(response, name):
    """Return the ParsedLimit in the head of a response.

    Parameters
    ----------
    response : EndpointResponse
        Response with its headers read.
    name : str
        Name of the header.

    Notes
    -----
    The smallest of several values applies. An invalid value neither sets nor ends a
    limit.
    """
    if response.get(name) is None:
        return NO_LIMIT
    valid = read_numbers(response, name)
    if not valid:
        return INVALID_LIMIT
    limit = min(valid)
    return ParsedLimit(limit) if limit < MAX_LIMIT_PER_SECOND else NO_LIMIT


def read_backoff(response, name):
    """Return the RequestedBackoff in the head of a response.

    Parameters
    ----------
    response : EndpointResponse
        Response with its headers read.
    name : str
        Name of the header.

    Notes
    -----
    Values are seconds, with fractions. The largest of several values applies. If no
    value is valid (dates are not), the back-off lasts one second.
    """
    if response.status != BACKOFF_STATUS or response.get(name) is None:
        return NO_BACKOFF
    valid = read_numbers(response, name)
    return RequestedBackoff(max(valid)) if valid else INVALID_BACKOFF


def read_numbers(response, name):
    """Return the values of a header that are valid numbers."""
    parts = ",".join(response.get_all(name)).split(",")
    return [float(part) for part in parts if NUMBER_PATTERN.fullmatch(part.strip())]


def read_milliseconds(environ, name):
    """Return the value of a header in milliseconds as seconds, or None if absent.

    Parameters
    ----------
    environ : dict
        The WSGI environment of the request.
    name : str
        Key of the header in the environment.

    Raises
    ------
    ValueError
        If the value is not a number of at most nine decimal digits.
    """
    text = environ.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > MAX_MILLISECONDS_DIGITS:
        raise ValueError(f"invalid number of milliseconds: {text!r}")
    return min(int(text), MAX_MILLISECONDS) / 1000
