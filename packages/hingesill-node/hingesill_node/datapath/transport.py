"""One send: the request to an endpoint and the head of its answer."""

from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_node.datapath.waits import WaitTimeout

__all__ = ["BodyFailed", "TRANSPORT_ERRORS", "connect", "read_result", "send_request"]

CHUNK_BYTES = 64 * 1024
WRITE_SECONDS = 10.0
BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
TRANSPORT_ERRORS = (OSError, WaitTimeout)
FIRST_FAULT_STATUS = 500


class BodyFailed(Exception):
    """The caller's body ended early or grew too large while it was passed on."""


def connect(live):
    """Give a send one of its pool's connections, unless it has one.

    Raises
    ------
    ConnectFailed
        None came about.
    """
    if live.connection is None:
        live.connection = live.pool.take()


def send_request(live, request, now, wire):
    """Send a request on its connection.

    Parameters
    ----------
    live : LiveSend
        Has the connection.
    request : CallerRequest
        What to send.
    now : float
        Seconds of the node's clock, for the remaining time.
    wire : OwnFormat
        The dialect.

    Raises
    ------
    OSError
        The endpoint may have got part of it.
    BodyFailed
        The caller's side failed.
    """
    connection = live.connection
    connection.set_time_limit(WRITE_SECONDS)
    connection.collect()
    write_head(connection, request, now, live.send.endpoint, wire)
    body = request.body
    if body.whole is not None:
        if body.whole:
            connection.send(body.whole)
        connection.flush()
        return
    connection.flush()
    request.ticket.replayable = False
    stream_body(connection, body)


def write_head(connection, request, now, endpoint, wire):
    """Write the request line and the headers."""
    connection.begin(request.method, request.target)
    for name, value in request.headers:
        connection.putheader(name, value)
    remaining = request.ticket.deadline - now
    added = wire.build_request_headers(request.request_id, endpoint, remaining)
    for name, value in added:
        connection.putheader(name, value)
    body = request.body
    if body.length is None:
        connection.putheader("Transfer-Encoding", "chunked")
    elif body.length or request.method not in BODYLESS_METHODS:
        connection.putheader("Content-Length", str(body.length))
    connection.endheaders()


def stream_body(connection, body):
    """Pass a long body on as it comes; the socket's buffers hold the caller back."""
    sent = 0
    while True:
        chunk = read_chunk(body)
        if not chunk:
            break
        sent += len(chunk)
        if body.length is None:
            connection.send(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        else:
            connection.send(chunk)
    if body.length is None:
        connection.send(b"0\r\n\r\n")
    elif sent < body.length:
        raise BodyFailed("the caller's body ended early")


def read_chunk(body):
    """Return the next part of a body; BodyFailed if the caller's side fails."""
    try:
        return body.source.read(CHUNK_BYTES)
    except (OSError, ValueError) as error:
        raise BodyFailed(str(error)) from error


def read_result(live, now, own_in_flight, wire, request_id):
    """Read the head of the answer and what it tells of the endpoint.

    Parameters
    ----------
    live : LiveSend
        Sent, and readable.
    now : float
        Seconds of the node's clock.
    own_in_flight : int
        This node's sends in flight there, with this one.
    wire : OwnFormat
        The dialect.
    request_id : str
        Answers to other requests are passed over.

    Returns
    -------
    SendResult
        ANSWERED, FAULT or REFUSED; the response stands in ``live``.

    Raises
    ------
    OSError
        The answer was lost.
    """
    response = live.response = live.connection.read_head(
        lambda answer: wire.is_own_answer(answer, request_id)
    )
    signals = wire.read_signals(response, now, own_in_flight - 1)
    return SendResult(
        classify_answer(response.status, signals),
        signals.report,
        leaving=signals.leaving,
        cold=signals.cold,
        backoff=signals.backoff,
        limit=signals.limit,
    )


def classify_answer(status, signals):
    """Return how a send ended that brought a whole head."""
    if signals.not_run:
        return SendStatus.REFUSED
    if status >= FIRST_FAULT_STATUS:
        return SendStatus.FAULT
    return SendStatus.ANSWERED
