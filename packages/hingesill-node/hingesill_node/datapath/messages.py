"""Messages between the parts of the data path."""

from msgspec import Struct, field

from hingesill_core.crashes.fingerprint import describe_request
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Send, Ticket
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.quotas.requesttokens import NO_TOKENS

__all__ = ["Answer", "Body", "CallerRequest", "LiveSend", "QueryResult"]

NO_FIELDS = HeaderFields()


class Body(Struct):
    """A request's body, buffered if it is small, else read while it is sent.

    Parameters
    ----------
    whole : bytes or None
        The body if it was buffered.
    length : int or None
        Length in bytes; None if the caller sends chunks.
    source : object
        Object with a ``read`` method, used if ``whole`` is None.
    beginning : bytes
        Bytes of an unbuffered body that were read before the first send.
    fault : RequestFault or None
        What was wrong with an unbuffered body when it was read.
    is_withheld : bool
        Whether its end was not passed on, as the node stops.
    """

    whole: bytes | None
    length: int | None
    source: object = None
    beginning: bytes = b""
    fault: object = None
    is_withheld: bool = False

    @property
    def failure_reason(self):
        """Reason for which a request is refused whose body could not be read."""
        if self.is_withheld:
            return RefusalReason.NODE_STOPPING
        if self.fault is None:
            return RefusalReason.CALLER_GONE
        return self.fault.reason


class CallerRequest(Struct):
    """A request as the node forwards it.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt of the caller.
    method, target, host : str
        As received from the caller.
    headers : HeaderFields
        The forwarded headers.
    body : Body
        The request's body.
    ticket : Ticket
        The request's state in the dispatcher.
    caller_socket : GreenSocket or None
        The caller's connection.
    caller : str
        The caller's IP address.
    keys : KeyTable or None
        The keys in force when its own key was last checked and its headers filtered.
    tokens : RequestTokens or NoTokens
        Its tokens under the quota of its organisation.
    received_headers : HeaderFields
        The headers as received from the caller.
    forwarded : ForwardedFrom or None
        The node that forwarded it, if one did.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderFields
    body: Body
    ticket: Ticket
    caller_socket: object = None
    host: str = ""
    caller: str = ""
    keys: object = None
    tokens: object = NO_TOKENS
    received_headers: HeaderFields = NO_FIELDS
    forwarded: object = None
    _fingerprints: tuple = ()

    @property
    def fingerprints(self):
        """Fingerprints by which every node recognizes the request."""
        if not self._fingerprints:
            body = self.body.whole or self.body.beginning
            self._fingerprints = describe_request(
                self.method, self.host, self.target, self.caller, body
            )
        return self._fingerprints


class Answer(Struct):
    """An answer, with its body buffered or still to be read.

    Parameters
    ----------
    status : int
        The status code.
    reason : str
        The reason phrase.
    headers : HeaderFields
        As received from the endpoint.
    body : bytes or None
        The whole body, or None if it is still to be read from ``live``.
    live : LiveSend, Hop or None
        The send, or the hop to another node, whose response holds the rest of the
        body, if any.
    refusal : Outcome or None
        Outcome of a request that another node refused; None for an endpoint's answer.
    """

    status: int
    reason: str
    headers: HeaderFields
    body: bytes | None
    live: object = None
    refusal: Outcome | None = None


class QueryResult(Struct, frozen=True):
    """Result of load queries for a waiting request.

    Parameters
    ----------
    decision : Send, Queued, Refusal or None
        The decision; None if the wait was cancelled.
    connection : EndpointConnection or None
        The connection that carried the load reply, known to be alive.
    """

    decision: object
    connection: object = None


class LiveSend(Struct, eq=False):
    """A send in flight, with the connection that carries it and its quota token."""

    send: Send
    pool: object
    connection: object = None
    response: object = None
    token: object = None
    settled: bool = field(default=False)
