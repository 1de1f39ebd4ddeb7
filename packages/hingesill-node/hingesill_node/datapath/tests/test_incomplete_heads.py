"""Tests of requests whose head ends early, and of whole heads."""

from unittest.mock import patch

import eventlet

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath import server
from hingesill_node.datapath.requestfaultlog import (
    MAX_LOG_LINES_PER_SECOND,
    RequestFaultLog,
)
from hingesill_node.datapath.requests import RequestFault
from hingesill_node.datapath.tests.callerservice import (
    BODY,
    CHUNKED_HEAD,
    ENDS,
    GET,
    LENGTH_FIRST_HEAD,
    LISTENERS,
    LONG_HEAD,
    POST,
    POST_HEAD,
    CallerService,
    IncompleteRequestCase,
    WholeRequestCase,
    end_by_half_close,
    end_by_reset,
    list_faults,
    read_to_end,
)


class IncompleteHeadTests(IncompleteRequestCase):
    """Guards against requests that run without the rest of their headers."""

    def check_head(self, head):
        self.check_cuts(head, range(1, len(head)))

    def test_a_get(self):
        self.check_head(GET)

    def test_a_length_after_other_headers(self):
        self.check_head(POST_HEAD)

    def test_a_length_before_other_headers(self):
        self.check_head(LENGTH_FIRST_HEAD)

    def test_a_body_in_chunks(self):
        self.check_head(CHUNKED_HEAD)

    def test_a_long_body(self):
        self.check_head(LONG_HEAD)


class IncompleteHeadRecordTests(IncompleteRequestCase):
    """Guards against incomplete heads that operators and callers cannot see."""

    def count(self, reason="incomplete-request"):
        return self.service.counters.counts["refusals", "", reason]

    def test_counter_event_and_answer(self):
        with self.assertLogs("hingesill", "WARNING") as logs:
            received = self.service.send(POST_HEAD[:99], end_by_half_close, "forwarded")
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
        self.assertIn(b"\r\nHingesill-Outcome: not-run\r\n", received)
        self.assertIn(b"\r\nHingesill-Reason: incomplete-request\r\n", received)
        (record,) = list_faults(logs)
        self.assertEqual(
            (record.event, record.part, record.listener, record.reason),
            (6007, "head", "forwarded", "incomplete-request"),
        )
        self.assertEqual(record.caller, "127.0.0.1")
        self.assertIn(" 99 bytes", record.detail)
        self.assertEqual(self.count(), 1)

    def test_the_log_is_bounded(self):
        fault = RequestFault(RefusalReason.INCOMPLETE_REQUEST, "cut")
        now = [1.0]
        log = RequestFaultLog("callers", lambda: now[0])
        for _ in range(2):
            with self.assertLogs("hingesill", "WARNING") as logs:
                for _ in range(MAX_LOG_LINES_PER_SECOND + 10):
                    log.write("head", fault, "127.0.0.1")
            self.assertEqual(len(list_faults(logs)), MAX_LOG_LINES_PER_SECOND)
            now[0] += 1.0

    def test_each_way_to_end_is_counted(self):
        for end in ENDS.values():
            self.service.send(GET[:50], end)
        self.assertEqual(self.count(), len(ENDS))

    def test_malformed_heads_are_counted_apart(self):
        received = self.service.send(b"GET\x00 / HTTP/1.1\r\n\r\n", end_by_half_close)
        self.assertIn(b"\r\nHingesill-Reason: bad-framing\r\n", received)
        self.assertEqual((self.count(), self.count("bad-framing")), (0, 1))

    def test_silence_within_a_head(self):
        for data in (GET[:5], GET[:60]):
            with (
                patch.object(server, "KEEP_ALIVE_SECONDS", 0.05),
                patch.object(server, "SOCKET_TIMEOUT_SECONDS", 0.05),
            ):
                service = CallerService(self)
                sock = service.connect()
                sock.sendall(data)
                received = read_to_end(sock)
            self.assertIn(b"incomplete-request", received)
            counted = service.counters.counts["refusals", "", "incomplete-request"]
            self.assertEqual((counted, service.accepted), (1, []))

    def test_connections_without_a_request_are_not_counted(self):
        with patch.object(server, "KEEP_ALIVE_SECONDS", 0.05):
            service = CallerService(self)
            self.assertEqual(read_to_end(service.connect()), b"")
            for end in ENDS.values():
                service.send(b"", end)
        names = {name for name, *_ in service.counters.counts}
        self.assertEqual(names, {"connections"})


class WholeHeadTests(WholeRequestCase):
    """Guards against whole requests that are refused as incomplete."""

    def test_a_caller_that_closes_its_sending_side(self):
        for listener in LISTENERS:
            for data, expected in ((GET, ("GET", b"")), (POST, ("POST", BODY))):
                received = self.service.send(data, end_by_half_close, listener)
                self.check(received, [expected])

    def test_a_caller_that_resets_its_connection_after_the_request(self):
        self.service.send(POST, end_by_reset)
        self.assertEqual([body for *_, body in self.service.accepted], [BODY])

    def test_a_head_in_many_segments(self):
        for listener in LISTENERS:
            sock = self.service.connect(listener)
            for index in range(len(POST)):
                sock.sendall(POST[index : index + 1])
                eventlet.sleep(0)
            received = end_by_half_close(sock)
            self.check(received, [("POST", BODY)])

    def test_bytes_after_a_request(self):
        for listener in LISTENERS:
            data = POST + GET + POST
            received = self.service.send(data, end_by_half_close, listener)
            self.check(received, [("POST", BODY), ("GET", b""), ("POST", BODY)])

    def test_an_incomplete_request_after_a_whole_one(self):
        for listener in LISTENERS:
            sock = self.service.connect(listener)
            sock.sendall(GET + POST_HEAD[:80])
            received = end_by_half_close(sock)
            self.assertIn(b"\r\nHingesill-Reason: incomplete-request\r\n", received)
            self.check(received.replace(b"HTTP/1.1 400", b""), [("GET", b"")])

    def test_empty_lines_before_a_request(self):
        received = self.service.send(b"\r\n\r\n" + GET, end_by_half_close)
        self.check(received, [("GET", b"")])
