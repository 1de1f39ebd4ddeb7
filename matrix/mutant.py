"""Nodes with one rule disabled, to verify that each checker can fail.

``python -m matrix.mutant NAME --flags`` runs a node whose code is patched by the
mutation of that name. Used by tests only.
"""

import json
import random
import sys

import eventlet
import fire

from hingesill_core.configuration.changelog import Accepted, ChangeLog
from hingesill_core.probing import proberate
from hingesill_core.probing.probeshare import ProbeShare
from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.registry import Registry
from hingesill_core.retries import decision
from hingesill_core.routing import dispatcher
from hingesill_core.routing.endpoint_state import EndpointState
from hingesill_core.routing.messages import Refusal
from hingesill_node.datapath import prober
from hingesill_node.datapath.authentication import Authenticator, Identity
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.messages import Answer
from hingesill_node.lifecycle import Lifecycle
from hingesill_node.main import serve
from hingesill_node.quotas.gate import QuotaGate

__all__ = ["MUTATIONS"]

MUTATIONS = Registry("mutation")
PROBE_INTERVAL_SECONDS = 0.02
REFUSED_SHARE = 0.2


@MUTATIONS.register("repeats moves")
def repeat_moves():
    """Retry a request whether or not it may be repeated."""
    decision.find_denial = lambda ticket, end, now, p10: (
        None if ticket.sends < 3 else decision.RetryReason.DENIED_BUDGET
    )


@MUTATIONS.register("lies about not run")
def lie_not_run():
    """Never record that an endpoint may have run a request."""
    dispatcher.mark_may_have_run = lambda ticket, end: None


@MUTATIONS.register("mixes answers")
def mix_answers():
    """Give a caller the answer to an earlier request."""
    run = Exchange.run
    last = []

    def run_mixed(self):
        answer = run(self)
        if isinstance(answer, Refusal) or answer.body is None:
            return answer
        last.append(answer)
        return last.pop(0) if len(last) > 3 else answer

    Exchange.run = run_mixed


@MUTATIONS.register("claims answers")
def claim_answers():
    """Answer a refused request as if an endpoint had run it."""
    run = Exchange.run

    def run_claiming(self):
        answer = run(self)
        if isinstance(answer, Refusal):
            body = json.dumps({"id": self.request.request_id}).encode()
            return Answer(200, "OK", [], body)
        return answer

    Exchange.run = run_claiming


@MUTATIONS.register("ignores drains")
def ignore_drains():
    """Send to endpoints that are leaving."""
    has_capacity = EndpointState.has_capacity

    def has_capacity_anyway(self, ticket, now):
        self.draining_until = 0.0
        self.availability.leaving_until = float("-inf")
        return has_capacity(self, ticket, now)

    EndpointState.has_capacity = has_capacity_anyway
    EndpointState.is_draining = lambda self, now: False


@MUTATIONS.register("stops at once")
def stop_at_once():
    """Stop at once on a graceful shutdown, without waiting for requests."""
    Lifecycle.stop = lambda self, *servers: True


@MUTATIONS.register("probes without pace")
def probe_without_pace():
    """Probe continuously, without a lease on a probe share and without a rate limit."""
    proberate.ProbeRateLimiter.try_acquire = lambda self, share, a_pace, now: True
    prober.choose_probe_target = lambda a_dispatcher, now: next(
        iter(a_dispatcher.states)
    )

    def run_freely(self):
        self.blackboard.probe_share = ProbeShare(0, "none", float("inf"), 0.0)
        while True:
            eventlet.sleep(PROBE_INTERVAL_SECONDS)
            self._probe_services()

    prober.Prober._is_due = lambda self, name, a_pace: bool(
        self._rate_limiters.setdefault(name, proberate.ProbeRateLimiter())
    )
    prober.Prober.run = run_freely


@MUTATIONS.register("holds refusals back")
def hold_refusals_back():
    """Delay a refusal until after the request's deadline."""
    run = Exchange.run

    def run_late(self):
        answer = run(self)
        if isinstance(answer, Refusal):
            eventlet.sleep(max(0, self.ticket.deadline - self.clock()) + 0.5)
        return answer

    Exchange.run = run_late


@MUTATIONS.register("accepts without writing")
def accept_without_writing():
    """Report a change as accepted without writing it to the store."""
    ChangeLog.append = lambda self, replica, request, is_in_time: Accepted(
        replica.revision + 1
    )


@MUTATIONS.register("ignores quotas")
def ignore_quotas():
    """Admit each request, whatever the quota of its organisation."""
    QuotaGate.acquire = lambda self, name, may_wait: QuotaDecision(QuotaStatus.ADMITTED)
    QuotaGate.give_back = lambda self, name: None


@MUTATIONS.register("refuses inside quotas")
def refuse_inside_quotas():
    """Refuse some of the requests inside the quota."""
    acquire = QuotaGate.acquire

    def acquire_some(self, name, may_wait):
        if random.random() < REFUSED_SHARE:
            return QuotaDecision(QuotaStatus.REFUSED, 0.1)
        return acquire(self, name, may_wait)

    QuotaGate.acquire = acquire_some


@MUTATIONS.register("ignores keys")
def ignore_keys():
    """Let requests without a valid key run under the first organisation."""
    identify = Authenticator.identify

    def identify_anyway(self, pairs, route, request_id):
        found = identify(self, pairs, route, request_id)
        if isinstance(found, Refusal):
            digests = self.blackboard.configuration.keys._by_digest
            digest, organisation = next(iter(digests.items()))
            return Identity(organisation, digest)
        return found

    Authenticator.identify = identify_anyway


@MUTATIONS.register("refuses valid keys")
def refuse_valid_keys():
    """Refuse some of the requests with a valid key as if it was unknown."""
    identify = Authenticator.identify

    def identify_some(self, pairs, route, request_id):
        if random.random() < REFUSED_SHARE:
            return Refusal(RefusalReason.UNAUTHENTICATED, Outcome.NOT_RUN)
        return identify(self, pairs, route, request_id)

    Authenticator.identify = identify_some


@MUTATIONS.register("passes keys on")
def pass_keys_on():
    """Send the caller's key to the endpoint."""
    list_drops = Authenticator.list_dropped_headers
    Authenticator.list_dropped_headers = lambda self, pairs, route: list_drops(
        self, pairs, route
    ) - {"authorization"}


def main():
    """Apply the mutation that the first argument names, then serve."""
    mutation = MUTATIONS.get(sys.argv.pop(1))
    mutation()
    fire.Fire(serve)


if __name__ == "__main__":
    main()
