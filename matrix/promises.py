"""Checkers of the promises; each returns the violations found in the evidence."""

from hingesill_core.registry import Registry
from matrix.evidence import NotApplicable, Violation

__all__ = ["PROMISES", "check_promises"]

PROMISES = Registry("promise")
TIME_LIMIT_TOLERANCE_SECONDS = 0.35
NO_CALLS = NotApplicable("no requests are sent in this step")


@PROMISES.register("whole own answer")
def check_own_answer(evidence):
    """Check that each answer was complete and belonged to the caller's request."""
    if not evidence.calls:
        return NO_CALLS
    return [
        Violation(call.request_id, "the answer was not whole or another's")
        for call in evidence.calls
        if not call.whole and call.outcome != "cut"
    ]


@PROMISES.register("not run did not run")
def check_not_run(evidence):
    """Check that no request refused as not run was executed."""
    if not evidence.calls:
        return NO_CALLS
    return [
        Violation(call.request_id, f"{call.reason}, but it ran")
        for call in evidence.calls
        if call.outcome == "not-run" and evidence.ran[call.request_id]
    ]


@PROMISES.register("not repeatable at most once")
def check_at_most_once(evidence):
    """Check that no request that must not be repeated ran more than once."""
    if not evidence.calls:
        return NO_CALLS
    return [
        Violation(call.request_id, f"ran {evidence.ran[call.request_id]} times")
        for call in evidence.calls
        if not call.repeatable and evidence.ran[call.request_id] > 1
    ]


@PROMISES.register("answered ran")
def check_answered(evidence):
    """Check that every successfully answered request was executed by an endpoint."""
    if not evidence.calls:
        return NO_CALLS
    return [
        Violation(call.request_id, "answered, but no endpoint ran it")
        for call in evidence.calls
        if call.outcome == "answered"
        and call.status < 500
        and not evidence.ran[call.request_id]
    ]


@PROMISES.register("final answer at once")
def check_at_once(evidence):
    """Check that answers met their time limit and refusals have a Retry-After."""
    if not evidence.calls:
        return NO_CALLS
    violations = []
    for call in evidence.calls:
        if call.outcome == "cut" or call.request_id in evidence.excused:
            continue
        if call.seconds > call.limit + TIME_LIMIT_TOLERANCE_SECONDS:
            what = f"{call.seconds:.2f} s, its time was {call.limit:.2f} s"
            violations.append(Violation(call.request_id, what))
        early = call.reason in ("queue-full", "displaced", "no-endpoint")
        if early and call.seconds > call.limit / 2:
            violations.append(Violation(call.request_id, f"{call.reason} held back"))
        if call.status == 503 and call.outcome == "not-run" and not call.retry_after:
            violations.append(Violation(call.request_id, "no time to come back"))
    return violations


@PROMISES.register("leaving endpoint")
def check_drain(evidence):
    """Check that a draining endpoint runs no request after the drain delay."""
    drain = evidence.drain
    if drain is None:
        return NotApplicable("no endpoint leaves in this step")
    extra = drain.ran_after - drain.ran_before
    if not extra:
        return []
    return [Violation(drain.endpoint, f"{extra} requests after the few seconds")]


@PROMISES.register("planned stop")
def check_stop(evidence):
    """Check that a graceful shutdown of a node cut off no request."""
    if evidence.stopped is None:
        return NotApplicable("no node is stopped in this step")
    violations = []
    if evidence.stopped != 0:
        violations.append(Violation("node", f"exit code {evidence.stopped}"))
    if evidence.cuts_expected:
        return violations
    return violations + [
        Violation(call.request_id, f"cut off: {call.reason}")
        for call in evidence.calls
        if call.outcome == "cut" and call.request_id not in evidence.excused
    ]


@PROMISES.register("probe budget")
def check_probe_budget(evidence):
    """Check that no time window has more probes than the budget allows."""
    if not evidence.calls:
        return NO_CALLS
    times = sorted(evidence.probe_times)
    violations = []
    for index, start in enumerate(times):
        end = start + evidence.probe_window
        count = sum(at < end for at in times[index:])
        if count > evidence.probe_budget:
            violations.append(Violation("fleet", f"{count} probes in a window"))
    return violations


@PROMISES.register("configuration in force")
def check_changes(evidence):
    """Check that changes are in force everywhere if and only if they were accepted."""
    if not evidence.changes:
        return NotApplicable("no configuration is changed in this step")
    return [
        Violation(change.operation, what)
        for change in evidence.changes
        for what in change.list_faults()
    ]


def check_promises(evidence):
    """Return the result of each promise's checker by the name of the promise."""
    return {name: PROMISES.get(name)(evidence) for name in PROMISES.list_names()}
