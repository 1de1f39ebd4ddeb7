"""Nodes with one rule left out, to prove that each checker can fail.

``python -m matrix.mutant NAME --flags`` runs a node whose code was changed by
the mutation of that name. Used by tests only.
"""

import json
import sys

import eventlet
import fire

from hingesill_core.configuration.changelog import Accepted, ChangeLog
from hingesill_core.probing import proberate
from hingesill_core.probing.probeshare import ProbeShare
from hingesill_core.registry import Registry
from hingesill_core.retries import decision
from hingesill_core.routing import dispatcher
from hingesill_core.routing.endpoint_state import EndpointState
from hingesill_core.routing.messages import Refusal
from hingesill_node.datapath import prober
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.messages import Answer
from hingesill_node.lifecycle import Lifecycle
from hingesill_node.main import serve

__all__ = ["MUTATIONS"]

MUTATIONS = Registry("mutation")
PROBE_SECONDS = 0.02


@MUTATIONS.register("repeats moves")
def repeat_moves():
    """Send a request again whether it may be repeated or not."""
    decision.find_denial = lambda ticket, end, now, p10: (
        None if ticket.sends < 3 else decision.RetryReason.DENIED_BUDGET
    )


@MUTATIONS.register("lies about not run")
def lie_not_run():
    """Never note that an endpoint may have run a request."""
    dispatcher.mark_may_have_run = lambda ticket, end: None


@MUTATIONS.register("mixes answers")
def mix_answers():
    """Give a caller now and then the answer to the request before."""
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
    """Answer a request that was refused as if an endpoint had run it."""
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
    """End on a planned stop without waiting for anything."""
    Lifecycle.stop = lambda self, listener: True


@MUTATIONS.register("probes without pace")
def probe_without_pace():
    """Probe all the time, without a share and without spacing."""
    proberate.ProbeRateLimiter.try_acquire = lambda self, share, a_pace, now: True
    prober.choose_probe_target = lambda a_dispatcher, now: next(
        iter(a_dispatcher.states)
    )

    def run_freely(self):
        self.blackboard.probe_share = ProbeShare(0, "none", float("inf"), 0.0)
        while True:
            eventlet.sleep(PROBE_SECONDS)
            self._probe_services()

    prober.Prober._is_due = lambda self, name, a_pace: bool(
        self._rate_limiters.setdefault(name, proberate.ProbeRateLimiter())
    )
    prober.Prober.run = run_freely


@MUTATIONS.register("holds refusals back")
def hold_refusals_back():
    """Answer a refusal only when the request's time is up."""
    run = Exchange.run

    def run_late(self):
        answer = run(self)
        if isinstance(answer, Refusal):
            eventlet.sleep(max(0, self.ticket.deadline - self.clock()) + 0.5)
        return answer

    Exchange.run = run_late


@MUTATIONS.register("accepts without writing")
def accept_without_writing():
    """Tell operators that a change is accepted, and write nothing."""
    ChangeLog.append = lambda self, replica, request, is_in_time: Accepted(
        replica.revision + 1
    )


def main():
    """Apply the mutation that the first argument names, then serve."""
    mutation = MUTATIONS.get(sys.argv.pop(1))
    mutation()
    fire.Fire(serve)


if __name__ == "__main__":
    main()
