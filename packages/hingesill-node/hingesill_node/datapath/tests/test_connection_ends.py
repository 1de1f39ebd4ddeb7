"""Tests of the ends of callers' connections."""

import random
import socket
import unittest
from unittest import mock

import eventlet
from eventlet.event import Event as GreenEvent

from hingesill_node.blackboard import Phase
from hingesill_node.datapath import callerprotocol, connectionstate
from hingesill_node.datapath.connectionstate import ConnectionState
from hingesill_node.datapath.messages import Answer
from hingesill_node.datapath.tests.callerservice import (
    CHUNKED_HEAD,
    GET,
    LISTENERS,
    LONG_BODY,
    LONG_HEAD,
    POST,
    AcceptingApplication,
    CallerService,
    end_by_reset,
)
from hingesill_node.datapath.waits import receive

SEED = 68
RECEIVE_BUFFER_BYTES = 8 * 1024
READ_BYTES = 4 * 1024
TIMEOUT_SECONDS = 5.0
UNROUTED = b"/none/"


class GatedApplication(AcceptingApplication):
    """Answers with a body of a given size once its gate is open."""

    size = 400

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.begun = GreenEvent()
        self.gate = GreenEvent()

    def _exchange(self, environ, start_response, request):
        if request.target == "/p/probe":
            return super()._exchange(environ, start_response, request)
        self.accepted.append(request.target)
        if not self.begun.ready():
            self.begun.send()
        self.gate.wait()
        answer = Answer(200, "OK", [], b"x" * self.size)
        return self._forward_answer(environ, start_response, request, None, answer)


def read_slowly(sock):
    """Return what a caller with a slow reader receives; raises at a reset."""
    sock.settimeout(TIMEOUT_SECONDS)
    received = b""
    while data := receive(sock, READ_BYTES):
        received += data
        eventlet.sleep(0.0005)
    return received


def split_answers(received):
    """Return head and body of each answer, whose bodies must be whole."""
    answers = []
    while received:
        head, _, rest = received.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(rest) < length:
            raise AssertionError(f"{len(rest)} of {length} bytes of a body")
        answers.append((head, rest[:length]))
        received = rest[length:]
    return answers


class ConnectionEndCase(unittest.TestCase):
    """A service whose requests are answered when a test opens the gate."""

    def setUp(self):
        self.rng = random.Random(SEED)
        self.start()

    def start(self):
        self.service = CallerService(self, GatedApplication)
        self.application = self.service.application

    def connect(self, listener="callers"):
        """Return a connection with a narrow receive buffer."""
        sock = eventlet.green.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(self.service.addresses[listener])
        self.addCleanup(sock.close)
        return sock

    def stop(self):
        """Begin the planned stop."""
        self.service.blackboard.phase = Phase.STOPPING
        for server in self.service.servers.values():
            server.begin_stop()

    def get_ends(self):
        """Return the counted ends of callers' connections."""
        counts = self.service.counters.list_counts("connections")
        return {end: amount for name, end, amount in counts if name == "callers"}

    def wait_for_ends(self, **expected):
        """Wait until exactly these ends are counted."""
        expected = {name.replace("_", "-"): n for name, n in expected.items()}
        with eventlet.Timeout(TIMEOUT_SECONDS, AssertionError(self.get_ends())):
            while self.get_ends() != expected:
                eventlet.sleep(0.005)

    def check_answers(self, received, count):
        """Check whole answers, of which only the last one closes the connection."""
        answers = split_answers(received)
        self.assertEqual([len(body) for _, body in answers], [self.size] * count)
        closing = [b"\r\nConnection: close" in head for head, _ in answers]
        self.assertEqual(closing, [False] * (count - 1) + [True])

    @property
    def size(self):
        """Bytes of an answer."""
        return self.application.size


class PipelinedRequestTests(ConnectionEndCase):
    """Guards against answers that are cut because requests lie unread behind them."""

    def send_first(self):
        """Send a request and wait until it is being served; return the connection."""
        sock = self.connect()
        sock.sendall(GET)
        self.application.begun.wait()
        return sock

    def test_long_answers_at_a_stop_while_requests_arrive(self):
        for _ in range(5):
            self.start()
            pipelined = self.rng.randint(1, 3)
            self.application.size = self.rng.choice((3_000, 60_000, 300_000))
            sock = self.send_first()
            sock.sendall(GET * pipelined)
            self.stop()
            self.application.gate.send()
            self.check_answers(read_slowly(sock), 1 + pipelined)

    def test_requests_that_arrive_after_the_address_is_closed(self):
        for size in (400, 3_000, 60_000, 300_000):
            self.start()
            self.application.size = size
            sock = self.send_first()
            self.stop()
            self.service.close_address("callers")
            sock.sendall(GET * self.rng.randint(1, 3))
            self.application.gate.send()
            self.check_answers(read_slowly(sock), 1)
            self.assertEqual(len(self.service.accepted), 1)
            sock.close()
            self.wait_for_ends(unread=1)

    def test_requests_that_were_read_with_an_earlier_one(self):
        for pipelined in (1, 3):
            self.start()
            sock = self.connect()
            sock.sendall(GET * (1 + pipelined))
            self.application.begun.wait()
            self.stop()
            self.service.close_address("callers")
            self.application.gate.send()
            self.check_answers(read_slowly(sock), 1 + pipelined)

    def test_requests_that_were_read_with_one_that_caused_an_internal_error(self):
        self.application.gate.send()
        identify = self.application.authenticator.identify
        calls = mock.Mock(side_effect=[RuntimeError("a fault"), identify])
        with mock.patch.object(
            self.application.authenticator,
            "identify",
            lambda *arguments: calls()(*arguments),
        ):
            sock = self.connect()
            sock.sendall(POST + GET.replace(b"Host", b"Connection: close\r\nHost"))
            answers = split_answers(read_slowly(sock))
        self.assertIn(b" 500 ", answers[0][0])
        self.assertEqual([len(body) for _, body in answers[1:]], [self.size])

    def test_an_empty_line_after_a_body_is_no_request(self):
        sock = self.connect()
        sock.sendall(POST + b"\r\n")
        self.application.begun.wait()
        self.stop()
        self.application.gate.send()
        self.check_answers(read_slowly(sock), 1)

    def test_a_caller_that_never_stops_pipelining(self):
        sock = self.send_first()
        self.stop()
        sock.sendall(GET * 2)
        self.application.gate.send()
        eventlet.sleep(0.05)
        self.service.close_address("callers")
        sock.sendall(GET * 5)
        received = read_slowly(sock)
        self.check_answers(received, len(self.service.accepted))

    def test_a_caller_that_has_closed_its_sending_side(self):
        self.application.size = 300_000
        sock = self.send_first()
        sock.sendall(GET * 2)
        sock.shutdown(socket.SHUT_WR)
        self.stop()
        self.service.close_address("callers")
        self.application.gate.send()
        self.check_answers(read_slowly(sock), 1)

    def test_a_body_is_not_read_beyond_its_end(self):
        self.stop()
        sock = self.connect()
        sock.sendall(POST[:-5])
        self.service.close_address("callers")
        eventlet.sleep(0.02)
        sock.sendall(POST[-5:] + GET)
        self.application.begun.wait()
        self.application.gate.send()
        self.check_answers(read_slowly(sock), 1)

    def test_a_caller_that_never_reads_or_closes_ends_within_the_bound(self):
        with mock.patch.object(callerprotocol, "CLOSING_SECONDS", 0.1):
            self.application.size = 3_000_000
            sock = self.send_first()
            self.service.servers["callers"].socket_timeout = 0.1
            sock.sendall(GET)
            self.stop()
            self.service.close_address("callers")
            self.application.gate.send()
            with self.assertLogs("hingesill", "WARNING") as logs:
                self.wait_for_ends(cut=1)
        (record,) = [record for record in logs.records if record.event == 6009]
        self.assertEqual(record.listener, "callers")
        self.assertGreater(record.unsent_bytes, 0)

    def test_callers_that_never_close_cost_few_checks(self):
        sock = self.send_first()
        self.stop()
        self.service.close_address("callers")
        sock.sendall(GET)
        with mock.patch.object(
            ConnectionState, "_poll", autospec=True, side_effect=ConnectionState._poll
        ) as poll:
            self.application.gate.send()
            eventlet.sleep(1.0)
        self.assertLess(poll.call_count, 12)


class ClosedAddressTests(ConnectionEndCase):
    """Guards against requests that run without an answer when the address is closed."""

    def check_served(self, sock):
        self.application.gate.send()
        self.check_answers(read_slowly(sock), 1)
        self.assertEqual(len(self.service.accepted), 1)

    def test_a_request_that_waits_for_its_green_thread(self):
        sock = self.connect()
        eventlet.sleep(0.05)
        self.stop()
        sock.sendall(GET)  # No other green thread runs until the address is closed.
        self.service.close_address("callers")
        self.check_served(sock)

    def test_a_connection_that_is_not_accepted_yet(self):
        eventlet.sleep(0.01)
        self.stop()
        sock = socket.create_connection(self.service.addresses["callers"])
        sock.sendall(GET)
        self.service.close_address("callers")
        self.check_served(eventlet.greenio.GreenSocket(sock))

    def test_a_request_that_arrives_when_idle_connections_are_closed(self):
        sock = self.connect()
        eventlet.sleep(0.05)
        self.stop()
        server = self.service.servers["callers"]
        server.close_address()
        server.close_idle()
        sock.sendall(GET)  # The connection has been chosen, but not closed.
        self.check_served(sock)

    def test_a_request_after_the_close_does_not_run(self):
        sock = self.connect()
        eventlet.sleep(0.05)
        server = self.service.servers["callers"]
        server.close_address()
        server.close_idle()
        self.wait_for_ends(idle=1)
        with self.assertRaises(OSError):
            sock.sendall(POST)
            if not receive(sock, READ_BYTES):
                raise ConnectionResetError
        self.assertEqual(self.service.accepted, [])

    def test_an_answer_that_began_before_the_stop(self):
        self.application.size = 300_000
        sock = self.connect()
        sock.sendall(GET)
        self.application.gate.send()
        while self.service.blackboard.in_flight or not self.service.accepted:
            eventlet.sleep(0)
        sock.sendall(GET)
        self.stop()
        self.service.close_address("callers")
        received = read_slowly(sock)
        self.check_answers(received, len(self.service.accepted))

    def test_idle_timeout(self):
        with mock.patch.object(self.service.servers["callers"], "keepalive", 0.05):
            sock = self.connect()
            self.assertEqual(read_slowly(sock), b"")
        self.wait_for_ends(idle=1)

    def test_a_request_that_arrives_at_the_idle_timeout(self):
        def time_out(sockets, seconds, wake=None):
            sock.sendall(GET)

        self.stop()
        with mock.patch.object(connectionstate, "wait_any", time_out):
            sock = self.connect()
            eventlet.sleep(0.05)
        self.check_served(sock)


class EarlyAnswerTests(ConnectionEndCase):
    """Guards against early answers that are lost while the caller still sends."""

    def check_early_answer(self, head, data, status, listener="callers"):
        """Send a request slowly; check that its early answer arrives, without reset."""
        sock = self.connect(listener)
        sock.sendall(head)
        for start in range(0, len(data), 16_000):
            sock.sendall(data[start : start + 16_000])
            eventlet.sleep(0.002)
        sock.shutdown(socket.SHUT_WR)
        received = read_slowly(sock)
        self.assertTrue(received.startswith(b"HTTP/1.1 " + status), received[:99])
        return received

    def test_bodies_without_a_route(self):
        chunk = b"%x\r\n%s\r\n" % (len(LONG_BODY), LONG_BODY)
        for is_stopping in (False, True):
            self.start()
            if is_stopping:
                self.stop()
            for listener in LISTENERS:
                for head, data in (
                    (LONG_HEAD, LONG_BODY),
                    (CHUNKED_HEAD, 2 * chunk + b"0\r\n\r\n"),
                ):
                    with self.subTest(listener=listener, stopping=is_stopping):
                        head = head.replace(b" /a/", b" " + UNROUTED)
                        expected = b"503" if is_stopping else b"404"
                        if listener == "callers":
                            expected = b"404"
                        self.check_early_answer(head, data, expected, listener)

    def test_a_body_beyond_the_limit(self):
        head = LONG_HEAD.replace(b"%d" % len(LONG_BODY), b"2000000")
        received = self.check_early_answer(head, LONG_BODY * 3, b"413")
        self.assertIn(b"\r\nConnection: close", received)

    def test_malformed_requests(self):
        for data in (b"GET\x00 / HTTP/1.1\r\n\r\n", b"POST / HTTP/1.1\r\nA\r\n\r\n"):
            self.check_early_answer(data, LONG_BODY * 2, b"400")

    def test_too_long_heads(self):
        for head in (
            b"GET /" + b"a" * 70_000,
            GET[:-2] + b"B: " + b"b" * 70_000,
        ):
            sock = self.connect()
            sock.sendall(head)
            eventlet.sleep(0.01)
            sock.sendall(LONG_BODY)
            sock.shutdown(socket.SHUT_WR)
            self.assertIn(b"HTTP/1.", read_slowly(sock)[:20])

    def test_a_caller_that_never_stops_sending(self):
        head = LONG_HEAD.replace(b"%d" % len(LONG_BODY), b"2000000000")
        with mock.patch.object(callerprotocol, "CLOSING_SECONDS", 0.1):
            sock = self.connect()
            sock.sendall(head)
            with self.assertRaises(OSError), eventlet.Timeout(TIMEOUT_SECONDS):
                while True:
                    sock.sendall(LONG_BODY)


class RecordedEndTests(ConnectionEndCase):
    """Guards against ends of connections that operators cannot tell apart."""

    def test_each_end_is_counted(self):
        self.application.gate.send()
        sock = self.connect()
        sock.sendall(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        self.assertTrue(read_slowly(sock))
        sock.close()
        self.wait_for_ends(answered=1)
        self.connect().close()
        self.wait_for_ends(answered=1, caller=1)
        self.application.size = 3_000_000
        sock = self.connect()
        sock.sendall(GET)
        while len(self.service.accepted) < 2:
            eventlet.sleep(0)
        eventlet.sleep(0.05)
        end_by_reset(sock)
        self.wait_for_ends(answered=1, caller=1, caller_left=1)

    def test_unread_requests_are_logged(self):
        sock = self.connect()
        sock.sendall(GET)
        self.application.begun.wait()
        self.stop()
        self.service.close_address("callers")
        sock.sendall(GET)
        self.application.gate.send()
        with self.assertLogs("hingesill", "INFO") as logs:
            read_slowly(sock)
            sock.close()
            self.wait_for_ends(unread=1)
        self.assertIn(6008, [record.event for record in logs.records])

    def test_connections_at_the_end_of_the_process(self):
        idle = self.connect()
        sock = self.connect()
        sock.sendall(GET)
        self.application.begun.wait()
        eventlet.sleep(0.05)
        with self.assertLogs("hingesill", "WARNING") as logs:
            self.service.servers["callers"].record_process_end()
        (record,) = logs.records
        self.assertEqual((record.event, record.serving, record.waiting), (1012, 1, 1))
        self.assertEqual(self.get_ends(), {"process-end": 2})
        idle.close()
