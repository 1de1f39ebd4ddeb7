"""Specification of the grants that coordinators issue from one endpoint's rate limit.

Time advances in ticks. Nodes request grants from the first coordinator or from the
second one, which grants at half the rate. Either may be in use at any time, as node
lists differ and datagrams are lost. A coordinator may restart and lose the record of
its grants. The node that holds a grant makes no difference, so grants have no owners.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "build_protocol"]

INTERVAL = 2
HORIZON = 1
GRANT_TTL = 1
WINDOW = 6
LAST_TICK = 8
MAX_RESTARTS = 1
# One and a half times the limit, one extra grant of each coordinator at the edges of
# the window, and one grant that a restarted coordinator issues a second time.
BUDGET = 3 * WINDOW // (2 * INTERVAL) + 2 + MAX_RESTARTS


@dataclass(frozen=True)
class Rules:
    """Rules of granting; the implementation follows all of them."""

    second_grants_half_rate: bool = True
    unused_rate_expires: bool = True
    grants_expire: bool = True


BROKEN = {
    "the second coordinator grants all": Rules(second_grants_half_rate=False),
    "an endpoint that was left alone has saved grants up": Rules(
        unused_rate_expires=False
    ),
    "grants do not end": Rules(grants_expire=False),
}


class State(NamedTuple):
    """The clock, the coordinators, and the grants.

    ``next_grant_at`` is the tick from which each coordinator may grant again.
    ``unused`` has the tick from which each unused grant is valid, ``sends`` the ticks
    of the sends.
    """

    now: int = 0
    next_grant_at: tuple = (0, 0)
    unused: tuple = ()
    sends: tuple = ()
    restarts: int = 0


def replace_at(values, index, value):
    """Return a copy of the tuple with one value replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    state = State(*state)
    steps = []
    if state.now < LAST_TICK:
        steps.append(("tick", tick(state, rules)))
    for coordinator in range(len(state.next_grant_at)):
        steps += list_grant_steps(state, coordinator, rules)
    if state.restarts < MAX_RESTARTS:
        steps.append(("0 starts anew", restart(state, 0)))
    for at in sorted(set(state.unused)):
        if at <= state.now:
            unused = list(state.unused)
            unused.remove(at)
            sends = (*state.sends, state.now)
            steps.append(
                ("a node sends", state._replace(unused=tuple(unused), sends=sends))
            )
    return steps


def tick(state, rules):
    """Return the state one tick later, without expired grants and old sends."""
    now = state.now + 1
    unused = state.unused
    if rules.grants_expire:
        unused = tuple(at for at in unused if now <= at + GRANT_TTL)
    else:
        # Valid grants that never expire are interchangeable.
        unused = tuple(sorted(max(at, now) for at in unused))
    sends = tuple(at for at in state.sends if at > now - WINDOW)
    return state._replace(now=now, unused=unused, sends=sends)


def restart(state, coordinator):
    """Return the state after a coordinator restarted and lost its grant record."""
    next_grant_at = replace_at(state.next_grant_at, coordinator, state.now)
    return state._replace(next_grant_at=next_grant_at, restarts=state.restarts + 1)


def list_grant_steps(state, coordinator, rules):
    """Yield a grant if one is due; a lost grant equals a grant that is never used."""
    at = state.next_grant_at[coordinator]
    if at > state.now + HORIZON:
        return
    interval = INTERVAL
    if coordinator and rules.second_grants_half_rate:
        interval *= 2
    if rules.unused_rate_expires:
        at = max(at, state.now)
    granted = state._replace(
        next_grant_at=replace_at(state.next_grant_at, coordinator, at + interval)
    )
    unused = tuple(sorted((*state.unused, at)))
    yield f"{coordinator} grants", granted._replace(unused=unused)


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
    return Protocol(
        name="granting",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "an endpoint gets no more than its limit allows": lambda s: len(s["sends"])
            <= BUDGET
        },
    )
