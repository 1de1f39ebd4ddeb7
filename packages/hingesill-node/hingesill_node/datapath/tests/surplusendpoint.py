"""An endpoint that sends answers again, at moments that the test controls.

A surplus answer is sent right before the request that it could be taken for is run, so
that the result does not depend on time.
"""

import random
from collections import Counter

import eventlet
from msgspec import Struct, field

from hingesill_core.configuration.services import (
    Endpoint,
    ProbeBudget,
    Route,
    SendBudget,
    Service,
)
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.messages import Ticket
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.runner import ServiceRunner
from hingesill_node.datapath.tests.test_loadqueries import NoAnnouncements
from hingesill_node.telemetry.counters import Counters

__all__ = ["AnswerFormat", "SurplusEndpoint", "SurplusScene"]

MOVES = Route("arena", "", "/a/", False, True, 2.0, target=0.5, most_sends=2)
TEST_SECONDS = 5.0
HEALTH = "/health"
CONNECTIONS = 20
QUEUE_LIMIT = 16
RETRIES = 5.0
# Script of an endpoint: a generator function by name.
SCRIPTS = {}


def register_script(name):
    """Register a generator function that yields the bytes sent for one request."""

    def register(function):
        SCRIPTS[name] = function
        return function

    return register


class AnswerFormat(Struct, frozen=True):
    """How the endpoints of a dialect write their answers.

    Parameters
    ----------
    id_header : str
        Header of the request's id.
    not_run : tuple of str
        Name and value of the header that says that a request was not run.
    load : tuple of str
        Name and value of the header that reports that all slots are free.
    names_requests : bool
        Whether answers to requests have the id.
    endpoint_id : tuple of str
        Name and value of the header that names the endpoint in a load reply, if any.
    """

    id_header: str
    not_run: tuple
    load: tuple
    names_requests: bool = True
    endpoint_id: tuple = ()

    def build(self, status, request_id="", headers=()):
        """Return an answer without a body."""
        lines = [f"{name}: {value}" for name, value in headers]
        if request_id and self.names_requests:
            lines.append(f"{self.id_header}: {request_id}")
        head = [f"HTTP/1.1 {status} Status", *lines, "Content-Length: 0", "", ""]
        return "\r\n".join(head).encode()

    def refuse(self, status, request_id=""):
        """Return the refusal of a request that was not run."""
        return self.build(status, request_id, [self.not_run, self.load])

    def answer(self, request_id):
        """Return the answer to a request that was run."""
        return self.build(200, request_id, [self.load])

    def reply(self, status=200):
        """Return the reply to a load query."""
        named = [self.endpoint_id] if self.endpoint_id else []
        return self.build(status, "", [self.load, *named])


class EndpointConnectionRecord(Struct):
    """What one connection to the endpoint has carried."""

    ids: list = field(default_factory=list)
    queries: int = 0


class SurplusEndpoint:
    """An endpoint with a script, served in green threads.

    Attributes
    ----------
    runs : Counter
        How often each request ran.
    connections : list of EndpointConnectionRecord
        All connections in the order of their opening.
    """

    def __init__(self, case, script, answers, status=503):
        self.script = SCRIPTS[script]
        self.answers = answers
        self.status = status
        self.runs = Counter()
        self.connections = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        thread = eventlet.spawn(eventlet.serve, listener, self._serve)
        case.addCleanup(listener.close)
        case.addCleanup(thread.kill)

    def _serve(self, sock, _):
        connection = EndpointConnectionRecord()
        self.connections.append(connection)
        while head := read_head(sock):
            target, request_id = self._parse(head)
            if target == HEALTH:
                self._reply(sock, connection)
                continue
            for data in self.script(self, connection, request_id):
                sock.sendall(data)
            connection.ids.append(request_id)

    def _parse(self, head):
        line, *fields = head.decode().split("\r\n")
        names = (field.partition(": ") for field in fields)
        values = {name.lower(): value for name, _, value in names}
        return line.split(" ")[1], values.get(self.answers.id_header.lower(), "")

    def _reply(self, sock, connection):
        """Reply to a load query, after a copy of the connection's last refusal."""
        copy = b""
        if connection.ids and self.script is SCRIPTS["refusal-before-reply"]:
            copy = self.answers.refuse(self.status, connection.ids[-1])
        connection.queries += 1
        sock.sendall(copy + self.answers.reply())

    def count_sends(self, request_id):
        """Return how often a request was received."""
        return sum(item.ids.count(request_id) for item in self.connections)

    def run(self, request_id):
        """Run a request and yield its answer."""
        self.runs[request_id] += 1
        yield self.answers.answer(request_id)

    def find_repeated(self):
        """Return the ids that one connection carried more than once."""
        return [
            request_id
            for connection in self.connections
            for request_id, count in Counter(connection.ids).items()
            if count > 1
        ]


def read_head(sock):
    """Return the next head on a connection, empty at its end."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        try:
            data = sock.recv(1)
        except OSError:
            return b""
        if not data:
            return b""
        head += data
    return head


@register_script("refusal-repeated")
def repeat_refusal(endpoint, connection, request_id):
    """Refuse the first send; send that again before a second one is run."""
    refusal = endpoint.answers.refuse(endpoint.status, request_id)
    if not endpoint.count_sends(request_id):
        yield refusal
        return
    if request_id in connection.ids:
        yield refusal
    yield from endpoint.run(request_id)


@register_script("refusal-before-reply")
def refuse_first(endpoint, connection, request_id):
    """Refuse the first send; the copy of that comes before the next load reply."""
    if not endpoint.count_sends(request_id):
        yield endpoint.answers.refuse(endpoint.status, request_id)
        return
    yield from endpoint.run(request_id)


@register_script("fault-repeated")
def repeat_fault(endpoint, connection, request_id):
    """Fail the first send; send that again before a second one is run."""
    fault = endpoint.answers.build(500, request_id)
    if not endpoint.count_sends(request_id):
        yield fault
        return
    if request_id in connection.ids:
        yield fault
    yield from endpoint.run(request_id)


@register_script("unnamed-refusal")
def refuse_unnamed(endpoint, connection, request_id):
    """Send a refusal that names no request before each answer but the first."""
    if connection.ids or connection.queries:
        yield endpoint.answers.refuse(endpoint.status)
    yield from endpoint.run(request_id)


@register_script("unnamed-refusal-only")
def refuse_request_without_id(endpoint, connection, request_id):
    """Refuse a request that has no id, in an answer that has none either."""
    yield endpoint.answers.refuse(endpoint.status)


@register_script("copy-for-next")
def refuse_every_second(endpoint, connection, request_id):
    """Refuse every second request; send that again before the next one is run."""
    if len(connection.ids) % 2:
        yield endpoint.answers.refuse(endpoint.status, request_id)
        return
    if connection.ids:
        yield endpoint.answers.refuse(endpoint.status, connection.ids[-1])
    yield from endpoint.run(request_id)


class SurplusScene:
    """One endpoint, a service with it, and requests of one node.

    Parameters
    ----------
    case : unittest.TestCase
        The test.
    script : str
        Name of the endpoint's script.
    answers : AnswerFormat
        How the endpoint answers.
    wire : OwnFormat
        The dialect of the node.
    route : Route
        The route of the requests.
    policy : str
        Routing policy of the service.
    status : int
        Status of the endpoint's refusals.
    """

    def __init__(
        self,
        case,
        script,
        answers,
        wire,
        route=MOVES,
        policy="least_in_flight_of_two",
        status=503,
    ):
        self.endpoint = SurplusEndpoint(case, script, answers, status)
        self.route = route
        self.wire = wire
        self.counters = Counters()
        declared = Endpoint(self.endpoint.address, "a", 3, CONNECTIONS, "i1")
        probes = ProbeBudget(100.0, 10.0, 1.0, 0.001, HEALTH)
        sends = SendBudget(0.1, 0.5, 40.0)
        service = Service(
            "arena", policy, (declared,), (route,), probes, sends, QUEUE_LIMIT, 0
        )
        fleet = FleetView("a", 1, 1)
        self.runner = ServiceRunner(service, fleet, random.Random(1), NoAnnouncements())
        # A new process has no tokens for retries.
        self.runner.dispatcher.retries.tokens = RETRIES

    @property
    def pool(self):
        """The pool of connections to the endpoint."""
        return self.runner.pools["i1"]

    def build_request(self, request_id, headers=()):
        """Return a request with an id."""
        now = self.runner.clock()
        ticket = Ticket(self.route, now, now + self.route.timeout)
        fields = HeaderFields(headers)
        return CallerRequest(request_id, "GET", "/a/", fields, Body(b"", 0), ticket)

    def send(self, request_id, headers=()):
        """Send a request; return the Answer or the Refusal."""
        request = self.build_request(request_id, headers)
        exchange = Exchange(self.runner, request, self.counters, self.wire)
        with eventlet.Timeout(TEST_SECONDS):
            return exchange.run()
