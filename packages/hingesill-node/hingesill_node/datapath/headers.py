"""Header names, and which headers pass from one side to the other."""

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
    "HOP_BY_HOP",
    "Names",
    "RETRY_AFTER",
    "filter_headers",
    "read_flag",
    "read_limit",
    "read_milliseconds",
    "read_rest",
]


class EndpointHeaders(Struct, frozen=True):
    """The names of the headers by which endpoints of a dialect speak of themselves.

    Notes
    -----
    Each dialect has all of them, and a test holds each to be read.

    Parameters
    ----------
    load, warmth : str
        How busy it is, and how cold.
    limit : str
        Requests a second that it takes from all nodes.
    rest : str
        Seconds for which it wants nothing more from this node.
    leaving : str
        It ends soon.
    """

    load: str
    warmth: str
    limit: str
    backoff: str
    leaving: str


class Names:
    """The headers that hingesill reads and writes."""

    REQUEST_ID = "Hingesill-Request-Id"
    REMAINING = "Hingesill-Remaining-Ms"
    OUTCOME = "Hingesill-Outcome"
    REASON = "Hingesill-Reason"
    RETRY_AFTER = "Hingesill-Retry-After-Ms"
    LAYER = "Hingesill-Retries"
    RUNNING = "Hingesill-Running"
    DRAINING = "Hingesill-Draining"
    COLD = "Hingesill-Cold"
    LIMIT = "Hingesill-Limit"


LAYER_TAKEN = "taken"
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
        Names.REQUEST_ID.lower(),
        Names.REMAINING.lower(),
        Names.LAYER.lower(),
        "content-length",
        "expect",
    }
)
OWN_OF_ENDPOINT = frozenset(
    {
        Names.REQUEST_ID.lower(),
        Names.OUTCOME.lower(),
        Names.REASON.lower(),
        Names.RUNNING.lower(),
        Names.DRAINING.lower(),
        Names.COLD.lower(),
        Names.LIMIT.lower(),
    }
)
LARGEST_MILLISECONDS = 86_400_000
MOST_DIGITS = 9
# Value of a header that is set.
SET = "1"
# Stands in refusals of both dialects.
RETRY_AFTER = "Retry-After"
# Only answers with this status ask for a rest: others speak of the caller.
RESTING_STATUS = 503
# A plain decimal number without a sign.
NUMBER_PATTERN = re.compile(r"[0-9]{1,300}(\.[0-9]{0,300})?|\.[0-9]{1,300}")
# Requests a second from which on an endpoint is taken to name no limit.
LARGEST_LIMIT = 1e6


def list_connection_options(pairs):
    """Return the header names that Connection headers name."""
    options = set()
    for name, value in pairs:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return options


def filter_headers(pairs, drops):
    """Yield the headers that pass on to the other side.

    Parameters
    ----------
    pairs : iterable of tuple of str
        Names and values as they came.
    drops : frozenset of str
        Names in small letters that do not pass. What a ``Connection`` header
        names does not pass either.
    """
    options = list_connection_options(pairs)
    if options:
        drops = drops | options
    for name, value in pairs:
        if name.lower() not in drops:
            yield name, value


def read_flag(response, name):
    """Tell whether a header of an answer is set, by one of its values at least."""
    if response.get(name) is None:
        return False
    parts = ",".join(response.get_all(name)).split(",")
    return any(part.strip() == SET for part in parts)


def read_limit(response, name):
    """Return the ParsedLimit of an answer's head.

    Parameters
    ----------
    response : EndpointResponse
        Its headers are there.
    name : str
        Of the header.

    Notes
    -----
    Of several values the smallest counts. One that can't be read is no word at all: it
    begins no limit, and ends none.
    """
    if response.get(name) is None:
        return NO_LIMIT
    readable = read_numbers(response, name)
    if not readable:
        return INVALID_LIMIT
    limit = min(readable)
    return ParsedLimit(limit) if limit < LARGEST_LIMIT else NO_LIMIT


def read_rest(response, name):
    """Return the RequestedBackoff of an answer's head.

    Parameters
    ----------
    response : EndpointResponse
        Its headers are there.
    name : str
        Of the header.

    Notes
    -----
    Seconds, with fractions. Of several values the largest counts; where none can be
    read, a date among them, the endpoint is left alone for a second.
    """
    if response.status != RESTING_STATUS or response.get(name) is None:
        return NO_BACKOFF
    readable = read_numbers(response, name)
    return RequestedBackoff(max(readable)) if readable else INVALID_BACKOFF


def read_numbers(response, name):
    """Return the plain numbers among the values of a header."""
    parts = ",".join(response.get_all(name)).split(",")
    return [float(part) for part in parts if NUMBER_PATTERN.fullmatch(part.strip())]


def read_milliseconds(environ, name):
    """Return the seconds that a header gives in milliseconds, None if it is absent.

    Parameters
    ----------
    environ : dict
        Of the request.
    name : str
        As the environment spells the header.

    Raises
    ------
    ValueError
        If the header is no plain number.
    """
    text = environ.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > MOST_DIGITS:
        raise ValueError(f"not a number of milliseconds: {text!r}")
    return min(int(text), LARGEST_MILLISECONDS) / 1000
