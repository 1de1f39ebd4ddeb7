"""Sending a request to an endpoint and reading the head of its response."""

from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_node.datapath.requests import RequestFault
from hingesill_node.datapath.waits import WaitTimeout

__all__ = [
    "BodyFailed",
    "TRANSPORT_ERRORS",
    "connect",
    "is_timeout",
    "read_result",
    "send_request",
    "write_request",
]

CHUNK_BYTES = 64 * 1024
WRITE_TIMEOUT_SECONDS = 10.0
BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
TRANSPORT_ERRORS = (OSError, WaitTimeout)
FIRST_FAULT_STATUS = 500


class BodyFailed(Exception):
    """The body from the caller could not be read to its end during streaming."""


def is_timeout(error):
    """Return whether a transport error, or what it was raised from, is a timeout."""
    return isinstance(error.__cause__ or error, (TimeoutError, WaitTimeout))


def connect(live, request, wire):
    """Acquire a connection on which only an answer to this send can name the request.

    Parameters
    ----------
    live : LiveSend
        The send; the connection that it may have already is used if possible.
    request : CallerRequest
        The request to send.
    wire : OwnFormat
        The HTTP dialect.

    Raises
    ------
    ConnectFailed
        If no connection could be opened.
    """
    connection, live.connection = live.connection, None
    is_named = wire.is_named(request)
    if connection is not None:
        if is_named and not connection.has_carried(request.request_id):
            live.connection = connection
            return
        live.pool.release(connection)
    if is_named:
        live.connection = live.pool.acquire(request.request_id)
    else:
        live.connection = live.pool.acquire_new()


def send_request(live, request, now, wire, is_too_late):
    """Send a request on the connection of a send.

    Parameters
    ----------
    live : LiveSend
        The send with its connection.
    request : CallerRequest
        The request to send.
    now : float
        Time in seconds, from which the remaining time is computed.
    wire : OwnFormat
        The HTTP dialect.
    is_too_late : callable
        Returns whether a body that was read to its end must not be passed on.

    Raises
    ------
    OSError
        If writing failed; the endpoint may have received a part of the request.
    BodyFailed
        If the body could not be read from the caller, or was whole too late.
    """
    remaining = request.ticket.deadline - now
    added = wire.build_request_headers(
        request.request_id, live.send.endpoint, remaining, request.ticket.organisation
    )
    write_request(live.connection, request, request.headers, added, is_too_late)


def write_request(connection, request, fields, added, is_too_late):
    """Write a request; see `send_request` for errors.

    Parameters
    ----------
    connection : EndpointConnection
        The connection.
    request : CallerRequest
        The request.
    fields : HeaderFields
        The headers that are passed on.
    added : iterable of tuple of str
        The headers that the node adds.
    is_too_late : callable
        See `send_request`.
    """
    connection.set_time_limit(WRITE_TIMEOUT_SECONDS)
    connection.collect()
    write_head(connection, request, fields, added)
    body = request.body
    if body.whole is not None:
        if body.whole:
            connection.send(body.whole)
        connection.flush()
        return
    connection.flush()
    request.ticket.replayable = False
    stream_body(connection, body, is_too_late)


def write_head(connection, request, fields, added):
    """Write the request line and the headers to the connection's buffer."""
    connection.begin(request.method, request.target, request.request_id)
    connection.put_fields(fields)
    for name, value in added:
        connection.putheader(name, value)
    body = request.body
    if body.length is None:
        connection.putheader("Transfer-Encoding", "chunked")
    elif body.length or request.method not in BODYLESS_METHODS:
        connection.putheader("Content-Length", str(body.length))
    connection.endheaders()


def stream_body(connection, body, is_too_late):
    """Stream a long body; the socket buffers apply back-pressure to the caller.

    Notes
    -----
    The endpoint does not get the end of a body that is whole too late, so that it sees
    an incomplete request.
    """
    sent = 0
    while chunk := read_chunk(body):
        sent += len(chunk)
        if sent == body.length:
            check_end(connection, body, is_too_late)
        if body.length is None:
            connection.send(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        else:
            connection.send(chunk)
    if body.length is None:
        check_end(connection, body, is_too_late)
        connection.send(b"0\r\n\r\n")
    elif sent < body.length:
        raise BodyFailed("the request body from the caller is incomplete")


def check_end(connection, body, is_too_late):
    """Raise BodyFailed if the end of a body must not be passed on.

    Notes
    -----
    An endpoint may answer before it has read the body; its answer is passed on.
    """
    if is_too_late() and not connection.has_input():
        body.is_withheld = True
        raise BodyFailed("the node stops before an answer can be expected")


def read_chunk(body):
    """Return the next chunk of a body, or raise BodyFailed."""
    try:
        return body.source.read(CHUNK_BYTES)
    except RequestFault as fault:
        body.fault = fault
        raise BodyFailed(str(fault)) from fault
    except (OSError, ValueError) as error:
        raise BodyFailed(str(error)) from error


def read_result(live, now, own_in_flight, wire, request_id, seconds=None):
    """Read the head of a response and the endpoint state that it reports.

    Parameters
    ----------
    live : LiveSend
        A send whose connection is readable; its response is set.
    now : float
        Time in seconds.
    own_in_flight : int
        This node's sends in flight at the endpoint, including this one.
    wire : OwnFormat
        The HTTP dialect.
    request_id : str
        Id of the request; responses to other requests are skipped.
    seconds : float or None
        Maximum time for the head and a short body; see `EndpointResponse`.

    Returns
    -------
    SendResult
        Has the status ANSWERED, FAULT or REFUSED.

    Raises
    ------
    OSError
        If the response was lost.
    WaitTimeout
        If it did not arrive in time.
    """
    is_first = live.connection.is_first_request
    response = live.response = live.connection.read_head(
        lambda received: wire.is_own_answer(received, request_id, is_first), seconds
    )
    signals = wire.read_signals(response, now, own_in_flight - 1)
    return SendResult(
        classify_response(response.status, signals),
        signals.report,
        leaving=signals.leaving,
        cold=signals.cold,
        backoff=signals.backoff,
        limit=signals.limit,
    )


def classify_response(status, signals):
    """Return the SendStatus for a response with a complete head."""
    if signals.not_run:
        return SendStatus.REFUSED
    if status >= FIRST_FAULT_STATUS:
        return SendStatus.FAULT
    return SendStatus.ANSWERED
