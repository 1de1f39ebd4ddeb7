"""Tests of requests that become whole while the node stops; the order is controlled."""

import random
import unittest

import eventlet
from eventlet import wsgi
from eventlet.event import Event as GreenEvent

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.configuration.services import (
    Endpoint,
    ProbeBudget,
    Route,
    SendBudget,
    Service,
)
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.plannedstop import MIN_ANSWERS
from hingesill_node.blackboard import Blackboard, Configuration, Phase
from hingesill_node.datapath.application import Application
from hingesill_node.datapath.forwardentry import ForwardEntry
from hingesill_node.datapath.runnertable import RunnerTable
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.datapath.tests.callerservice import (
    BODY,
    LENGTH,
    LONG_BODY,
)
from hingesill_node.datapath.tests.test_loadqueries import NoAnnouncements
from hingesill_node.telemetry.counters import Counters
from standins.endpoint import read_body

# Neither time passes during a test.
STOP_SECONDS = 60.0
TIMEOUT_SECONDS = 600.0
TEST_SECONDS = 5.0
MOVES = Route("arena", "", "/a/", False, True, TIMEOUT_SECONDS)
LAST_BYTES = 10
# The caller names no deadline: that of its route applies.
HEAD = b"POST /a/1 HTTP/1.1\r\nHost: a\r\nHingesill-Forwarding-Node: n2\r\n"
POST_HEAD = HEAD + LENGTH % len(BODY) + b"\r\n"
POST = POST_HEAD + BODY
LONG_HEAD = HEAD + LENGTH % len(LONG_BODY) + b"\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class HoldingEndpoint:
    """An endpoint that runs whole requests, and answers them once its gate is open.

    Attributes
    ----------
    answers_early : bool
        Whether it answers before it has read the body.
    """

    def __init__(self, case):
        self.answers_early = False
        self.ran = []
        self.arrived = GreenEvent()
        self.begun = GreenEvent()
        self.gate = GreenEvent()
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        options = dict(log_output=False, debug=False)
        thread = eventlet.spawn(wsgi.server, listener, self, **options)
        case.addCleanup(thread.kill)

    def __call__(self, environ, start_response):
        """Run a request; see PEP 3333."""
        if not self.arrived.ready():
            self.arrived.send()
        if self.answers_early:
            start_response("200 OK", [])
            return [b"done"]
        read_body(environ)
        self.ran.append(environ["PATH_INFO"])
        if not self.begun.ready():
            self.begun.send()
        self.gate.wait()
        start_response("200 OK", [])
        return [b"done"]


class StoppingNode:
    """Both addresses of a node with one service, in green threads of this process."""

    def __init__(self, case, slots=3):
        self.endpoint = HoldingEndpoint(case)
        declared = Endpoint(self.endpoint.address, "a", slots, 20, "i1")
        probes = ProbeBudget(100.0, 10.0, 1.0, 0.001, "/health")
        sends = SendBudget(0.1, 0.5, 40.0)
        policy = "least_in_flight_of_two"
        service = Service(
            "arena", policy, (declared,), (MOVES,), probes, sends, 16, slots
        )
        self.board = Blackboard(FleetView("a", 1, 1))
        self.board.configuration = Configuration(
            1, services={"arena": service}, routes=RouteTable([MOVES])
        )
        self.runners = RunnerTable(self.board, random.Random(1), NoAnnouncements())
        self.counters = Counters()
        application = Application(self.board, self.runners, self.counters, 1_000_000)
        entry = ForwardEntry(application, lambda name, address: name == "n2")
        self.addresses = {
            "callers": self._start(case, application, "callers"),
            "forwarded": self._start(case, entry, "forwarded"),
        }

    def _start(self, case, application, listener):
        sock = listen("127.0.0.1:0", False)
        server = start_server(sock, application, listener, self.counters)
        case.addCleanup(sock.close)
        case.addCleanup(server.kill)
        return sock.getsockname()

    def send(self, data, listener="callers"):
        """Send bytes on a new connection, and return it."""
        sock = eventlet.connect(self.addresses[listener])
        sock.settimeout(TEST_SECONDS)
        sock.sendall(data)
        return sock

    def stop(self):
        """Begin a planned stop that ends long before the deadline of any request."""
        self.board.write("stop_seconds", STOP_SECONDS)
        self.board.write("phase", Phase.STOPPING)

    def record_answers(self, seconds):
        """Let the node know how long answers of the service take."""
        latency = self.runners.get("arena").dispatcher.get_latency(MOVES)
        for _ in range(MIN_ANSWERS):
            latency.record(seconds)

    def count_sends(self):
        """Return the number of sends to the endpoint."""
        return self.counters.counts[("sends", "arena", "")]


def read_answer(sock):
    """Return the head of the next answer."""
    head = b""
    while b"\r\n\r\n" not in head:
        data = sock.recv(65536)
        if not data:
            raise AssertionError(f"the connection ended after {head!r}")
        head += data
    return head.partition(b"\r\n\r\n")[0].decode()


class LateRequestTests(unittest.TestCase):
    """Guards against requests that are passed on late in a stop, and cut."""

    def setUp(self):
        self.node = StoppingNode(self)

    def check_refused(self, sock, outcome="not-run"):
        head = read_answer(sock)
        self.assertIn(" 503 ", head)
        self.assertIn(f"Hingesill-Outcome: {outcome}", head)
        self.assertIn("Hingesill-Reason: node-stopping", head)
        self.assertEqual(self.node.endpoint.ran, [])
        return head

    def test_a_request_that_is_read_late(self):
        self.node.stop()
        self.check_refused(self.node.send(POST))
        self.assertEqual(self.node.count_sends(), 0)

    def test_a_head_or_body_that_becomes_whole_late(self):
        for listener in self.node.addresses:
            for cut in (len(POST_HEAD), len(POST) - 1):
                with self.subTest(listener=listener, cut=cut):
                    self.setUp()
                    sock = self.node.send(POST[:cut], listener)
                    eventlet.sleep(0.01)
                    self.node.stop()
                    sock.sendall(POST[cut:])
                    head = self.check_refused(sock)
                    if listener == "forwarded":
                        self.assertIn("Forward-Refusal: not-run node-stopping", head)
                    self.assertEqual(self.node.count_sends(), 0)

    def test_a_long_body_that_becomes_whole_late(self):
        """Guards against long bodies, which are passed on while they arrive."""
        size = b"%x\r\n" % len(LONG_BODY)
        for data in (
            LONG_HEAD + LONG_BODY,
            CHUNKED_HEAD + size + LONG_BODY + b"\r\n0\r\n\r\n",
        ):
            with self.subTest(data=data[:200]):
                self.setUp()
                sock = self.node.send(data[:-LAST_BYTES])
                with eventlet.Timeout(TEST_SECONDS):
                    self.node.endpoint.arrived.wait()
                self.node.stop()
                sock.sendall(data[-LAST_BYTES:])
                self.check_refused(sock, "unknown")

    def test_a_request_that_waits_for_a_slot(self):
        self.node = StoppingNode(self, slots=1)
        first = self.node.send(POST)
        with eventlet.Timeout(TEST_SECONDS):
            self.node.endpoint.begun.wait()
        while self.node.runners.count_queued() == 0:
            second = self.node.send(POST)
            eventlet.sleep(0.01)
        self.node.stop()
        self.assertIn("Hingesill-Outcome: not-run", read_answer(second))
        self.node.endpoint.gate.send()
        self.assertIn(" 200 ", read_answer(first))


class TimelyRequestTests(unittest.TestCase):
    """Guards against refusals of what can still be answered."""

    def setUp(self):
        self.node = StoppingNode(self)

    def test_a_request_that_was_passed_on_before(self):
        sock = self.node.send(POST)
        with eventlet.Timeout(TEST_SECONDS):
            self.node.endpoint.begun.wait()
        self.node.stop()
        self.node.endpoint.gate.send()
        self.assertIn(" 200 ", read_answer(sock))

    def test_a_request_of_a_service_that_answers_quickly(self):
        self.node.record_answers(STOP_SECONDS / 10)
        self.node.endpoint.gate.send()
        self.node.stop()
        self.assertIn(" 200 ", read_answer(self.node.send(POST)))

    def test_a_long_body_that_was_answered_before_its_end(self):
        self.node.endpoint.answers_early = True
        sock = self.node.send(LONG_HEAD + LONG_BODY[:-LAST_BYTES])
        with eventlet.Timeout(TEST_SECONDS):
            self.node.endpoint.arrived.wait()
        self.node.stop()
        sock.sendall(LONG_BODY[-LAST_BYTES:])
        self.assertIn(" 200 ", read_answer(sock))

    def test_a_long_body_of_a_service_that_answers_quickly(self):
        self.node.record_answers(STOP_SECONDS / 10)
        self.node.endpoint.gate.send()
        sock = self.node.send(LONG_HEAD + LONG_BODY[:-LAST_BYTES])
        with eventlet.Timeout(TEST_SECONDS):
            self.node.endpoint.arrived.wait()
        self.node.stop()
        sock.sendall(LONG_BODY[-LAST_BYTES:])
        self.assertIn(" 200 ", read_answer(sock))


if __name__ == "__main__":
    unittest.main()
