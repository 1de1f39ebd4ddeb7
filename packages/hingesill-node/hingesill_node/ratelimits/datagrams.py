"""Encodes, decodes and validates datagrams on endpoints' rate limits."""

from math import inf

from msgspec import DecodeError
from msgspec.msgpack import Decoder, encode

from hingesill_core.ratelimits.fleet import MAX_LIMITS_PER_DATAGRAM
from hingesill_core.ratelimits.grants import MAX_GRANTS_PER_REQUEST
from hingesill_core.ratelimits.grantscheduler import MAX_GRANT_RUNS_PER_REPLY
from hingesill_core.ratelimits.messages import (
    GrantReply,
    GrantRequest,
    LimitQuery,
    LimitUpdate,
)

__all__ = ["LIMIT_PREFIX", "decode_message", "encode_message"]

MAX_NAME_LENGTH = 256
# Maximum age of a report that is sent on, and maximum wait in a reply, in seconds.
MAX_SECONDS = 3600.0
DECODER = Decoder(LimitUpdate | GrantRequest | GrantReply | LimitQuery)
# First byte of each message on limits; other datagrams between nodes have another one.
LIMIT_PREFIX = b"L"


def encode_message(message):
    """Return the bytes of a message."""
    return LIMIT_PREFIX + encode(message)


def decode_message(data):
    """Return the message of a datagram.

    Raises
    ------
    ValueError
        If the datagram is no message on limits or a value is out of range.
    """
    if data[:1] != LIMIT_PREFIX:
        raise ValueError("not a rate limit message: wrong first byte")
    try:
        message = DECODER.decode(data[1:])
    except (DecodeError, RecursionError) as error:
        raise ValueError(f"not a rate limit message: {error}") from error
    if len(message.records) > MAX_LIMITS_PER_DATAGRAM:
        raise ValueError(f"message has {len(message.records)} limits")
    for record in message.records:
        check_record(record)
    if isinstance(message, GrantRequest):
        check_request(message)
    if isinstance(message, GrantReply):
        check_reply(message)
    return message


def check_record(record):
    """Raise ValueError if a value of a LimitRecord is out of range."""
    check_name(record.service)
    check_name(record.endpoint)
    check_seconds(record.age)
    check_seconds(record.span)
    if record.per_second is not None and not 0.0 <= record.per_second < inf:
        raise ValueError(f"limit of {record.per_second} is out of range")


def check_request(request):
    """Raise ValueError if a value of a GrantRequest is out of range."""
    check_name(request.service)
    check_seconds(request.horizon)
    if len(request.excluded) > MAX_LIMITS_PER_DATAGRAM:
        raise ValueError(f"request excludes {len(request.excluded)} endpoints")
    for endpoint in request.excluded:
        check_name(endpoint)
    if not 0 < request.wanted <= MAX_GRANTS_PER_REQUEST:
        raise ValueError(f"request for {request.wanted} grants is out of range")


def check_reply(reply):
    """Raise ValueError if a value of a GrantReply is out of range."""
    if len(reply.runs) > MAX_GRANT_RUNS_PER_REPLY:
        raise ValueError(f"reply has {len(reply.runs)} runs of grants")
    if sum(run.count for run in reply.runs) > MAX_GRANTS_PER_REQUEST:
        raise ValueError("reply has more grants than a node may request")
    for run in reply.runs:
        check_name(run.endpoint)
        check_seconds(run.delay)
        check_seconds(run.count * run.interval)
        if not 0 < run.count <= MAX_GRANTS_PER_REQUEST:
            raise ValueError(f"run of {run.count} grants is out of range")
    check_seconds(reply.retry_after)
    check_seconds(reply.wait)
    check_seconds(reply.pause)


def check_name(name):
    """Raise ValueError if a name is empty or too long."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"name has {len(name)} characters")


def check_seconds(seconds):
    """Raise ValueError if a time is out of range."""
    if not 0.0 <= seconds <= MAX_SECONDS:
        raise ValueError(f"time of {seconds} s is out of range")
