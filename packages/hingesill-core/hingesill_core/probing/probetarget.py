"""Which endpoint a probe would tell something new of, if any."""

from hingesill_core.routing.selection import takes_work

__all__ = ["choose_probe_target"]

UNHEARD_SECONDS = 2.0
BUSY_SECONDS = 5.0


def choose_probe_target(dispatcher, now):
    """Return the address that is most worth a probe, or None.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service.
    now : float
        The time.

    Notes
    -----
    Reports ride on answers for nothing, so a probe is worth its cost only where
    own traffic says nothing: for an ejected endpoint whose trial is due, which
    then need not be risked on a caller's request, and for an endpoint that was
    not heard of for a while although the service is in use. A service without
    traffic is not probed at all: there is no caller whom it would help.
    """
    if now - dispatcher.last_submit > BUSY_SECONDS:
        return None
    best = None
    longest = UNHEARD_SECONDS
    for state in dispatcher.states.values():
        if state.in_flight:
            continue
        if state.availability.needs_leave_renewal(now):
            return state.identity
        if not takes_work(state, now):
            continue
        if state.health.is_trial_due(now):
            return state.identity
        unheard = now - max(state.last_heard or 0.0, state.last_probe)
        if state.health.is_open() and unheard > longest:
            best, longest = state.identity, unheard
    return best
