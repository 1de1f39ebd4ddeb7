"""Tests of requests that wait for an endpoint's word."""

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
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import Send, SendResult, SendStatus, Ticket
from hingesill_node.datapath.hedges import AskedHedge
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


class RoomTestCase(unittest.TestCase):
    def setUp(self):
        self.runner = build_runner()
        self.room = self.runner.get_room(OwnFormat(), Counters())
        now = self.runner.clock()
        self.ticket = Ticket(ROUTE, now, now + 2.0)
        body = Body(b"", 0)
        self.request = CallerRequest("r1", "GET", "/a/", [], body, self.ticket)

    def report(self, running):
        return LoadReport(running, self.runner.clock(), 0, 3)


class AnsweringConnection:
    """Brings one answer to a question."""

    address = "127.0.0.1:1"

    def __init__(self, status, headers):
        self.response = EndpointResponse(None, "GET")
        self.response.status = status
        self.response.headers = headers
        self.response.complete = True

    def set_time_limit(self, seconds):
        pass

    collect = flush = endheaders = lambda self: None
    begin = putheader = lambda self, name, value: None

    def read_head(self):
        return self.response


class AnsweringPool:
    """Gives one connection; its answer may name another endpoint, or none."""

    born = 0

    def __init__(self, connection):
        self.connection = connection

    def take(self):
        return self.connection

    def discard(self, connection):
        pass


class RefusedQuestionTests(RoomTestCase):
    """A question that is refused as a request would be."""

    def ask(self, **answer):
        self.room.wire.is_answer_of = lambda response, endpoint: False
        self.room.wire.is_unsigned = lambda response: not answer
        connection = AnsweringConnection(503, [("Retry-After", "3")])
        self.room._ask_one("i1", AnsweringPool(connection))
        return self.runner.dispatcher.states["i1"]

    def test_its_rest_counts_though_it_does_not_name_the_endpoint(self):
        state = self.ask()
        self.assertTrue(state.availability.is_backing_off(self.runner.clock()))
        self.assertEqual(state.reach.consecutive, 0)

    def test_that_of_another_endpoint_does_not(self):
        state = self.ask(named="i2")
        self.assertFalse(state.availability.is_backing_off(self.runner.clock()))
        self.assertEqual(state.reach.consecutive, 1)


class WaitingRoomTests(RoomTestCase):
    def wait(self):
        self.runner.dispatcher.submit(self.ticket, self.runner.clock())
        waiting = eventlet.spawn(self.room.wait, self.request, LoadQuery(()))
        eventlet.sleep(0)
        return waiting

    def end_send(self, running):
        other = Ticket(ROUTE, 0.0, 9.0)
        state = self.runner.dispatcher.states["i1"]
        now = self.runner.clock()
        send = self.runner.dispatcher.start_send(other, state, now)
        result = SendResult(SendStatus.ANSWERED, self.report(running))
        self.runner.settle(send, result)

    def test_the_slot_that_an_answer_frees_goes_to_who_waits(self):
        waiting = self.wait()
        self.end_send(running=1)
        with eventlet.Timeout(1.0):
            found = waiting.wait()
        self.assertIsInstance(found.decision, Send)
        self.assertEqual(found.decision.endpoint, "i1")
        self.assertIs(found.decision.ticket, self.ticket)

    def test_an_endpoint_that_is_still_full_gets_nobody(self):
        waiting = self.wait()
        self.end_send(running=3)
        eventlet.sleep(0.01)
        self.assertFalse(waiting.dead)
        self.assertEqual(self.runner.dispatcher.states["i1"].in_flight, 0)
        waiting.kill()

    def test_without_anybody_waiting_nothing_is_begun(self):
        self.end_send(running=0)
        self.assertEqual(self.runner.dispatcher.states["i1"].in_flight, 0)

    def test_who_is_withdrawn_gets_nothing(self):
        waiting = self.wait()
        self.room.withdraw(self.ticket)
        with eventlet.Timeout(1.0):
            self.assertIsNone(waiting.wait().decision)
        self.assertFalse(self.runner.dispatcher.binding.waiting)


class RecordingSends:
    """What a hedge uses of an exchange's sends."""

    def __init__(self, started):
        self.started = started

    def start(self, send, connection):
        self.started.append(send.endpoint)


class HedgeTests(RoomTestCase):
    """A hedge whose answer is no longer wanted leaves nothing behind."""

    def setUp(self):
        super().setUp()
        self.started = []
        self.hedge = AskedHedge(self, self.room)
        self.sends = RecordingSends(self.started)
        self.dispatcher = self.runner.dispatcher
        self.dispatcher.retries.tokens = 3.0

    def start(self):
        ask = self.dispatcher.hedging.start(self.ticket, self.runner.clock())
        self.assertIsInstance(ask, LoadQuery)
        thread = eventlet.spawn(self.hedge.run, LoadQuery(()))
        eventlet.sleep(0)
        return thread

    def test_it_is_sent_where_a_slot_is_free(self):
        thread = self.start()
        self.room.offer("i2", self.report(0))
        thread.wait()
        self.assertEqual(self.started, ["i2"])

    def test_withdrawn_while_it_waits(self):
        thread = self.start()
        self.hedge.withdraw()
        thread.wait()
        self.assertEqual(self.started, [])
        self.assertEqual(self.dispatcher.retries.tokens, 3.0)

    def test_withdrawn_just_after_it_was_given_an_endpoint(self):
        thread = self.start()
        self.room.offer("i2", self.report(0))
        self.hedge.withdraw()
        thread.wait()
        self.assertEqual(self.started, [])
        self.assertEqual(self.dispatcher.states["i2"].in_flight, 0)
