"""Entry for requests that other nodes forward to this one."""

from msgspec import Struct

from hingesill_core.reasons import RefusalReason
from hingesill_node.blackboard import Phase
from hingesill_node.datapath.headers import ForwardHeaders
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["FORWARD_KEY", "ForwardEntry", "ForwardedFrom"]

# Key in the WSGI environment of a forwarded request.
FORWARD_KEY = "hingesill.forwarded"
MAX_SENDS_DIGITS = 3
# Characters of an unknown sender's name that are written to the log.
MAX_LOGGED_NAME_LENGTH = 100


class ForwardedFrom(Struct, frozen=True):
    """What another node says of a request that it forwards.

    Parameters
    ----------
    node : str
        The other node.
    service : str
        The service that it chose for the request.
    sends : int
        How often the request has been sent to endpoints.
    has_token : bool
        Whether it has taken a token of the organisation's quota for the request.
    """

    node: str
    service: str = ""
    sends: int = 0
    has_token: bool = False


class ForwardEntry:
    """WSGI application of the address for forwarded requests.

    Parameters
    ----------
    application : Application
        Serves requests; this application marks them as forwarded.
    is_member : callable
        Returns whether a node of a name is registered at an IP address.

    Notes
    -----
    A request on the callers' address cannot be marked: only this application sets the
    mark, and headers of that name are dropped there. Here, only the registered nodes
    are accepted, by name and IP address.
    """

    def __init__(self, application, is_member):
        self.application = application
        self.is_member = is_member

    def __call__(self, environ, start_response):
        """Serve one request; see PEP 3333."""
        name = environ.get(ForwardHeaders.environ(ForwardHeaders.NODE), "")
        sends = environ.get(ForwardHeaders.environ(ForwardHeaders.SENDS), "0")
        is_number = sends.isascii() and sends.isdigit()
        environ[FORWARD_KEY] = ForwardedFrom(
            name,
            environ.get(ForwardHeaders.environ(ForwardHeaders.SERVICE), ""),
            int(sends) if is_number and len(sends) <= MAX_SENDS_DIGITS else 0,
            ForwardHeaders.environ(ForwardHeaders.TOKEN) in environ,
        )
        if not name or not self.is_member(name, environ["REMOTE_ADDR"]):
            log_event(
                Event.FORWARD_REFUSED,
                node_name=name[:MAX_LOGGED_NAME_LENGTH],
                address=environ["REMOTE_ADDR"],
            )
            return self._refuse(environ, start_response, RefusalReason.UNKNOWN_NODE)
        if self.application.blackboard.phase is Phase.STOPPING:
            return self._refuse(environ, start_response, RefusalReason.NODE_STOPPING)
        caller = environ.get(ForwardHeaders.environ(ForwardHeaders.CALLER))
        if caller:
            environ["REMOTE_ADDR"] = caller
        return self.application(environ, start_response)

    def _refuse(self, environ, start_response, reason):
        return self.application.refuse_unread(environ, start_response, reason)
