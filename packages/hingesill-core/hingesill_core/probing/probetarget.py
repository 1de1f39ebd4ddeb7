"""Choice of the endpoint to probe."""

from hingesill_core.routing.selection import takes_work

__all__ = ["choose_probe_target"]

MAX_SILENCE_SECONDS = 2.0
IN_USE_SECONDS = 5.0


def choose_probe_target(dispatcher, now):
    """Return the address of the endpoint that most needs a probe, or None.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service.
    now : float
        Seconds of the node's clock.

    Notes
    -----
    Answers carry load reports at no cost, so a probe is worth its cost only where the
    node's own traffic yields no information: for an ejected endpoint whose trial
    request is due, which then need not be risked on a caller's request, and for an
    endpoint that was not heard from for a while although the service is in use. A
    service without traffic is not probed: no caller would benefit.
    """
    if now - dispatcher.last_submit_at > IN_USE_SECONDS:
        return None
    best = None
    longest = MAX_SILENCE_SECONDS
    for state in dispatcher.states.values():
        if state.in_flight:
            continue
        if state.availability.needs_leave_renewal(now):
            return state.identity
        if not takes_work(state, now):
            continue
        if state.health.is_trial_due(now):
            return state.identity
        silence = now - max(state.last_response_at or 0.0, state.last_probe_at)
        if state.health.accepts_traffic() and silence > longest:
            best, longest = state.identity, silence
    return best
