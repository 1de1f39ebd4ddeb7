"""Tests of an exchange whose sends are settled while they begin."""

import unittest
from unittest.mock import patch

from hingesill_core.reasons import Outcome, RetryReason
from hingesill_core.routing.availability import RequestedBackoff
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import (
    RetryDenied,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_node.datapath import sends as sends_module
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.messages import Body, CallerRequest, LiveSend
from hingesill_node.datapath.responses import EndpointResponse
from hingesill_node.datapath.story import describe_end
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters


class RecordingPool:
    """Gives one connection and counts what comes back."""

    def __init__(self):
        self.discarded = []

    def take(self):
        return "connection"

    def discard(self, connection):
        self.discarded.append(connection)


class RecordingConnection:
    """Keeps what is written to it."""

    def __init__(self):
        self.written = []

    def set_time_limit(self, seconds):
        pass

    def collect(self):
        pass

    def begin(self, method, target):
        self.written.append(target)
        raise ConnectionResetError


class AskedForRestPool:
    """While it connects, the endpoint asks for a rest in another answer."""

    born = 0

    def __init__(self, runner):
        self.runner = runner
        self.connection = RecordingConnection()
        self.kept = []

    def take(self):
        dispatcher = self.runner.dispatcher
        now = self.runner.clock()
        dispatcher.service_availability.note("i1", 0, RequestedBackoff(3.0), False, now)
        return self.connection

    def give_back(self, connection, idle_seconds=None):
        self.kept.append(connection)

    def discard(self, connection):
        pass


class OverdueSendTests(unittest.TestCase):
    """A send that gets no answer until its caller's time is over."""

    def setUp(self):
        self.runner = build_runner()
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 0.8)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, request, Counters(), OwnFormat())
        send = Send(self.ticket, "i1", now, 0.1)
        self.live = LiveSend(send, None)
        self.exchange.sends.lives = [self.live]

    def test_a_hedge_that_was_denied_is_tried_again(self):
        tries = []

        def deny(ticket, now):
            tries.append(now)
            return RetryDenied(RetryReason.DENIED_NO_ENDPOINT)

        hedging = self.runner.dispatcher.hedging
        hedging.start = deny
        hedging.get_overdue_time = lambda send: 0.1
        self.assertIs(self.exchange._await_first(self.live), SendStatus.LATE)
        self.assertGreaterEqual(len(tries), 2)
        self.assertLessEqual(len(tries), 4)

    def test_one_that_no_rule_allows_is_not(self):
        tries = []
        hedging = self.runner.dispatcher.hedging
        hedging.get_overdue_time = lambda send: 0.1
        self.ticket.sends = ROUTE.most_sends
        start = hedging.start
        hedging.start = lambda *values: tries.append(values) or start(*values)
        self.exchange._await_first(self.live)
        self.assertEqual(len(tries), 1)

    def test_what_is_under_way_may_have_run(self):
        self.assertIs(self.exchange.sends.get_outcome(), Outcome.UNKNOWN)
        self.live.settled = True
        self.assertIs(self.exchange.sends.get_outcome(), Outcome.NOT_RUN)


class LateWordTests(unittest.TestCase):
    """An endpoint asks for a rest while a send waits for its connection."""

    def setUp(self):
        self.runner = build_runner()
        self.pool = self.runner.pools["i1"] = AskedForRestPool(self.runner)
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, request, Counters(), OwnFormat())
        state = self.runner.dispatcher.states["i1"]
        send = self.runner.dispatcher.start_send(self.ticket, state, now)
        self.end = self.exchange.sends.start(send)

    def test_a_request_to_an_endpoint_that_asked_for_a_rest_meanwhile(self):
        self.assertIs(self.end, SendStatus.NOT_SENT)
        self.assertEqual(self.pool.connection.written, [])
        self.assertEqual(self.pool.kept, [self.pool.connection])

    def test_it_has_not_run_and_counts_as_no_send(self):
        self.assertFalse(self.ticket.exposed)
        self.assertEqual(self.ticket.sends, 0)

    def test_it_goes_elsewhere_without_a_retry_of_the_budget(self):
        self.runner.dispatcher.retries.tokens = 0.0
        now = self.runner.clock()
        retry = self.runner.dispatcher.retry(self.ticket, SendStatus.NOT_SENT, now)
        self.assertIsInstance(retry[0], LoadQuery)
        self.assertEqual(self.runner.dispatcher.retries.tokens, 0.0)


class LateWordToAQuestionTests(unittest.TestCase):
    def test_a_question_to_an_endpoint_that_asked_for_a_rest_meanwhile(self):
        runner = build_runner()
        pool = AskedForRestPool(runner)
        runner.get_room(OwnFormat(), Counters())._ask_one("i1", pool)
        self.assertEqual(pool.connection.written, [])
        self.assertEqual(pool.kept, [pool.connection])


class StepTests(unittest.TestCase):
    def test_an_end_is_told_with_the_rest_that_its_answer_asks_for(self):
        response = EndpointResponse(None, "GET")
        self.assertEqual(describe_end(SendStatus.REFUSED, response), "refused")
        response.headers = [("retry-after", "3")]
        told = describe_end(SendStatus.REFUSED, response)
        self.assertEqual(told, "refused retry-after 3")
        self.assertEqual(describe_end(SendStatus.LOST, None), "lost")


class SettledSendTests(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner()
        self.pool = self.runner.pools["i1"] = RecordingPool()
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        request = CallerRequest("r1", "GET", "/a/", [], Body(b"", 0), self.ticket)
        self.exchange = Exchange(self.runner, request, Counters(), OwnFormat())

    def start(self, settle_before_connecting):
        """Start a send during which the exchange ends all its sends."""

        def connect(live):
            if settle_before_connecting:
                self.exchange._cancel_all()
            live.connection = live.pool.take()

        def send_request(live, *_):
            self.exchange._cancel_all()

        send = Send(self.ticket, "i1", self.ticket.arrived, 0.1)
        with (
            patch.object(sends_module, "connect", connect),
            patch.object(sends_module, "send_request", send_request),
        ):
            return self.exchange.sends.start(send)

    def test_a_connection_that_came_too_late_is_closed(self):
        live = self.start(settle_before_connecting=True)
        self.assertEqual(self.pool.discarded, ["connection"])
        self.assertIsNone(live.connection)

    def test_a_connection_that_was_closed_already_is_closed_once(self):
        self.start(settle_before_connecting=False)
        self.assertEqual(self.pool.discarded, ["connection"])

    def test_a_send_that_goes_on_keeps_its_connection(self):
        send = Send(self.ticket, "i1", self.ticket.arrived, 0.1)
        with patch.object(sends_module, "send_request", lambda live, *_: None):
            live = self.exchange.sends.start(send)
        self.assertFalse(live.settled)
        self.assertEqual(self.pool.discarded, [])
        self.exchange.sends.end(live, SendResult(SendStatus.CANCELLED))
