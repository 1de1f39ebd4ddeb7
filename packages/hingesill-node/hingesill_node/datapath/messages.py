"""What the parts of the data path hand to each other."""

from msgspec import Struct, field

from hingesill_core.crashes.fingerprint import describe_request
from hingesill_core.routing.messages import Send, Ticket

__all__ = ["Answer", "Body", "CallerRequest", "Found", "LiveSend"]


class Body(Struct):
    """A request's body: whole when it is small, else read as it is sent.

    Parameters
    ----------
    whole : bytes or None
        The body if it was read at once.
    length : int or None
        Its length, None if the caller sends chunks.
    source : object
        Has ``read``; used if ``whole`` is None.
    beginning : bytes
        Of a body that is not whole, as far as it was read before anything was sent.
    """

    whole: bytes | None
    length: int | None
    source: object = None
    beginning: bytes = b""


class CallerRequest(Struct):
    """A request as the node passes it on.

    Parameters
    ----------
    request_id : str
        Of this try.
    method, target, host : str
        As they came.
    headers : list of tuple
        That are passed on.
    body : Body
        What follows them.
    ticket : Ticket
        The request as the decisions see it.
    caller_socket : GreenSocket or None
        The caller's connection.
    caller : str
        The caller's IP address.
    """

    request_id: str
    method: str
    target: str
    headers: list
    body: Body
    ticket: Ticket
    caller_socket: object = None
    host: str = ""
    caller: str = ""
    _fingerprints: tuple = ()

    @property
    def fingerprints(self):
        """By what the request is known again, whichever node it comes to."""
        if not self._fingerprints:
            body = self.body.whole or self.body.beginning
            self._fingerprints = describe_request(
                self.method, self.host, self.target, self.caller, body
            )
        return self._fingerprints


class Answer(Struct):
    """An endpoint's answer, its body whole or still to be read.

    Parameters
    ----------
    status : int
        The status code.
    reason : str
        The reason phrase.
    headers : list of tuple
        As they came.
    body : bytes or None
        The whole body, or None if ``live`` is still to be read from.
    live : LiveSend or None
        Set while the answer is being read.
    """

    status: int
    reason: str
    headers: list
    body: bytes | None
    live: object = None


class Found(Struct, frozen=True):
    """What a waiting request got.

    Parameters
    ----------
    decision : Send, Hold, Refusal or None
        What to do; None if the request no longer waits.
    connection : EndpointConnection or None
        That of the reply which the Send goes by: it was alive just now.
    """

    decision: object
    connection: object = None


class LiveSend(Struct, eq=False):
    """A send on its way, with the connection that carries it."""

    send: Send
    pool: object
    connection: object = None
    response: object = None
    settled: bool = field(default=False)
