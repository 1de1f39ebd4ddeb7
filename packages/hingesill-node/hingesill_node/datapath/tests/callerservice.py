"""A callers' address and an address for forwarded requests, and requests to cut."""

import logging
import socket
import struct
import unittest
from types import SimpleNamespace

import eventlet

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.configuration.services import Route
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.organisations.organisation import Organisation, digest_key
from hingesill_core.routing.fleetview import FleetView
from hingesill_node.blackboard import Blackboard, Configuration
from hingesill_node.datapath.application import Application
from hingesill_node.datapath.forwardentry import ForwardEntry
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.datapath.transport import BodyFailed, read_chunk
from hingesill_node.quotas.tests.fakequotas import FakeQuotas, build_gate
from hingesill_node.resources import ServerLimits
from hingesill_node.telemetry.counters import Counters
from hingesill_node.telemetry.events import Event

__all__ = [
    "ENDS",
    "LISTENERS",
    "AcceptingApplication",
    "CallerService",
    "IncompleteRequestCase",
    "WholeRequestCase",
    "close_all",
    "end_by_half_close",
    "end_by_reset",
    "list_faults",
    "read_to_end",
]

LISTENERS = ("callers", "forwarded")
HEADERS = (
    b"Host: a\r\nHingesill-Forwarding-Node: n2\r\nAuthorization: Bearer k1\r\n"
    b"Hingesill-Remaining-Ms: 900\r\nCookie: c=1; d=2\r\n"
)
LENGTH = b"Content-Length: %d\r\n"
BODY = b"weight=12\r\n\r\n&plot=7"
LONG_BODY = b"0123456789abcdef" * 9_000
GET = b"GET /a/1?b=2 HTTP/1.1\r\n" + HEADERS + b"\r\n"
POST_LINE = b"POST /a/1 HTTP/1.1\r\n"
POST_HEAD = POST_LINE + HEADERS + LENGTH % len(BODY) + b"\r\n"
POST = POST_HEAD + BODY
LENGTH_FIRST_HEAD = POST_LINE + LENGTH % len(BODY) + HEADERS + b"\r\n"
LONG_HEAD = POST_LINE + HEADERS + LENGTH % len(LONG_BODY) + b"\r\n"
CHUNKED_HEAD = POST_LINE + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"

TOKENS = 3
TIMEOUT_SECONDS = 5.0
CLOSE_SECONDS = 0.05
KEY = "k1"
PROBE = (
    b"GET /p/probe HTTP/1.1\r\nHost: a\r\nHingesill-Forwarding-Node: n2\r\n"
    b"Connection: close\r\n\r\n"
)


class AcceptingApplication(Application):
    """Records the requests that endpoints would run, with their bodies."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.accepted = []

    def _exchange(self, environ, start_response, request):
        if request.target == "/p/probe":
            start_response("200 OK", [])
            return [b"probe"]
        body = request.body.whole
        if body is None:
            body = self._read_streamed(request)
        if body is None:
            raise OSError("the endpoint received a part of the body")
        self.accepted.append((request.method, request.target, request.headers, body))
        start_response("200 OK", [])
        return [b"accepted"]

    def _read_streamed(self, request):
        """Return a streamed body, None if it is not whole."""
        parts = []
        try:
            while chunk := read_chunk(request.body):
                parts.append(chunk)
        except BodyFailed:
            return None
        body = b"".join(parts)
        return body if request.body.length in (None, len(body)) else None


class CallerService:
    """Both addresses of a node, served in green threads of this process.

    Notes
    -----
    Connections are served in the order in which they were opened: a request on a later
    one is answered after all that an earlier one sent has been handled.
    """

    def __init__(
        self, case, build_application=AcceptingApplication, limits=ServerLimits()
    ):
        self.limits = limits
        handler = logging.NullHandler()
        logging.getLogger("hingesill").addHandler(handler)
        case.addCleanup(logging.getLogger("hingesill").removeHandler, handler)
        self.counters = Counters()
        self.blackboard = Blackboard(FleetView("dc0", 1, 1))
        organisation = Organisation("acme", (digest_key(KEY),), rate=100.0)
        routes = [
            Route("arena", "", "/a/", True, True, 2.0),
            Route("arena", "", "/p/", True, True, 2.0, public=True),
        ]
        self.blackboard.configuration = Configuration(
            1,
            routes=RouteTable(routes),
            organisations={organisation.name: organisation},
            keys=KeyTable([organisation]),
        )
        self.quotas = FakeQuotas(TOKENS)
        gate = build_gate(self.quotas, lambda: 0.0)
        self.application = build_application(
            self.blackboard, SimpleNamespace(quotas=gate), self.counters, 1_000_000
        )
        self.servers = {}
        entry = ForwardEntry(self.application, lambda name, address: name == "n2")
        self.addresses = {
            "callers": self._start(case, self.application, "callers"),
            "forwarded": self._start(case, entry, "forwarded"),
        }

    def _start(self, case, application, listener):
        sock = listen("127.0.0.1:0", False)
        server = start_server(sock, application, listener, self.counters, self.limits)
        self.servers[listener] = server
        case.addCleanup(sock.close)
        case.addCleanup(server.kill)
        return sock.getsockname()

    def close_address(self, listener):
        """Close an address, as at a planned stop."""
        self.servers[listener].close_address()

    @property
    def accepted(self):
        """Requests that endpoints would have run."""
        return self.application.accepted

    def count_held(self):
        """Return the quota tokens and places that requests still hold."""
        return TOKENS - self.quotas.get_tokens("acme") + self.blackboard.in_flight

    def connect(self, listener="callers"):
        """Return a connection to one of the addresses."""
        sock = eventlet.connect(self.addresses[listener])
        sock.settimeout(TIMEOUT_SECONDS)
        return sock

    def send(self, data, end, listener="callers"):
        """Send bytes on a new connection, end it, and wait until it was handled.

        Returns
        -------
        bytes
            What was received, empty if the connection was closed for reading, too.
        """
        sock = self.connect(listener)
        sock.sendall(data)
        received = end(sock)
        self.send_probe(listener)
        return received

    def send_probe(self, listener):
        """Send a request that is answered after all earlier ones."""
        sock = self.connect(listener)
        sock.sendall(PROBE)
        if not read_to_end(sock).endswith(b"probe"):
            raise AssertionError("the probe was not answered")


def close_all(socks):
    """Close connections and wait until the service has noticed.

    Notes
    -----
    An unfinished request is logged when its connection ends, in a later test otherwise.
    """
    for sock in socks:
        sock.close()
    eventlet.sleep(CLOSE_SECONDS)


def list_faults(logs):
    """Return the records of refused requests; other tests' threads log others."""
    number = Event.REQUEST_NOT_WHOLE.number
    return [record for record in logs.records if record.event == number]


def read_to_end(sock):
    """Return all bytes until the end of the connection, and close it."""
    received = b""
    while data := sock.recv(65536):
        received += data
    sock.close()
    return received


def end_by_close(sock):
    """Close a connection."""
    sock.close()
    return b""


def end_by_reset(sock):
    """Reset a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    return b""


def end_by_half_close(sock):
    """Close a connection's sending side; return what is received."""
    sock.shutdown(socket.SHUT_WR)
    return read_to_end(sock)


ENDS = {"close": end_by_close, "reset": end_by_reset, "half": end_by_half_close}


class IncompleteRequestCase(unittest.TestCase):
    """Connections that end after each byte of a request."""

    def setUp(self):
        self.service = CallerService(self)

    def check_cuts(self, data, cuts):
        """Check that no beginning of a request is accepted or keeps anything."""
        for listener in LISTENERS:
            for name, end in ENDS.items():
                with self.subTest(listener=listener, end=name):
                    accepted = self.list_accepted_cuts(data, cuts, end, listener)
                    self.assertEqual(accepted, [])
        self.assertEqual(self.service.count_held(), 0)

    def list_accepted_cuts(self, data, cuts, end, listener):
        """Return the positions whose request was accepted."""
        accepted = []
        for cut in cuts:
            self.service.send(data[:cut], end, listener)
            if self.service.accepted:
                accepted.append(cut)
                self.service.accepted.clear()
        return accepted


class WholeRequestCase(unittest.TestCase):
    """Whole requests on connections to both addresses."""

    def setUp(self):
        self.service = CallerService(self)

    def check(self, received, expected):
        """Check the answers on one connection, and the accepted requests."""
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), len(expected))
        self.assertEqual(received.count(b"HTTP/1.1 "), len(expected))
        accepted = [(method, body) for method, _, _, body in self.service.accepted]
        self.assertEqual(accepted, expected)
        self.service.accepted.clear()
