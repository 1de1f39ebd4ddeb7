"""Tests of requests that wait for a load reply."""

import random
import time
import unittest

import eventlet

from hingesill_core.configuration.services import (
    Endpoint,
    ProbeBudget,
    Route,
    SendBudget,
    Service,
)
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendResult,
    SendStatus,
    Ticket,
)
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.hedges import QueryingHedge
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.responses import EndpointResponse
from hingesill_node.datapath.runner import ServiceRunner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.counters import Counters

ROUTE = Route("arena", "", "/a/", True, True, 2.0, target=0.25, most_sends=2)


class NoAnnouncements:
    is_connected = False

    def announce_drain(self, endpoint):
        pass


def build_runner(born=0, clock=time.monotonic):
    service = build_service(born)
    fleet = FleetView("a", 4, 8)
    rng = random.Random(1)
    return ServiceRunner(service, fleet, rng, NoAnnouncements(), clock=clock)


def build_service(born=0):
    endpoints = tuple(
        Endpoint(f"127.0.0.1:{n}", "a", 3, 100, f"i{n}", born=born) for n in range(1, 4)
    )
    probes = ProbeBudget(100.0, 10.0, 1.0, 0.001, "/health")
    sends = SendBudget(0.0, 0.5, 40.0)
    return Service("arena", "fresh_report", endpoints, (ROUTE,), probes, sends, 16, 0)


class QueryClientTestCase(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner()
        self.query_client = self.runner.get_query_client(OwnFormat(), Counters())
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        body = Body(b"", 0)
        self.request = CallerRequest("r1", "GET", "/a/", [], body, self.ticket)

    def report(self, running):
        return LoadReport(running, self.runner.clock(), 0, 3)


class AnsweringConnection:
    """Connection that returns one answer to a load query."""

    address = "127.0.0.1:1"

    def __init__(self, status, headers):
        self.response = EndpointResponse(None, "GET")
        self.response.status = status
        self.response.headers = HeaderFields(headers)
        self.response.complete = True

    def set_time_limit(self, seconds):
        pass

    collect = flush = endheaders = lambda self: None
    begin = putheader = lambda self, name, value: None

    def read_head(self, is_own, seconds):
        return self.response


class AnsweringPool:
    """Pool with one connection, whose answer may name another endpoint or none."""

    born = 0

    def __init__(self, connection):
        self.connection = connection

    def acquire(self):
        return self.connection

    def discard(self, connection):
        pass


class RefusedLoadQueryTests(QueryClientTestCase):
    """A load query that is refused like a request."""

    def query(self, **answer):
        self.query_client.wire.is_answer_of = lambda response, endpoint: False
        self.query_client.wire.is_unsigned = lambda response: not answer
        connection = AnsweringConnection(503, [("Retry-After", "3")])
        self.query_client._query_endpoint("i1", AnsweringPool(connection))
        return self.runner.dispatcher.states["i1"]

    def test_unsigned_refusal_starts_a_backoff(self):
        state = self.query()
        self.assertTrue(state.availability.is_backing_off(self.runner.clock()))
        self.assertEqual(state.query_health.consecutive, 0)

    def test_refusal_of_another_endpoint_starts_no_backoff(self):
        state = self.query(named="i2")
        self.assertFalse(state.availability.is_backing_off(self.runner.clock()))
        self.assertEqual(state.query_health.consecutive, 1)


class LoadQueryClientTests(QueryClientTestCase):
    def wait(self):
        self.runner.dispatcher.submit(self.ticket, self.runner.clock())
        waiting = eventlet.spawn(self.query_client.wait, self.request, LoadQuery(()))
        eventlet.sleep(0)
        return waiting

    def end_send(self, running):
        other = Ticket(ROUTE, 0.0, 9.0)
        state = self.runner.dispatcher.states["i1"]
        now = self.runner.clock()
        send = self.runner.dispatcher.start_send(other, state, now)
        result = SendResult(SendStatus.ANSWERED, self.report(running))
        self.runner.settle(send, result)

    def test_a_freed_slot_goes_to_the_waiting_request(self):
        waiting = self.wait()
        self.end_send(running=1)
        with eventlet.Timeout(1.0):
            result = waiting.wait()
        self.assertIsInstance(result.decision, Send)
        self.assertEqual(result.decision.endpoint, "i1")
        self.assertIs(result.decision.ticket, self.ticket)

    def test_a_full_endpoint_gets_no_request(self):
        waiting = self.wait()
        self.end_send(running=3)
        eventlet.sleep(0.01)
        self.assertFalse(waiting.dead)
        self.assertEqual(self.runner.dispatcher.states["i1"].in_flight, 0)
        waiting.kill()

    def test_no_send_starts_without_a_waiting_request(self):
        self.end_send(running=0)
        self.assertEqual(self.runner.dispatcher.states["i1"].in_flight, 0)

    def test_a_cancelled_request_gets_no_endpoint(self):
        waiting = self.wait()
        self.query_client.cancel(self.ticket)
        with eventlet.Timeout(1.0):
            self.assertIsNone(waiting.wait().decision)
        self.assertFalse(self.runner.dispatcher.binding.waiting)


class RecordingSends:
    """Stand-in for an exchange's sends that records the endpoints."""

    def __init__(self, started):
        self.started = started

    def start(self, send, connection):
        self.started.append(send.endpoint)


class HedgeTests(QueryClientTestCase):
    """A hedge is sent to a free endpoint; a cancelled one keeps no token or slot."""

    def setUp(self):
        super().setUp()
        self.started = []
        self.hedge = QueryingHedge(self, self.query_client)
        self.sends = RecordingSends(self.started)
        self.dispatcher = self.runner.dispatcher
        self.dispatcher.retries.tokens = 3.0
        self.key_refusal = None

    def check_key(self):
        return self.key_refusal

    def start(self):
        query = self.dispatcher.hedging.start(self.ticket, self.runner.clock())
        self.assertIsInstance(query, LoadQuery)
        thread = eventlet.spawn(self.hedge.run, LoadQuery(()))
        eventlet.sleep(0)
        return thread

    def test_it_is_sent_to_a_free_endpoint(self):
        thread = self.start()
        self.query_client.offer("i2", self.report(0))
        thread.wait()
        self.assertEqual(self.started, ["i2"])

    def test_it_is_not_sent_if_the_key_was_removed_meanwhile(self):
        thread = self.start()
        self.key_refusal = Refusal(RefusalReason.UNAUTHENTICATED, Outcome.UNKNOWN)
        self.query_client.offer("i2", self.report(0))
        thread.wait()
        self.assertEqual(self.started, [])
        self.assertEqual(self.dispatcher.states["i2"].in_flight, 0)

    def test_cancelled_while_it_waits(self):
        thread = self.start()
        self.hedge.cancel()
        thread.wait()
        self.assertEqual(self.started, [])
        self.assertEqual(self.dispatcher.retries.tokens, 3.0)

    def test_cancelled_after_an_endpoint_was_assigned(self):
        thread = self.start()
        self.query_client.offer("i2", self.report(0))
        self.hedge.cancel()
        thread.wait()
        self.assertEqual(self.started, [])
        self.assertEqual(self.dispatcher.states["i2"].in_flight, 0)
