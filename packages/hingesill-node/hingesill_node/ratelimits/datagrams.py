"""Datagrams between nodes on endpoints' limits, and their checks."""

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

__all__ = ["MARK", "decode_message", "encode_message"]

LONGEST_NAME = 256
# Greatest age of a report that is passed on, and longest wait in a reply, in seconds.
LONGEST_SECONDS = 3600.0
MESSAGES = Decoder(LimitUpdate | GrantRequest | GrantReply | LimitQuery)
# First bytes of each datagram, different for each kind.
MARK = b"L"


def encode_message(message):
    """Return the bytes of a message."""
    return MARK + encode(message)


def decode_message(data):
    """Return the message that a datagram holds.

    Raises
    ------
    ValueError
        If it holds none, or figures beyond all bounds.
    """
    if data[:1] != MARK:
        raise ValueError("not on limits: another mark")
    try:
        message = MESSAGES.decode(data[1:])
    except (DecodeError, RecursionError) as error:
        raise ValueError(f"not on limits: {error}") from error
    if len(message.records) > MAX_LIMITS_PER_DATAGRAM:
        raise ValueError(f"{len(message.records)} limits in one datagram")
    for record in message.records:
        check_told(record)
    if isinstance(message, GrantRequest):
        check_request(message)
    if isinstance(message, GrantReply):
        check_reply(message)
    return message


def check_told(record):
    """Raise ValueError for a limit that no node of this project tells."""
    check_name(record.service)
    check_name(record.endpoint)
    check_seconds(record.age)
    check_seconds(record.span)
    if record.per_second is not None and not 0.0 <= record.per_second < inf:
        raise ValueError(f"a limit of {record.per_second}")


def check_request(request):
    """Raise ValueError for an ask that no node of this project makes."""
    check_name(request.service)
    check_seconds(request.horizon)
    if len(request.excluded) > MAX_LIMITS_PER_DATAGRAM:
        raise ValueError(f"{len(request.excluded)} endpoints are avoided")
    for endpoint in request.excluded:
        check_name(endpoint)
    if not 0 < request.wanted <= MAX_GRANTS_PER_REQUEST:
        raise ValueError(f"{request.wanted} grants are wanted")


def check_reply(reply):
    """Raise ValueError for grants that no node of this project gives."""
    if len(reply.runs) > MAX_GRANT_RUNS_PER_REPLY:
        raise ValueError(f"grants at {len(reply.runs)} endpoints in one datagram")
    if sum(run.count for run in reply.runs) > MAX_GRANTS_PER_REQUEST:
        raise ValueError("more grants than any node wants")
    for run in reply.runs:
        check_name(run.endpoint)
        check_seconds(run.delay)
        check_seconds(run.count * run.interval)
        if not 0 < run.count <= MAX_GRANTS_PER_REQUEST:
            raise ValueError(f"{run.count} grants at one endpoint")
    check_seconds(reply.retry_after)
    check_seconds(reply.wait)
    check_seconds(reply.pause)


def check_name(name):
    """Raise ValueError for a name that nothing has."""
    if not 0 < len(name) <= LONGEST_NAME:
        raise ValueError(f"a name of {len(name)} characters")


def check_seconds(seconds):
    """Raise ValueError for a time that no node tells."""
    if not 0.0 <= seconds <= LONGEST_SECONDS:
        raise ValueError(f"a time of {seconds} s")
