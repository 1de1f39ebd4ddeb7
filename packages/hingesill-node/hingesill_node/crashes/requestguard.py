"""Connects the data path with the crash guard: checks requests, reports outcomes."""

import random

from hingesill_core.crashes.guard import CrashGuard, QuarantineStarted
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal
from hingesill_node.clocks import read_boot_time
from hingesill_node.crashes.crashchecks import CrashChecks
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["RequestGuard"]


class RequestGuard:
    """Decides before each send whether a request may be sent; records its outcome.

    Parameters
    ----------
    clock : callable
        Returns seconds of a clock that goes on while the VM is suspended.
    rng : random.Random or None
        Chooses the peers of gossip rounds.

    Attributes
    ----------
    decisions : CrashGuard
        Recorded crashes, quarantines and gossip.
    """

    def __init__(self, clock=read_boot_time, rng=None):
        self.clock = clock
        self.decisions = CrashGuard(rng or random.Random(), log_change)
        self._checks = CrashChecks(self._record_crashes)

    def find_refusal(self, request, may_have_run=False):
        """Return the Refusal of a quarantined request, or None.

        Parameters
        ----------
        request : CallerRequest
            The request; its fingerprints are computed only if there is a quarantine.
        may_have_run : bool
            Whether an endpoint had the request in this attempt.
        """
        if not self.decisions.quarantine:
            return None
        now = self.clock()
        quarantined = self.decisions.find_quarantine(request.fingerprints, now)
        if quarantined is None:
            return None
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        log_event(
            Event.REQUEST_HELD_BACK,
            request=request.request_id,
            fingerprints=request.fingerprints,
            caller=request.caller,
            held_s=round(now - quarantined.since, 3),
            left_s=round(quarantined.until - now, 3),
            times=quarantined.times,
            outcome=outcome.value,
        )
        return Refusal(RefusalReason.QUARANTINED, outcome, quarantined.until - now)

    def is_suspect(self, request):
        """Return whether an endpoint crashed under a request not answered since."""
        decisions = self.decisions
        return bool(decisions.history) and decisions.is_suspect(request.fingerprints)

    def may_send_again(self, request):
        """Return whether an unanswered attempt may go to another endpoint."""
        pending = self._checks.count_pending(request.fingerprints)
        return self.decisions.may_send_again(
            request.fingerprints, self.clock(), pending
        )

    def handle_lost_response(self, request, endpoint, address, runner=None):
        """Start a check whether an endpoint crashed while it had a request.

        Parameters
        ----------
        request : CallerRequest
            The request.
        endpoint, address : str
            Identity and address of the endpoint.
        runner : ServiceRunner or None
            The service's runner, which shows whether this node reaches any endpoint.
        """
        self._checks.begin(endpoint, address, request.fingerprints, runner)

    def record_answer(self, request):
        """Record that an endpoint answered a request."""
        if not self.decisions.is_idle:
            self.decisions.record_answer(request.fingerprints, self.clock())

    def _record_crashes(self, endpoint, requests):
        now = self.clock()
        for fingerprints in sorted(requests):
            self.decisions.record_crash(fingerprints, endpoint, now)


def log_change(change):
    """Log the start or the end of a quarantine."""
    if not isinstance(change, QuarantineStarted):
        log_event(Event.HOLD_ENDED, fingerprint=change.fingerprint, cause=change.reason)
        return
    request = change.request
    log_event(
        Event.HOLD_BEGUN,
        fingerprint=change.fingerprint,
        endpoints=[crash.endpoint for crash in change.crashes],
        seconds=round(request.until - request.since, 3),
        times=request.times,
        source=change.source,
    )
