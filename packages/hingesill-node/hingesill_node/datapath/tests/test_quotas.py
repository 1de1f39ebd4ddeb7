"""Tests of requests under a quota on their way to endpoints."""

import logging
import unittest
from unittest.mock import patch

from hingesill_core.organisations.organisation import Organisation
from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus
from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
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
from hingesill_node.datapath.messages import Answer, Body, CallerRequest
from hingesill_node.datapath.refusals import build_refusal_answer
from hingesill_node.datapath.tests.test_loadqueries import ROUTE, build_runner
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.quotas.requesttokens import RequestTokens
from hingesill_node.quotas.tests.fakequotas import FakeQuotas, build_gate
from hingesill_node.telemetry.counters import Counters

ACME = Organisation("acme", rate=100.0)
ZENITH = Organisation("zenith", rate=100.0)


class Pool:
    """Pool with connections that are only names."""

    born = 0
    address = "127.0.0.1:1"

    def acquire(self, request_id=None):
        return "connection"

    def release(self, connection, idle_seconds=None):
        pass

    def discard(self, connection):
        pass


class KeyCheck:
    """An Authenticator whose organisation changes when the test says so."""

    organisation = ACME

    def check_again(self, request):
        request.ticket.organisation = self.organisation


class QuotaCase(unittest.TestCase):
    """An accepted request of an organisation with two tokens."""

    tokens = 2

    def setUp(self):
        handler = logging.NullHandler()
        logging.getLogger("hingesill").addHandler(handler)
        self.addCleanup(logging.getLogger("hingesill").removeHandler, handler)
        self.runner = build_runner()
        for name in self.runner.pools:
            self.runner.pools[name] = Pool()
        now = self.runner.clock()
        self.quotas = FakeQuotas(self.tokens)
        gate = build_gate(self.quotas, self.runner.clock)
        self.ticket = Ticket(ROUTE, now, now + 2.0, organisation=ACME)
        self.held = RequestTokens(gate, "r1")
        self.held.admit(ACME)
        self.request = CallerRequest(
            "r1", "GET", "/a/", [], Body(b"", 0), self.ticket, tokens=self.held
        )
        self.keys = KeyCheck()
        self.exchange = Exchange(
            self.runner,
            self.request,
            Counters(),
            OwnFormat(),
            authenticator=self.keys,
        )
        self.written = []
        writer = patch.object(
            sends_module, "send_request", lambda live, *_: self.written.append(live)
        )
        writer.start()
        self.addCleanup(writer.stop)

    def assign(self, endpoint="i1"):
        state = self.runner.dispatcher.states[endpoint]
        return self.runner.dispatcher.start_send(
            self.ticket, state, self.runner.clock()
        )

    def send(self, endpoint="i1"):
        return self.exchange.sends.start(self.assign(endpoint))

    def end(self, live, status):
        """End a send and return the decision that follows."""
        self.exchange.sends.end(live, SendResult(status))
        return self.exchange._decide_after(status)

    def count_used(self):
        self.held.close()
        return self.tokens - self.quotas.get_tokens("acme")


class TokenOfSendTests(QuotaCase):
    """Guards against tokens that are charged for requests that did not run."""

    def test_only_sends_that_may_have_run_use_a_token(self):
        for status, used in (
            (SendStatus.ANSWERED, 1),
            (SendStatus.FAULT, 1),
            (SendStatus.LOST, 1),
            (SendStatus.LATE, 1),
            (SendStatus.CANCELLED, 1),
            (SendStatus.REFUSED, 0),
            (SendStatus.CONNECT_FAILED, 0),
            (SendStatus.NOT_SENT, 0),
        ):
            with self.subTest(status):
                self.setUp()
                self.exchange.sends.end(self.send(), SendResult(status))
                self.assertEqual(self.count_used(), used)

    def test_a_retry_after_a_refusal_of_the_endpoint_needs_no_second_token(self):
        self.quotas.tokens["acme"] = 0
        self.runner.dispatcher.retries.tokens = 1.0
        decision = self.end(self.send(), SendStatus.REFUSED)
        self.assertIsInstance(decision, LoadQuery)
        self.assertTrue(self.held.is_ready(ACME))

    def test_a_retry_after_a_lost_answer_needs_a_second_token(self):
        self.end(self.send(), SendStatus.LOST)
        self.exchange.sends.end(self.send("i2"), SendResult(SendStatus.ANSWERED))
        self.assertEqual(self.count_used(), 2)


class NoTokenTests(QuotaCase):
    """Guards against arrivals beyond the quota, and a 429 for what may have run."""

    tokens = 1

    def test_a_request_that_may_have_run_ends_as_without_a_retry_budget(self):
        refusal = self.end(self.send(), SendStatus.LOST)
        self.assertIs(refusal.reason, RefusalReason.ANSWER_LOST)
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertTrue(build_refusal_answer(refusal, "r1").status.startswith("502"))
        counts = self.exchange.counters.counts
        denied = RetryReason.DENIED_QUOTA.value
        self.assertEqual(counts[("retries", "arena", denied)], 1)

    def test_the_answer_of_an_endpoint_with_a_fault_is_passed_on(self):
        answer = Answer(500, "Error", [], b"")
        outcomes = [SendStatus.FAULT]

        def execute(send):
            self.ticket.exposed = True
            self.exchange.fault_answer = answer
            return outcomes.pop()

        self.held.use(ACME)
        self.exchange._execute_send = execute
        self.runner.dispatcher.submit = lambda ticket, now: Send(ticket, "i1", now, 0.1)
        self.assertIs(self.exchange.run(), answer)

    def test_there_is_no_hedge(self):
        live = self.send()
        hedging = self.runner.dispatcher.hedging
        with patch.object(hedging, "start") as start:
            self.exchange._start_hedge()
        start.assert_not_called()
        self.assertEqual(self.exchange.sends.list_in_flight(), [live])

    def test_a_denied_hedge_gives_its_token_back(self):
        self.send()
        self.quotas.tokens["acme"] = 1
        denial = RetryDenied(RetryReason.DENIED_BUDGET)
        with patch.object(self.runner.dispatcher.hedging, "start", return_value=denial):
            self.exchange._start_hedge()
        self.assertEqual(self.quotas.get_tokens("acme"), 1)


class ChangeTests(QuotaCase):
    """Guards against sends on the token of another organisation."""

    tokens = 1

    def execute(self):
        """Execute the first send up to its write."""
        with patch.object(self.exchange, "_await_first", lambda live: live):
            return self.exchange._execute_send(self.assign())

    def test_the_key_moved_while_the_request_waited(self):
        self.keys.organisation = ZENITH
        live = self.execute()
        self.assertEqual(live.token.organisation, "zenith")
        self.assertEqual(self.count_used(), 0)
        self.assertEqual(self.quotas.get_tokens("zenith"), 0)

    def test_the_new_organisation_is_beyond_its_quota(self):
        self.keys.organisation = ZENITH
        self.quotas.tokens["zenith"] = 0
        refusal = self.execute()
        self.assertIs(refusal.reason, RefusalReason.QUOTA_EXCEEDED)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.written, [])
        self.assertEqual(self.count_used(), 0)

    def test_the_key_is_looked_up_again_after_the_wait_for_a_token(self):
        self.keys.organisation = ZENITH
        self.quotas.tokens["zenith"] = 0
        self.quotas.waits = True
        self.quotas.decisions.append(QuotaDecision(QuotaStatus.ADMITTED))
        admit = self.quotas.resume

        def resume(name, now):
            self.keys.organisation = ACME
            return admit(name, now)

        with patch.object(self.quotas, "resume", resume):
            live = self.execute()
        self.assertEqual(live.token.organisation, "acme")
        self.assertEqual(self.quotas.get_tokens("zenith"), 1)

    def test_the_key_moves_while_the_connection_opens(self):
        def connect(live, *_):
            live.connection = live.pool.acquire()
            self.keys.organisation = ZENITH

        self.quotas.tokens["zenith"] = 0
        with patch.object(sends_module, "connect", connect):
            self.assertIs(self.execute(), SendStatus.NOT_SENT)
        self.assertEqual(self.written, [])


if __name__ == "__main__":
    unittest.main()
