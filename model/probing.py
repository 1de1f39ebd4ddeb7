"""The specification of one share of the probe budget and its changing holders.

Time goes in ticks. A holder checks its lease and its pace, may then be paused,
and sends. The store gives the lease to another once it has lapsed there.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "build_protocol"]

NODES = 3
TTL = 3
MARGIN = 1
INTERVAL = 2
WINDOW = 4
LAST_TICK = 7
# Spaced probes in a window, and one late one for each lease that can change hands.
BUDGET = WINDOW // INTERVAL + WINDOW // TTL + 1


@dataclass(frozen=True)
class Rules:
    """The rules of probing; all hold in the one that is built."""

    checks_own_clock: bool = True
    starts_empty: bool = True


BROKEN = {
    "a holder counts on its lease until it is told otherwise": Rules(
        checks_own_clock=False
    ),
    "a new holder starts with a full bucket, too": Rules(
        checks_own_clock=False, starts_empty=False
    ),
}


class State(NamedTuple):
    """The clock, the store's holder, and the nodes.

    ``until`` is when the lease lapses in the store. Each node has the time until
    which it counts on the lease (-1 for none), its next probe's time, and
    whether it has checked but not sent. ``sends`` are the ticks of the sends.
    """

    now: int = 0
    holder: int = -1
    until: int = 0
    counted: tuple = (-1,) * NODES
    next_at: tuple = (0,) * NODES
    checked: tuple = (False,) * NODES
    sends: tuple = ()


def put(values, index, value):
    """Return the values with one replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def list_steps(state, rules):
    """Return every (label, state) that can follow."""
    state = State(*state)
    steps = []
    if state.now < LAST_TICK:
        recent = tuple(at for at in state.sends if at > state.now + 1 - WINDOW)
        steps.append(("tick", state._replace(now=state.now + 1, sends=recent)))
    for node in range(NODES):
        steps += list_lease_steps(state, node, rules)
        steps += list_probe_steps(state, node, rules)
    return steps


def list_lease_steps(state, node, rules):
    """Yield taking and renewing the lease."""
    until = state.now + TTL
    counted = put(state.counted, node, until - MARGIN)
    lapsed = state.holder == -1 or state.now >= state.until
    if lapsed and state.holder != node:
        wait = INTERVAL if rules.starts_empty else 0
        taken = state._replace(holder=node, until=until, counted=counted)
        yield f"{node} takes the lease", taken._replace(
            next_at=put(state.next_at, node, state.now + wait)
        )
    if state.holder == node and state.now < state.until < until:
        yield f"{node} renews", state._replace(until=until, counted=counted)


def list_probe_steps(state, node, rules):
    """Yield checking, and sending some time later."""
    held = state.counted[node] >= 0
    if rules.checks_own_clock:
        held = state.now < state.counted[node]
    if held and not state.checked[node] and state.now >= state.next_at[node]:
        yield f"{node} checks", state._replace(
            checked=put(state.checked, node, True),
            next_at=put(state.next_at, node, state.now + INTERVAL),
        )
    if state.checked[node]:
        yield f"{node} sends", state._replace(
            checked=put(state.checked, node, False), sends=(*state.sends, state.now)
        )


def build_protocol(rules=Rules()):
    """Return the specification as minicheck takes it."""
    return Protocol(
        name="probing",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "the probes of a share never pass its budget": lambda s: len(s["sends"])
            <= BUDGET
        },
    )
