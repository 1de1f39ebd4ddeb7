"""Tests that a soak seed passes and that its checkers detect violated rules."""

import socket
import unittest
from collections import Counter

from demo.load import Call
from soak.incompletecaller import check_incomplete
from soak.main import run_seed
from soak.organisations import KEYS, NO_KEY, UNKNOWN, check_keys
from soak.pipelining import AnswerReader, SentRequest, check_sent, read_answers

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Faults: endpoint cut, silent and slow; store delayed; node killed.
SEED = 1


# A violated rule is detected only if a response is lost at the right moment, which no
# seed determines: this fault loses many responses, and several seeds are tried.
RESPONSE_FAULTS = ["answers spoiled"]
SEEDS = range(1, 6)


def is_detected(mutation):
    """Return whether one of the seeds detects a mutation."""
    return any(
        run_seed(
            seed, mutation, RESPONSE_FAULTS, is_calm_judged=False, has_stops=False
        ).violations
        for seed in SEEDS
    )


def list_violations(mutation, is_calm_judged=False):
    """Return the texts of the violations of a mutation in one seed."""
    finding = run_seed(SEED, mutation, RESPONSE_FAULTS, is_calm_judged, has_stops=False)
    return [violation.what for violation in finding.violations]


class SoakTests(unittest.TestCase):
    def test_seed_without_violations(self):
        finding = run_seed(SEED)
        self.assertEqual(finding.violations, [])
        self.assertGreater(finding.calls, 100)

    def test_repeated_move_is_detected(self):
        self.assertTrue(is_detected("repeats moves"))

    def test_false_not_run_is_detected(self):
        self.assertTrue(is_detected("lies about not run"))


class IncompleteCheckTests(unittest.TestCase):
    """Guards against a soak that overlooks incomplete requests that ran."""

    def test_an_incomplete_request_that_ran(self):
        found = check_incomplete(["a", "b"], Counter({"b": 1, "c": 2}))
        self.assertEqual([violation.place for violation in found], ["b"])


class PipelinedCheckTests(unittest.TestCase):
    """Guards against lost requests that are missed, and abandoned ones that count."""

    def check(self, received, closes=True):
        """Return the violations of two requests that both ran."""
        node, caller = socket.socketpair()
        self.addCleanup(node.close)
        self.addCleanup(caller.close)
        caller.settimeout(0.01)
        node.sendall(received)
        if closes:
            node.close()
        requests = [SentRequest(request_id, "n1", 0.0) for request_id in "ab"]
        read_answers(AnswerReader(caller, False), requests)
        violations = check_sent(requests, Counter("ab"))
        return [violation.place for violation in violations]

    def test_requests_whose_connection_ended(self):
        self.assertEqual(self.check(b""), ["a", "b"])
        self.assertEqual(self.check(ANSWER), ["b"])

    def test_answered_requests(self):
        self.assertEqual(self.check(2 * ANSWER), [])

    def test_requests_behind_one_that_the_caller_gave_up(self):
        self.assertEqual(self.check(b"", closes=False), [])


class KeyCheckTests(unittest.TestCase):
    """Guards against a soak that overlooks requests under a wrong organisation."""

    def check(self, key, status=200, ran=()):
        outcome = "answered" if status == 200 else "not-run"
        call = Call("a", True, outcome, "", True, 0.1, status, key=key)
        requests = [("a", organisation, header, 1.0) for organisation, header in ran]
        return [violation.place for violation in check_keys([call], requests)]

    def test_requests_under_the_organisation_of_their_key(self):
        for name, key in KEYS.items():
            self.assertEqual(self.check(key, ran=[(name, "")]), [])
            self.assertEqual(self.check(key, status=503), [])

    def test_requests_without_a_valid_key(self):
        for key in (UNKNOWN, NO_KEY):
            self.assertEqual(self.check(key, status=401), [])
            self.assertEqual(self.check(key, status=401, ran=[("", "")]), ["a"])
            self.assertEqual(self.check(key, status=503, ran=[("steady", "")]), ["a"])
            self.assertEqual(self.check(key, status=200), ["a"])

    def test_a_wrong_organisation(self):
        for organisation in ("greedy", "", "steady,greedy"):
            ran = [(organisation, "")]
            self.assertEqual(self.check(KEYS["steady"], ran=ran), ["a"])

    def test_a_second_run_under_another_organisation(self):
        ran = [("steady", ""), ("greedy", "")]
        self.assertEqual(self.check(KEYS["steady"], ran=ran), ["a"])

    def test_an_endpoint_that_gets_the_key(self):
        ran = [("steady", "Bearer x")]
        self.assertEqual(self.check(KEYS["steady"], ran=ran), ["a"])

    def test_a_valid_key_that_is_refused(self):
        self.assertEqual(self.check(KEYS["steady"], status=401), ["a"])


class OrganisationTests(unittest.TestCase):
    """Guards against a soak that real nodes pass whatever they do with keys."""

    def assert_detected(self, mutation, *texts, is_calm_judged=False):
        violations = list_violations(mutation, is_calm_judged)
        for text in texts:
            self.assertTrue(any(text in what for what in violations), violations[:5])

    def test_requests_beyond_the_quota(self):
        self.assert_detected("ignores quotas", "ran within 5 s")

    def test_refusals_inside_the_quota(self):
        text = "got 429 without a fault"
        self.assert_detected("refuses inside quotas", text, is_calm_judged=True)

    def test_requests_without_a_valid_key(self):
        """Before and after the removal of an organisation."""
        texts = ("ran without a valid key", "after 'leaving' left")
        self.assert_detected("ignores keys", *texts, is_calm_judged=True)

    def test_refusals_of_valid_keys(self):
        self.assert_detected("refuses valid keys", "got 401 with the key")

    def test_keys_that_reach_endpoints(self):
        self.assert_detected("passes keys on", "with its key in the endpoint's request")
