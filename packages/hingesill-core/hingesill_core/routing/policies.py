"""The policies that choose an endpoint; the configuration of a service names one.

A policy is a function of the eligible endpoints, the time and a random source.
It receives at least one endpoint.
"""

from hingesill_core.registry import Registry

__all__ = ["POLICIES"]

POLICIES = Registry("routing policy")
TIE_TOLERANCE = 0.05


@POLICIES.register("random")
def choose_random(states, now, rng):
    """Choose a random endpoint; a baseline."""
    return rng.choice(states)


@POLICIES.register("round_robin")
def choose_next(states, now, rng):
    """Choose the endpoint with the least recent send; a baseline."""
    return min(states, key=lambda state: state.last_send_number)


@POLICIES.register("least_in_flight_of_two")
def choose_less_busy_of_two(states, now, rng):
    """Choose one of two random endpoints, with fewer sends in flight; a baseline."""
    if len(states) == 1:
        return states[0]
    first, second = rng.sample(states, 2)
    return first if first.in_flight <= second.in_flight else second


@POLICIES.register("fresh_report")
@POLICIES.register("expected_wait")
def choose_expected_wait(states, now, rng):
    """Choose the endpoint with the shortest expected response time.

    Notes
    -----
    All endpoints are scored: a service has only a few. Scores within 5% of the best
    count as equal, and one of them is chosen at random, so that nodes with the same
    reports do not all send to one endpoint. With ``fresh_report`` endpoints are
    queried for their load first (see `loadqueries`); this function chooses when no
    query is allowed.
    """
    scored = [(state.estimate_wait(now), state) for state in states]
    best = min(scored, key=lambda pair: pair[0])[0]
    limit = best * (1 + TIE_TOLERANCE)
    equal = [state for score, state in scored if score <= limit]
    return equal[0] if len(equal) == 1 else rng.choice(equal)
