"""The data path's side of the guard: what requests did, and which must not be sent."""

import random

from hingesill_core.crashes.guard import CrashGuard, QuarantineStarted
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal
from hingesill_node.clocks import read_boot_time
from hingesill_node.crashes.crashchecks import CrashChecks
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["RequestGuard"]


class RequestGuard:
    """Asked before each send, and told how each one ended.

    Parameters
    ----------
    clock : callable
        Seconds that go on while the VM is suspended.
    rng : random.Random or None
        For gossip.

    Attributes
    ----------
    decisions : CrashGuard
        What is known, held back and passed on.
    """

    def __init__(self, clock=read_boot_time, rng=None):
        self.clock = clock
        self.decisions = CrashGuard(rng or random.Random(), log_change)
        self._checks = CrashChecks(self._note_endings)

    def find_refusal(self, request, may_have_run=False):
        """Return the Refusal of a request that must not be sent, or None.

        Parameters
        ----------
        request : CallerRequest
            The request; it is told from others only if any is held back.
        may_have_run : bool
            An endpoint had it in this try.
        """
        if not self.decisions.quarantine:
            return None
        now = self.clock()
        held = self.decisions.find_quarantine(request.fingerprints, now)
        if held is None:
            return None
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        log_event(
            Event.REQUEST_HELD_BACK,
            request=request.request_id,
            fingerprints=request.fingerprints,
            caller=request.caller,
            held_s=round(now - held.since, 3),
            left_s=round(held.until - now, 3),
            times=held.times,
            outcome=outcome.value,
        )
        return Refusal(RefusalReason.QUARANTINED, outcome, held.until - now)

    def is_suspect(self, request):
        """Tell whether an endpoint ended under a request and none answered it since."""
        decisions = self.decisions
        return bool(decisions.history) and decisions.is_suspect(request.fingerprints)

    def may_send_again(self, request):
        """Tell whether a try that got no answer may go to another endpoint."""
        pending = self._checks.count_pending(request.fingerprints)
        return self.decisions.may_send_again(
            request.fingerprints, self.clock(), pending
        )

    def handle_lost_response(self, request, endpoint, address):
        """Have it found out whether an endpoint ended while it had a request."""
        self._checks.begin(endpoint, address, request.fingerprints)

    def record_answer(self, request):
        """Take that an endpoint answered a request."""
        if not self.decisions.is_idle:
            self.decisions.record_answer(request.fingerprints, self.clock())

    def _note_endings(self, endpoint, requests):
        now = self.clock()
        for fingerprints in sorted(requests):
            self.decisions.record_crash(fingerprints, endpoint, now)


def log_change(change):
    """Write a line for a hold that begins or ends."""
    if not isinstance(change, QuarantineStarted):
        log_event(Event.HOLD_ENDED, fingerprint=change.fingerprint, cause=change.reason)
        return
    request = change.request
    log_event(
        Event.HOLD_BEGUN,
        fingerprint=change.fingerprint,
        endpoints=[ending.endpoint for ending in change.endings],
        seconds=round(request.until - request.since, 3),
        times=request.times,
        source=change.source,
    )
