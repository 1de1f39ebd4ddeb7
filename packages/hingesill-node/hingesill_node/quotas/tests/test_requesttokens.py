"""Tests of the tokens of requests: who gets one, and which come back."""

import logging
import random
import time
import unittest
from bisect import bisect_left

import eventlet

from hingesill_core.organisations.organisation import Organisation
from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus, QuotaTolerance
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_node.quotas.gate import QuotaGate, compute_max_age
from hingesill_node.quotas.labels import MAX_LABELS, OTHER
from hingesill_node.quotas.quotalog import MAX_LOG_LINES_PER_SECOND
from hingesill_node.quotas.requesttokens import RequestTokens
from hingesill_node.quotas.tests.fakequotas import FakeQuotas, build_gate

ACME = Organisation("acme", rate=100.0, burst=100.0)
OTHER_ORGANISATION = Organisation("zenith", rate=100.0)
UNLIMITED = Organisation("free")


class TokenCase(unittest.TestCase):
    """A request of an organisation with one token."""

    tokens = 1

    def setUp(self):
        handler = logging.NullHandler()
        logging.getLogger("hingesill").addHandler(handler)
        self.addCleanup(logging.getLogger("hingesill").removeHandler, handler)
        self.quotas = FakeQuotas(self.tokens)
        self.suspended = 0.0
        self.gate = build_gate(self.quotas, self.read_clock)
        self.request = RequestTokens(self.gate, "r1")

    def read_clock(self):
        return time.monotonic() + self.suspended

    def count_left(self, organisation=ACME):
        return self.quotas.get_tokens(organisation.name)


class RequestTests(TokenCase):
    """Guards against arrivals without a token and tokens that are lost."""

    def test_a_token_for_each_arrival(self):
        self.assertIsNone(self.request.admit(ACME))
        self.assertEqual(self.count_left(), 0)
        is_permitted, token = self.request.use(ACME)
        self.assertTrue(is_permitted)
        self.assertIsNotNone(token)
        self.assertFalse(self.request.take(ACME))
        self.assertEqual(self.request.use(ACME), (False, None))

    def test_a_refused_request_is_told_when_to_return(self):
        RequestTokens(self.gate, "r0").admit(ACME)
        with self.assertLogs("hingesill", "WARNING") as logs:
            refusal = self.request.admit(ACME)
        self.assertIs(refusal.reason, RefusalReason.QUOTA_EXCEEDED)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(refusal.retry_after, 0.25)
        line = logs.records[0]
        self.assertEqual((line.event, line.request), (6006, "r1"))
        self.assertEqual((line.organisation, line.rate), ("acme", 100.0))

    def test_an_unused_token_comes_back_once(self):
        self.request.admit(ACME)
        self.request.close()
        self.request.close()
        self.assertEqual(self.count_left(), 1)
        self.assertFalse(self.request.take(ACME), "a closed request gets no token")

    def test_the_token_of_a_send_that_did_not_run_serves_the_next_send(self):
        self.request.admit(ACME)
        _, token = self.request.use(ACME)
        self.request.recover(token)
        self.assertTrue(self.request.is_ready(ACME))
        self.assertEqual(self.request.use(ACME), (True, token))
        self.request.close()
        self.assertEqual(self.count_left(), 0)

    def test_the_token_of_a_send_that_ends_after_the_request_comes_back(self):
        self.request.admit(ACME)
        _, token = self.request.use(ACME)
        self.request.close()
        self.request.recover(token)
        self.assertEqual(self.count_left(), 1)

    def test_an_organisation_without_a_quota_needs_no_token(self):
        self.assertIsNone(self.request.admit(UNLIMITED))
        self.assertEqual(self.request.use(UNLIMITED), (True, None))
        self.assertEqual(self.quotas.tokens, {})

    def test_a_key_that_moves_to_another_organisation(self):
        self.request.admit(ACME)
        self.assertFalse(self.request.is_ready(OTHER_ORGANISATION))
        _, token = self.request.use(OTHER_ORGANISATION)
        self.assertEqual(token.organisation, "zenith")
        self.assertEqual(self.count_left(), 1)
        self.assertEqual(self.count_left(OTHER_ORGANISATION), 0)

    def test_a_key_that_moves_to_an_organisation_without_a_quota(self):
        self.request.admit(ACME)
        self.assertEqual(self.request.use(UNLIMITED), (True, None))
        self.request.close()
        self.assertEqual(self.count_left(), 1)


class ExpiryTests(TokenCase):
    """Guards against tokens of a long time that arrive at endpoints in a short one."""

    tokens = 2

    def test_a_token_that_was_held_for_too_long_is_replaced(self):
        self.request.admit(ACME)
        self.suspended = self.gate.get_max_age(ACME) + 0.1
        self.assertFalse(self.request.is_ready(ACME))
        self.assertTrue(self.request.use(ACME)[0])
        self.assertEqual(self.count_left(), 0)

    def test_a_token_comes_back_while_its_request_waits_for_an_endpoint(self):
        self.gate.held_tolerance = QuotaTolerance(5.0, 0.0, 0.0)
        self.request.admit(ACME)
        self.assertEqual(self.count_left(), 1)
        eventlet.sleep(0.13)
        self.assertEqual(self.count_left(), 2)
        self.assertTrue(self.request.use(ACME)[0])
        self.assertEqual(self.count_left(), 1)

    def test_held_tokens_fit_into_their_part_of_the_tolerance(self):
        part = QuotaTolerance(5.0, 0.04, 8.0)
        for rate, burst in ((1.0, 0.0), (164.0, 164.0), (5000.0, 0.0)):
            organisation = Organisation("acme", rate=rate, burst=burst)
            extra = rate * compute_max_age(part, organisation)
            self.assertLessEqual(extra, 0.04 * (5 * rate + burst) + 8.0 + 1e-6)
        self.assertGreater(compute_max_age(QuotaTolerance(5.0, 0.0, 0.0), ACME), 0.02)


class ReleaseTests(unittest.TestCase):
    """Guards against requests that waited for capacity and are sent together."""

    def setUp(self):
        handler = logging.NullHandler()
        logging.getLogger("hingesill").addHandler(handler)
        self.addCleanup(logging.getLogger("hingesill").removeHandler, handler)
        self.now = 100.0
        self.gate = QuotaGate(random.Random(1), QuotaTolerance(), lambda: self.now)
        self.gate.quotas.set_nodes(("10.0.0.1", 7200), (), self.now)
        self.gate.configure({"acme": ACME})
        self.sent = []
        for _ in range(500):
            # A coordinator that has just started grants a small part of the rate.
            self.tick()

    def send(self, request):
        if request.use(ACME)[0]:
            self.sent.append(self.now)
        request.close()

    def tick(self):
        self.now += 0.01
        self.gate.quotas.run_round(self.now)
        self.gate.expire_tokens()

    def run_with_waits(self, is_due):
        """Send requests that wait for 1 s, longer than tokens may be held.

        Parameters
        ----------
        is_due : callable
            Returns the number of new requests in a step of 0.01 s.
        """
        held = []
        for step in range(2000):
            self.tick()
            for _ in range(is_due(step)):
                request = RequestTokens(self.gate, "r")
                if request.admit(ACME) is None:
                    held.append((self.now, request))
            while held and self.now - held[0][0] >= 1.0:
                self.send(held.pop(0)[1])

    def test_requests_inside_the_quota_that_wait(self):
        self.run_with_waits(lambda step: step % 10 < 9)
        self.assertGreater(len(self.sent), 0.99 * 90 * 19)

    def test_requests_beyond_the_quota_that_wait(self):
        """New requests take each token that is given back."""
        self.run_with_waits(lambda step: 3)
        self.assertGreater(len(self.sent), 0.95 * 100 * 19)

    def test_arrivals_of_a_window(self):
        """Requests within the rate wait for 2 s, then three times as many do not."""
        held = []
        for step in range(1700):
            self.tick()
            is_free = step >= 1000
            for _ in range(3 if is_free else 1):
                request = RequestTokens(self.gate, "r")
                if request.admit(ACME) is None:
                    held.append((self.now, request))
            while held and (is_free or self.now - held[0][0] >= 2.0):
                self.send(held.pop(0)[1])
        counts = [
            bisect_left(self.sent, at + 5.0) - first
            for first, at in enumerate(self.sent)
        ]
        self.assertLessEqual(max(counts), (5 * 100 + 100) * 1.1 + 20)


class WaitTests(TokenCase):
    """Guards against waits over 20 ms, and tokens for requests that left."""

    tokens = 0

    def setUp(self):
        super().setUp()
        self.quotas.waits = True

    def decide(self, status):
        self.quotas.decisions.append(QuotaDecision(status, 0.125))
        self.gate.resume("acme")

    def test_decisions_that_arrive_in_time(self):
        for status, expected in (
            (QuotaStatus.ADMITTED, True),
            (QuotaStatus.REFUSED, False),
        ):
            request = RequestTokens(self.gate, "r1")
            waiting = eventlet.spawn(request.admit, ACME)
            eventlet.sleep(0.002)
            self.assertEqual(self.gate.count_waiting(), 1)
            self.decide(status)
            refusal = waiting.wait()
            self.assertEqual(refusal is None, expected)
        self.assertEqual(refusal.retry_after, 0.125)

    def test_a_decision_that_does_not_arrive(self):
        started = time.monotonic()
        self.assertIsNotNone(self.request.admit(ACME))
        self.assertLess(time.monotonic() - started, 0.035)
        self.assertEqual(self.gate.count_waiting(), 0)
        self.decide(QuotaStatus.ADMITTED)
        self.assertEqual(self.count_left(), 1)

    def test_further_sends_do_not_wait(self):
        started = time.monotonic()
        self.assertFalse(self.request.take(ACME))
        self.assertLess(time.monotonic() - started, 0.005)
        self.decide(QuotaStatus.ADMITTED)
        self.assertEqual(self.count_left(), 1)


class BoundTests(TokenCase):
    """Guards against log lines and labels without bound."""

    tokens = 0

    def test_log_lines(self):
        self.gate.log.clock = lambda: 7.0
        with self.assertLogs("hingesill", "WARNING") as logs:
            for _ in range(MAX_LOG_LINES_PER_SECOND + 30):
                self.request.admit(ACME)
            self.gate.log.clock = lambda: 8.0
            self.request.admit(ACME)
        self.assertEqual(len(logs.records), MAX_LOG_LINES_PER_SECOND + 1)
        self.assertEqual(logs.records[-1].lines_left_out, 30)

    def test_labels(self):
        names = [f"o{number:02}" for number in range(40)]
        organisations = {
            name: Organisation(name, rate=1.0 + number)
            for number, name in enumerate(names)
        }
        self.gate.configure(organisations)
        self.quotas.initial = 1
        for name in names:
            self.gate.acquire(name, may_wait=False)
        counts = self.gate.labels.counters.list_counts("quota")
        self.assertEqual(len(counts), MAX_LABELS + 1)
        self.assertIn((OTHER, "admitted", 20), counts)
        self.gate.configure({"o00": organisations["o00"]})
        counts = self.gate.labels.counters.list_counts("quota")
        self.assertEqual(counts, [(OTHER, "admitted", 40)])


if __name__ == "__main__":
    unittest.main()
