"""Header names, and which headers pass from one side to the other."""

__all__ = [
    "Names",
    "filter_request_headers",
    "filter_response_headers",
    "parse_milliseconds",
]


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
    }
)
REQUEST_DROPS = HOP_BY_HOP | SET_BY_NODE
RESPONSE_DROPS = HOP_BY_HOP | OWN_OF_ENDPOINT
LARGEST_MILLISECONDS = 86_400_000


def list_connection_options(pairs):
    """Return the header names that Connection headers name."""
    options = set()
    for name, value in pairs:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return options


def filter_request_headers(pairs):
    """Yield the caller's headers that an endpoint gets."""
    drops = REQUEST_DROPS
    options = list_connection_options(pairs)
    if options:
        drops = drops | options
    for name, value in pairs:
        if name.lower() not in drops:
            yield name, value


def filter_response_headers(pairs):
    """Return the endpoint's headers that the caller gets."""
    drops = RESPONSE_DROPS
    options = list_connection_options(pairs)
    if options:
        drops = drops | options
    return [pair for pair in pairs if pair[0].lower() not in drops]


def parse_milliseconds(text):
    """Return seconds for a header's milliseconds, or None if it is malformed."""
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return None
    return min(int(text), LARGEST_MILLISECONDS) / 1000
