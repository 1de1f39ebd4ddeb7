"""Tests of endpoints that send answers again, or bytes that belong to no request."""

import unittest

import eventlet
from msgspec.structs import replace

from hingesill_core.reasons import Outcome
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY
from hingesill_core.routing.messages import Refusal
from hingesill_node.datapath.messages import Answer
from hingesill_node.datapath.tests.surplusendpoint import (
    MOVES,
    AnswerFormat,
    SurplusScene,
)
from hingesill_node.datapath.wire import OwnFormat

POLICIES = ("least_in_flight_of_two", FRESH_REPORT_POLICY)
REPEATED_SENDS = 3


class SurplusAnswerChecks:
    """Checks for the endpoints of one dialect.

    Attributes
    ----------
    answers : AnswerFormat
        How the endpoints answer.
    wire : OwnFormat
        The dialect.
    statuses : tuple of int
        Statuses with which they refuse.
    """

    answers = None
    wire = None
    statuses = (503,)

    def build(self, script, **options):
        return SurplusScene(self, script, self.answers, self.wire, **options)

    def send(self, scene, request_id):
        return scene.send(request_id, self.list_headers(request_id))

    def list_headers(self, request_id):
        return []

    def check_truth(self, scene, result, request_id="r1"):
        """Check that a request ran as its result says."""
        runs = scene.endpoint.runs[request_id]
        if isinstance(result, Refusal):
            self.assertIs(result.outcome, Outcome.NOT_RUN)
            self.assertEqual(runs, 0, "refused as not run, but ran")
            return
        self.assertIsInstance(result, Answer)
        self.assertEqual((result.status, runs), (200, 1))

    def test_a_refusal_that_comes_again_before_the_retry_is_run(self):
        """Guards against moves that are refused as not run, but run."""
        for policy in POLICIES:
            for status in self.statuses:
                with self.subTest(policy=policy, status=status):
                    scene = self.build("refusal-repeated", policy=policy, status=status)
                    result = self.send(scene, "r1")
                    self.check_truth(scene, result)
                    self.assertEqual(scene.endpoint.find_repeated(), [])

    def test_a_third_send(self):
        """Guards against moves that run twice after a refusal that comes again."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                route = replace(MOVES, most_sends=REPEATED_SENDS)
                scene = self.build("refusal-repeated", policy=policy, route=route)
                self.check_truth(scene, self.send(scene, "r1"))

    def test_a_refusal_that_comes_again_before_a_load_reply(self):
        """Guards against load replies that are lost to a copy of a refusal."""
        scene = self.build("refusal-before-reply", policy=FRESH_REPORT_POLICY)
        self.check_truth(scene, self.send(scene, "r1"))
        health = scene.runner.dispatcher.states["i1"].query_health
        self.assertEqual(health.consecutive, 0)

    def test_a_fault_that_comes_again_before_the_retry_is_run(self):
        """Guards against reads that get the fault of an earlier send."""
        route = replace(MOVES, repeatable=True)
        scene = self.build("fault-repeated", route=route)
        self.check_truth(scene, self.send(scene, "r1"))

    def test_refusals_that_come_again_before_other_requests(self):
        """Guards against refusals that are taken for those of other requests."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                route = replace(MOVES, most_sends=1)
                scene = self.build("copy-for-next", policy=policy, route=route)
                for number in range(6):
                    result = self.send(scene, f"r{number}")
                    self.check_truth(scene, result, f"r{number}")

    def test_the_same_id_from_the_caller_again(self):
        """Guards against a caller's, or a node's, second request with one id."""
        route = replace(MOVES, most_sends=1)
        scene = self.build("refusal-repeated", route=route)
        first = self.send(scene, "r1")
        self.assertIs(first.outcome, Outcome.NOT_RUN)
        self.check_truth(scene, self.send(scene, "r1"))

    def test_a_pool_without_room_for_another_connection(self):
        """Guards against refusals for want of a connection that others do not need."""
        scene = self.build("refusal-repeated")
        scene.pool.limit = 1
        result = self.send(scene, "r1")
        self.check_truth(scene, result)
        self.assertEqual(scene.pool.open_count, 1)
        self.assertIsInstance(result, Answer)

    def test_an_answer_on_the_first_send_is_the_endpoints_own(self):
        """Guards against refusals of an endpoint that are not believed."""
        route = replace(MOVES, most_sends=1)
        for policy in POLICIES:
            scene = self.build("refusal-repeated", route=route, policy=policy)
            for number in range(4):
                result = self.send(scene, f"r{number}")
                self.assertIs(result.outcome, Outcome.NOT_RUN)
            self.assertEqual(scene.endpoint.runs.total(), 0)
            self.assertEqual(len(scene.endpoint.connections), 1)


class NamedAnswerTests(SurplusAnswerChecks, unittest.TestCase):
    """Endpoints that put the ids of requests into their answers."""

    answers = AnswerFormat(
        "Hingesill-Request-Id",
        ("Hingesill-Outcome", "not-run"),
        ("Hingesill-Running", "0"),
    )
    wire = OwnFormat()


class UnnamedAnswerTests(unittest.TestCase):
    """Endpoints that do not put the ids of requests into their answers."""

    answers = replace(NamedAnswerTests.answers, names_requests=False)

    def test_a_connection_that_carried_a_refusal_is_closed(self):
        """Guards against copies of refusals that nothing tells from others."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                scene = SurplusScene(
                    self, "refusal-repeated", self.answers, OwnFormat(), policy=policy
                )
                result = scene.send("r1")
                self.assertIsInstance(result, Answer)
                self.assertEqual(scene.endpoint.find_repeated(), [])
                eventlet.sleep(0)
                self.assertEqual(scene.pool.open_count, 1)


if __name__ == "__main__":
    unittest.main()
