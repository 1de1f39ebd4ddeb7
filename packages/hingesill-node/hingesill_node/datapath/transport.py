"""One send: the request to an endpoint and the head of its answer."""

from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import SendEnd, SendResult
from hingesill_node.datapath.connections import WaitTimeout
from hingesill_node.datapath.headers import LAYER_TAKEN, Names

__all__ = ["BodyFailed", "is_explicitly_not_run", "read_result", "send_request"]

CHUNK_BYTES = 64 * 1024
WRITE_SECONDS = 10.0
BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
TRANSPORT_ERRORS = (OSError, WaitTimeout)
REFUSED_STATUS = 503
NOT_RUN = "not-run"


class BodyFailed(Exception):
    """The caller's body ended early or grew too large while it was passed on."""


def send_request(live, request, now):
    """Send a request on a connection of the endpoint's pool.

    Parameters
    ----------
    live : LiveSend
        Gets the connection.
    request : CallerRequest
        What to send.
    now : float
        Seconds of the node's clock, for the remaining time.

    Raises
    ------
    ConnectFailed
        Nothing was sent.
    OSError
        The endpoint may have got part of it.
    BodyFailed
        The caller's side failed.
    """
    connection = live.connection = live.pool.take()
    connection.set_time_limit(WRITE_SECONDS)
    connection.collect()
    write_head(connection, request, now)
    body = request.body
    if body.whole is not None:
        if body.whole:
            connection.send(body.whole)
        connection.flush()
        return
    connection.flush()
    request.ticket.replayable = False
    stream_body(connection, body)


def write_head(connection, request, now):
    """Write the request line and the headers."""
    connection.begin(request.method, request.target)
    for name, value in request.headers:
        connection.putheader(name, value)
    remaining = max(0, int((request.ticket.deadline - now) * 1000))
    connection.putheader(Names.REQUEST_ID, request.request_id)
    connection.putheader(Names.REMAINING, str(remaining))
    connection.putheader(Names.LAYER, LAYER_TAKEN)
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


def read_result(live, now, own_in_flight):
    """Read the head of the answer and what it tells of the endpoint.

    Parameters
    ----------
    live : LiveSend
        Sent, and readable.
    now : float
        Seconds of the node's clock.
    own_in_flight : int
        This node's sends in flight there, with this one.

    Returns
    -------
    SendResult
        ANSWERED, FAULT or REFUSED; the response stands in ``live``.

    Raises
    ------
    OSError
        The answer was lost.
    """
    response = live.response = live.connection.read_head()
    report = parse_report(response.get(Names.RUNNING), now, own_in_flight - 1)
    end = SendEnd.ANSWERED
    retry_after = 0.0
    if response.status >= 500:
        end = SendEnd.FAULT
        if is_explicitly_not_run(response):
            end = SendEnd.REFUSED
            retry_after = parse_retry_after(response.get("Retry-After"))
    return SendResult(
        end,
        report,
        draining=response.get(Names.DRAINING) == "1",
        cold=response.get(Names.COLD) == "1",
        retry_after=retry_after,
    )


def is_explicitly_not_run(response):
    """Tell whether the endpoint says that it did not run the request."""
    if response.status != REFUSED_STATUS:
        return False
    return response.get(Names.OUTCOME) == NOT_RUN


def parse_report(text, now, own_in_flight):
    """Return the load report of a header, or None if there is none to use."""
    if text is None or not text.isdigit() or len(text) > 6:
        return None
    return LoadReport(int(text), now, own_in_flight)


def parse_retry_after(text):
    """Return the seconds a refusing endpoint asks for; 0 if it says nothing."""
    if text is None or not text.isdigit():
        return 0.0
    return float(min(int(text), 60))
