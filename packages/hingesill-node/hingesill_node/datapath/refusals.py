"""Responses to requests that the node refuses."""

import json
import math

from msgspec import Struct

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal
from hingesill_node.datapath.headers import HeaderNames

__all__ = [
    "RefusalAnswer",
    "build_fault_refusal",
    "build_refusal_answer",
    "is_valid_request_id",
]

MAX_REQUEST_ID_LENGTH = 128
REASON_PHRASES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    499: "Caller Gone",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.QUOTA_EXCEEDED: 429,
    RefusalReason.BAD_FRAMING: 400,
    RefusalReason.INCOMPLETE_REQUEST: 400,
    RefusalReason.BAD_HEADER: 400,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CALLER_GONE: 499,
    RefusalReason.ANSWER_LOST: 502,
    RefusalReason.ANSWER_LATE: 504,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.INTERNAL: 500,
}
DEFAULT_STATUS = 503
# Statuses that may be sent only if the request has certainly not run, and the one that
# is sent in their place.
NOT_RUN_STATUSES = frozenset({401, 429})
UNKNOWN_STATUS = 502
# Required in each response with status 401 (RFC 9110, section 15.5.2).
CHALLENGE = ("WWW-Authenticate", "Bearer")
# Reasons for which a request is refused before it was read to its end, because of the
# limits of the VM, and the seconds after which connections have made room.
LIMIT_REASONS = frozenset({RefusalReason.CONNECTION_LIMIT, RefusalReason.MEMORY_LIMIT})
LIMIT_RETRY_SECONDS = 1
# Reasons for which the end of the request is not known, or not read. With any other
# one, requests that were read with the refused one are answered.
CLOSING_REASONS = frozenset(
    {
        RefusalReason.BAD_FRAMING,
        RefusalReason.INCOMPLETE_REQUEST,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.HEAD_TOO_LARGE,
        *LIMIT_REASONS,
    }
)


class RefusalAnswer(Struct, frozen=True):
    """The response of a refusal as sent to the caller.

    Parameters
    ----------
    status : str
        Status code and reason phrase.
    headers : list of tuple
        Headers, among them the outcome, the reason and the time to retry after.
    body : bytes
        Outcome, reason and time to retry after as JSON.
    closes : bool
        Whether the caller's connection is closed.
    """

    status: str
    headers: list
    body: bytes
    closes: bool


def build_refusal_answer(refusal, request_id):
    """Return the RefusalAnswer for a Refusal."""
    reason = refusal.reason
    status = choose_status(refusal)
    content = {"outcome": refusal.outcome.value, "reason": reason.value}
    headers = [
        ("Content-Type", "application/json"),
        (HeaderNames.OUTCOME, refusal.outcome.value),
        (HeaderNames.REASON, reason.value),
    ]
    if status == 401:
        headers.append(CHALLENGE)
    if is_valid_request_id(request_id):
        headers.append((HeaderNames.REQUEST_ID, request_id))
    if refusal.retry_after is not None:
        milliseconds = math.ceil(refusal.retry_after * 1000)
        content["retry_after_ms"] = milliseconds
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after))))
        headers.append((HeaderNames.RETRY_AFTER, str(milliseconds)))
    body = json.dumps(content).encode() + b"\n"
    closes = reason in CLOSING_REASONS
    return RefusalAnswer(f"{status} {REASON_PHRASES[status]}", headers, body, closes)


def build_fault_refusal(fault):
    """Return the Refusal of a request that was not run because of a RequestFault."""
    seconds = LIMIT_RETRY_SECONDS if fault.reason in LIMIT_REASONS else None
    return Refusal(fault.reason, Outcome.NOT_RUN, retry_after=seconds)


def choose_status(refusal):
    """Return the status of a refusal, which claims no more than is certain."""
    status = STATUSES.get(refusal.reason, DEFAULT_STATUS)
    if status in NOT_RUN_STATUSES and refusal.outcome is not Outcome.NOT_RUN:
        return UNKNOWN_STATUS
    return status


def is_valid_request_id(text):
    """Return whether a request id is valid as a header value."""
    return (
        0 < len(text) <= MAX_REQUEST_ID_LENGTH and text.isascii() and text.isprintable()
    )
