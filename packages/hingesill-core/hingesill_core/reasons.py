"""Enumerations of the reasons for which a request was refused, resent or ended.

Each member is a value of the counters and of the ``Hingesill-Reason`` header.
``docs/REASONS.md`` describes each; CI compares the two.
"""

from enum import Enum

__all__ = ["Outcome", "RefusalReason", "RetryReason"]


class Outcome(str, Enum):
    """Guarantee for the caller; the ``Hingesill-Outcome`` header."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(str, Enum):
    """Reason for which a request got no response from an endpoint."""

    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    UNAUTHENTICATED = "unauthenticated"
    QUOTA_EXCEEDED = "quota-exceeded"
    NO_ENDPOINT = "no-endpoint"
    ENDPOINTS_LIMITED = "endpoints-limited"
    ENDPOINTS_RESTING = "endpoints-resting"
    ENDPOINTS_UNREACHABLE = "endpoints-unreachable"
    NODE_STOPPING = "node-stopping"
    UNKNOWN_NODE = "unknown-node"
    QUARANTINED = "quarantined"
    BAD_FRAMING = "bad-framing"
    INCOMPLETE_REQUEST = "incomplete-request"
    BAD_HEADER = "bad-header"
    CONNECTION_LIMIT = "connection-limit"
    MEMORY_LIMIT = "memory-limit"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    CALLER_GONE = "caller-gone"
    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    NO_CAPACITY_IN_TIME = "no-capacity-in-time"
    DEADLINE_PASSED = "deadline-passed"
    CONNECT_FAILED = "connect-failed"
    ENDPOINT_REFUSED = "endpoint-refused"
    ANSWER_LOST = "answer-lost"
    ANSWER_LATE = "answer-late"
    ANSWER_SHORT = "answer-short"
    INTERNAL = "internal"


class RetryReason(str, Enum):
    """Reason for which a request was sent again, or was not."""

    CONNECT_FAILED = "connect-failed"
    NOT_SENT = "not-sent"
    ENDPOINT_REFUSED = "endpoint-refused"
    ANSWER_LOST = "answer-lost"
    ENDPOINT_FAULT = "endpoint-fault"
    HEDGE = "hedge"
    DENIED_BUDGET = "denied-budget"
    DENIED_LAYER = "denied-layer"
    DENIED_NOT_REPEATABLE = "denied-not-repeatable"
    DENIED_NO_ENDPOINT = "denied-no-endpoint"
    DENIED_TIME = "denied-time"
    DENIED_QUOTA = "denied-quota"
    DENIED_ENDINGS = "denied-endings"
