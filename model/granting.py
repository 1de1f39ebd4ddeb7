"""The specification of what coordinators grant of one endpoint's limit.

Time goes in ticks. Nodes ask the first coordinator, or the second one, which grants at
half the pace, and may believe in either at any time, as lists differ and datagrams are
lost. A coordinator may start anew and forget what it granted. Which node holds a grant
makes no difference, so grants have no owners.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "build_protocol"]

INTERVAL = 2
HORIZON = 1
LIFE = 1
WINDOW = 6
LAST_TICK = 8
RESTARTS = 1
# One and a half times what the limit allows, one more of each coordinator at the edges
# of the window, and one that a coordinator which starts anew gives out again.
BUDGET = 3 * WINDOW // (2 * INTERVAL) + 2 + RESTARTS


@dataclass(frozen=True)
class Rules:
    """The rules of granting; all hold in the one that is built."""

    second_grants_half: bool = True
    saves_nothing: bool = True
    grants_end: bool = True


BROKEN = {
    "the second coordinator grants all": Rules(second_grants_half=False),
    "an endpoint that was left alone has saved grants up": Rules(saves_nothing=False),
    "grants do not end": Rules(grants_end=False),
}


class State(NamedTuple):
    """The clock, the coordinators, and the grants.

    ``free_at`` is when each coordinator may grant again. ``held`` are the times from
    which grants that were not used may be used, ``sends`` the ticks of the sends.
    """

    now: int = 0
    free_at: tuple = (0, 0)
    held: tuple = ()
    sends: tuple = ()
    restarts: int = 0


def put(values, index, value):
    """Return the values with one replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def list_steps(state, rules):
    """Return every (label, state) that can follow."""
    state = State(*state)
    steps = []
    if state.now < LAST_TICK:
        steps.append(("tick", tick(state, rules)))
    for coordinator in range(len(state.free_at)):
        steps += list_grant_steps(state, coordinator, rules)
    if state.restarts < RESTARTS:
        steps.append(("0 starts anew", restart(state, 0)))
    for at in sorted(set(state.held)):
        if at <= state.now:
            held = list(state.held)
            held.remove(at)
            sends = (*state.sends, state.now)
            steps.append(
                ("a node sends", state._replace(held=tuple(held), sends=sends))
            )
    return steps


def tick(state, rules):
    """Return the state a tick later, without what no longer counts."""
    now = state.now + 1
    held = state.held
    if rules.grants_end:
        held = tuple(at for at in held if now <= at + LIFE)
    else:
        # Grants that may be used and do not end are all alike.
        held = tuple(sorted(max(at, now) for at in held))
    sends = tuple(at for at in state.sends if at > now - WINDOW)
    return state._replace(now=now, held=held, sends=sends)


def restart(state, coordinator):
    """Return the state in which a coordinator has forgotten what it granted."""
    free_at = put(state.free_at, coordinator, state.now)
    return state._replace(free_at=free_at, restarts=state.restarts + 1)


def list_grant_steps(state, coordinator, rules):
    """Yield a grant; one that is lost on its way is one that is never used."""
    at = state.free_at[coordinator]
    if at > state.now + HORIZON:
        return
    interval = INTERVAL
    if coordinator and rules.second_grants_half:
        interval *= 2
    if rules.saves_nothing:
        at = max(at, state.now)
    granted = state._replace(free_at=put(state.free_at, coordinator, at + interval))
    held = tuple(sorted((*state.held, at)))
    yield f"{coordinator} grants", granted._replace(held=held)


def build_protocol(rules=Rules()):
    """Return the specification as minicheck takes it."""
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
