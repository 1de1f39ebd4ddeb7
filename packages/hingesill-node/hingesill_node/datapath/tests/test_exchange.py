"""Tests of an exchange: hedges, back-offs and cancelled sends."""

import unittest
from unittest.mock import patch

from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.availability import RequestedBackoff
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import (
    Refusal,
    RetryDenied,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_node.datapath import sends as sends_module
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.messages import Body, CallerRequest, LiveSend
from hingesill_node.datapath.requesttimeline import describe_status
from hingesill_node.datapath.responses import EndpointResponse
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters


class RecordingPool:
    """Pool with one connection that records discarded connections."""

    def __init__(self):
        self.discarded = []

    def acquire(self, request_id=None):
        return "connection"

    def discard(self, connection):
        self.discarded.append(connection)


class RecordingConnection:
    """Connection that records the targets written to it."""

    def __init__(self):
        self.written = []

    def set_time_limit(self, seconds):
        pass

    def collect(self):
        pass

    def begin(self, method, target, request_id):
        self.written.append(target)
        raise ConnectionResetError


class BackoffPool:
    """Pool whose endpoint requests a back-off during `take`, in another answer."""

    born = 0

    def __init__(self, runner):
        self.runner = runner
        self.connection = RecordingConnection()
        self.returned = []

    def acquire(self, request_id=None):
        dispatcher = self.runner.dispatcher
        now = self.runner.clock()
        dispatcher.service_availability.record(
            "i1", 0, RequestedBackoff(3.0), False, now
        )
        return self.connection

    def release(self, connection, idle_seconds=None):
        self.returned.append(connection)

    def discard(self, connection):
        pass


class OverdueSendTests(unittest.TestCase):
    """A send that gets no answer before the caller's deadline."""

    def setUp(self):
        self.runner = build_runner()
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 0.8)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, request, Counters(), OwnFormat())
        send = Send(self.ticket, "i1", now, 0.1)
        self.live = LiveSend(send, None)
        self.exchange.sends.live_sends = [self.live]

    def test_a_denied_hedge_is_tried_again(self):
        attempts = []

        def deny(ticket, now):
            attempts.append(now)
            return RetryDenied(RetryReason.DENIED_NO_ENDPOINT)

        hedging = self.runner.dispatcher.hedging
        hedging.start = deny
        hedging.get_hedge_delay = lambda send: 0.1
        self.assertIs(self.exchange._await_first(self.live), SendStatus.LATE)
        self.assertGreaterEqual(len(attempts), 2)
        self.assertLessEqual(len(attempts), 4)

    def test_a_hedge_over_the_send_limit_is_tried_once(self):
        attempts = []
        hedging = self.runner.dispatcher.hedging
        hedging.get_hedge_delay = lambda send: 0.1
        self.ticket.sends = ROUTE.most_sends
        start = hedging.start
        hedging.start = lambda *values: attempts.append(values) or start(*values)
        self.exchange._await_first(self.live)
        self.assertEqual(len(attempts), 1)

    def test_outcome_is_unknown_while_a_send_is_in_flight(self):
        self.assertIs(self.exchange.sends.get_outcome(), Outcome.UNKNOWN)
        self.live.settled = True
        self.assertIs(self.exchange.sends.get_outcome(), Outcome.NOT_RUN)


class BackoffWhileConnectingTests(unittest.TestCase):
    """An endpoint requests a back-off while a send waits for its connection."""

    def setUp(self):
        self.runner = build_runner()
        self.pool = self.runner.pools["i1"] = BackoffPool(self.runner)
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, request, Counters(), OwnFormat())
        state = self.runner.dispatcher.states["i1"]
        send = self.runner.dispatcher.start_send(self.ticket, state, now)
        self.status = self.exchange.sends.start(send)

    def test_the_request_is_not_written(self):
        self.assertIs(self.status, SendStatus.NOT_SENT)
        self.assertEqual(self.pool.connection.written, [])
        self.assertEqual(self.pool.returned, [self.pool.connection])

    def test_it_has_not_run_and_is_not_counted_as_a_send(self):
        self.assertFalse(self.ticket.exposed)
        self.assertEqual(self.ticket.sends, 0)

    def test_the_next_send_uses_no_retry_budget(self):
        self.runner.dispatcher.retries.tokens = 0.0
        now = self.runner.clock()
        retry = self.runner.dispatcher.retry(self.ticket, SendStatus.NOT_SENT, now)
        self.assertIsInstance(retry[0], LoadQuery)
        self.assertEqual(self.runner.dispatcher.retries.tokens, 0.0)


class KeyRemovedWhileConnectingTests(unittest.TestCase):
    """Guards against a request that is written after its key was removed.

    The key was checked before the connection was opened, which may take long.
    """

    def setUp(self):
        self.runner = build_runner()
        self.pool = self.runner.pools["i1"] = BackoffPool(self.runner)
        self.pool.acquire = lambda request_id: self.pool.connection
        now = self.runner.clock()
        ticket = Ticket(ROUTE, now, now + 2.0, may_retry=False)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), ticket)
        self.refusals = [None]
        self.exchange = Exchange(
            self.runner, request, Counters(), OwnFormat(), authenticator=self
        )
        state = self.runner.dispatcher.states["i1"]
        self.send = self.runner.dispatcher.start_send(ticket, state, now)

    def check_again(self, request):
        """Return no refusal before the connection is opened, and one after it."""
        if self.refusals:
            return self.refusals.pop()
        return Refusal(RefusalReason.UNAUTHENTICATED, Outcome.NOT_RUN)

    def test_the_request_is_refused_and_not_written(self):
        outcome = self.exchange._execute_send(self.send)
        self.assertIs(outcome.reason, RefusalReason.UNAUTHENTICATED)
        self.assertIs(outcome.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.pool.connection.written, [])
        self.assertEqual(self.runner.dispatcher.states["i1"].in_flight, 0)


class LoadQueryDuringBackoffTests(unittest.TestCase):
    def test_the_load_query_is_not_written(self):
        runner = build_runner()
        pool = BackoffPool(runner)
        runner.get_query_client(OwnFormat(), Counters())._query_endpoint("i1", pool)
        self.assertEqual(pool.connection.written, [])
        self.assertEqual(pool.returned, [pool.connection])


class StepTests(unittest.TestCase):
    def test_send_status_is_described_with_its_retry_after(self):
        response = EndpointResponse(None, "GET")
        self.assertEqual(describe_status(SendStatus.REFUSED, response), "refused")
        response.headers = HeaderFields([("retry-after", "3")])
        described = describe_status(SendStatus.REFUSED, response)
        self.assertEqual(described, "refused retry-after 3")
        self.assertEqual(describe_status(SendStatus.LOST, None), "lost")


class SettledSendTests(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner()
        self.pool = self.runner.pools["i1"] = RecordingPool()
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, request, Counters(), OwnFormat())

    def start(self, settle_before_connecting):
        """Start a send during which the exchange cancels all its sends."""

        def connect(live, *_):
            if settle_before_connecting:
                self.exchange._cancel_all()
            live.connection = live.pool.acquire()

        def send_request(live, *_):
            self.exchange._cancel_all()

        send = Send(self.ticket, "i1", self.ticket.arrived, 0.1)
        with (
            patch.object(sends_module, "connect", connect),
            patch.object(sends_module, "send_request", send_request),
        ):
            return self.exchange.sends.start(send)

    def test_a_connection_opened_after_cancellation_is_closed(self):
        live = self.start(settle_before_connecting=True)
        self.assertEqual(self.pool.discarded, ["connection"])
        self.assertIsNone(live.connection)

    def test_a_cancelled_send_closes_its_connection_once(self):
        self.start(settle_before_connecting=False)
        self.assertEqual(self.pool.discarded, ["connection"])

    def test_an_unsettled_send_keeps_its_connection(self):
        send = Send(self.ticket, "i1", self.ticket.arrived, 0.1)
        with patch.object(sends_module, "send_request", lambda live, *_: None):
            live = self.exchange.sends.start(send)
        self.assertFalse(live.settled)
        self.assertEqual(self.pool.discarded, [])
        self.exchange.sends.end(live, SendResult(SendStatus.CANCELLED))
