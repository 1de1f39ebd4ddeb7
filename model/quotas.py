"""Specification of the tokens that coordinators allocate from an organisation's quota.

Time advances in ticks, in each of which the rate allows one request. A lease allows its
holder one request in each tick, the pool of a coordinator holds a burst of one. The
first coordinator may be cut off, in which case it keeps its node list, or may restart;
the node lists may turn to the second coordinator at any time, also before and without
a cut. Who holds a lease makes no difference, so leases have no owners; a lease that a
coordinator doesn't know was allocated by the other one or before its restart.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "build_protocol"]

LEASE = 2
# Ticks for which a coordinator that is cut off is still confirmed, and for which nodes
# still use the first coordinator after other nodes have turned to the second one.
CONFIRMED = 1
TAKEOVER = LEASE + CONFIRMED
BURST = 1
WINDOW = 3
LAST_TICK = 5
MAX_RESTARTS = 1
BOTH = 2
# Two leases at a time already break the bound; more cost states only.
MAX_LEASES = 2


@dataclass(frozen=True)
class Rules:
    """Rules of allocation; the implementation follows all of them."""

    leases_end: bool = True
    waits_at_takeover: bool = True
    needs_confirmation: bool = True
    charges_leases: bool = True
    starts_empty: bool = True
    frees_after_report: bool = True


BROKEN = {
    "leases of nodes that are cut off do not end": Rules(leases_end=False),
    "a new coordinator allocates at once": Rules(waits_at_takeover=False),
    "a coordinator that is cut off allocates further": Rules(needs_confirmation=False),
    "the pool is filled with the rate of leases as well": Rules(charges_leases=False),
    "a coordinator starts with a full pool": Rules(starts_empty=False),
    "a share is free before its node has confirmed it": Rules(frees_after_report=False),
}


class State(NamedTuple):
    """The clock, the coordinators, and the leases.

    ``leases`` has the coordinator that knows it (-1 for none, or `BOTH`), the last tick
    and the tick of the next request of each lease; ``since`` the ticks from which the
    coordinators know all leases. ``turned`` and ``cut`` are the ticks of the events,
    or -1.
    """

    now: int = 0
    leases: tuple = ()
    pools: tuple = (BURST, 0)
    since: tuple = (0, LAST_TICK + 1)
    turned: int = -1
    cut: int = -1
    restarts: int = 0
    sends: tuple = ()


def replace_at(values, index, value):
    """Return a copy of the tuple with one value replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def may_allocate(state, coordinator, rules):
    """Return whether nodes take tokens of a coordinator, and it gives them."""
    if coordinator == 1:
        return state.turned >= 0
    has_turned = 0 <= state.turned <= state.now - CONFIRMED
    if has_turned and not 0 <= state.cut < state.turned + CONFIRMED:
        return False
    if state.cut >= 0:
        return not rules.needs_confirmation or state.now < state.cut + CONFIRMED
    return True


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    state = State(*state)
    steps = []
    if len(state.sends) > WINDOW + BURST:
        return steps
    if state.now < LAST_TICK:
        steps.append(("tick", tick(state, rules)))
    if state.turned < 0:
        wait = TAKEOVER if rules.waits_at_takeover else 0
        pool = 0 if rules.starts_empty else BURST
        turned = state._replace(
            turned=state.now,
            since=replace_at(state.since, 1, state.now + wait),
            pools=replace_at(state.pools, 1, pool),
        )
        steps.append(("node lists turn to 1", turned))
    if state.cut < 0:
        steps.append(("0 is cut off", state._replace(cut=state.now)))
    for coordinator in (0, 1):
        if may_allocate(state, coordinator, rules):
            steps += list_allocation_steps(state, coordinator, rules)
    if state.restarts < MAX_RESTARTS:
        steps.append(("0 restarts", restart(state, rules)))
    for index, (known_by, until, next_at) in enumerate(state.leases):
        if next_at <= state.now:
            lease = (known_by, until, state.now + 1)
            leases = replace_at(state.leases, index, lease)
            steps.append(("a lease is used", send(state, leases)))
    return steps


def send(state, leases):
    """Return the state after a request."""
    sends = (*state.sends, state.now)
    return state._replace(leases=tuple(sorted(leases)), sends=sends)


def list_allocation_steps(state, coordinator, rules):
    """Yield a token, and a lease that is given, renewed or freed."""
    if state.pools[coordinator] > 0:
        pools = replace_at(state.pools, coordinator, state.pools[coordinator] - 1)
        sent = send(state, state.leases)._replace(pools=pools)
        yield f"{coordinator} gives a token", sent
    until = state.now + LEASE - 1
    known = [lease for lease in state.leases if lease[0] in (coordinator, BOTH)]
    is_due = state.now >= state.since[coordinator]
    if not known and is_due and len(state.leases) < MAX_LEASES:
        leases = (*state.leases, (coordinator, until, state.now + 1))
        yield f"{coordinator} gives a lease", state._replace(
            leases=tuple(sorted(leases))
        )
    for index, (known_by, _, next_at) in enumerate(state.leases):
        if known_by == coordinator or not known or known_by == BOTH:
            # The other coordinator still reckons with a lease that it gave.
            knows = coordinator if known_by in (coordinator, -1) else BOTH
            renewed = (knows, until, next_at)
            leases = tuple(sorted(replace_at(state.leases, index, renewed)))
            yield f"{coordinator} renews a lease", state._replace(leases=leases)
        if known_by == coordinator:
            left = state.leases[:index] + state.leases[index + 1 :]
            if not rules.frees_after_report:
                # The reply that ends the lease may be lost.
                left = (*left, (-1, *state.leases[index][1:]))
            # The lease may have been used in this tick, which stays charged.
            since = max(state.since[coordinator], state.now + 1)
            yield f"{coordinator} frees a lease", state._replace(
                leases=tuple(sorted(left)),
                since=replace_at(state.since, coordinator, since),
            )


def restart(state, rules):
    """Return the state after the first coordinator forgot its leases."""
    wait = TAKEOVER if rules.waits_at_takeover else 0
    leases = [
        ({0: -1, BOTH: 1}.get(known_by, known_by), *rest)
        for known_by, *rest in state.leases
    ]
    return state._replace(
        leases=tuple(sorted(leases)),
        since=replace_at(state.since, 0, state.now + wait),
        pools=replace_at(state.pools, 0, 0 if rules.starts_empty else BURST),
        restarts=state.restarts + 1,
    )


def tick(state, rules):
    """Return the state one tick later, without ended leases and old sends."""
    now = state.now + 1
    pools = state.pools
    for coordinator in (0, 1):
        known = any(lease[0] in (coordinator, BOTH) for lease in state.leases)
        is_charged = known and rules.charges_leases
        if now > state.since[coordinator] and not is_charged:
            level = min(BURST, pools[coordinator] + 1)
            pools = replace_at(pools, coordinator, level)
    leases = []
    for known_by, until, next_at in state.leases:
        if until >= now:
            leases.append((known_by, until, max(next_at, now)))
        elif not rules.leases_end:
            # The coordinator takes the lease for ended.
            leases.append((-1, now, max(next_at, now)))
    sends = tuple(at for at in state.sends if at > now - WINDOW)
    return state._replace(
        now=now, leases=tuple(sorted(leases)), pools=pools, sends=sends
    )


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
    return Protocol(
        name="quotas",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "an organisation sends no more than its quota allows": lambda s: len(
                s["sends"]
            )
            <= WINDOW + BURST
        },
    )
