"""Specification of one share of the probe budget and its changing holders.

Time advances in ticks. A holder checks its lease and its probe rate, may then be
paused, and sends. The store grants the lease to another node once it has expired there.
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
# Evenly spaced probes in a window and one delayed probe for each change of holder.
BUDGET = WINDOW // INTERVAL + WINDOW // TTL + 1


@dataclass(frozen=True)
class Rules:
    """Rules of probing; the implementation follows all of them."""

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

    ``until`` is the tick at which the lease expires in the store. Each node has the
    tick until which it relies on the lease (-1 for none), the tick of its next probe,
    and whether it has checked but not yet sent. ``sends`` has the ticks of the sends.
    """

    now: int = 0
    holder: int = -1
    until: int = 0
    relied_until: tuple = (-1,) * NODES
    next_at: tuple = (0,) * NODES
    checked: tuple = (False,) * NODES
    sends: tuple = ()


def replace_at(values, index, value):
    """Return a copy of the tuple with one value replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
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
    """Yield the acquisition and renewal of the lease."""
    until = state.now + TTL
    relied_until = replace_at(state.relied_until, node, until - MARGIN)
    is_expired = state.holder == -1 or state.now >= state.until
    if is_expired and state.holder != node:
        wait = INTERVAL if rules.starts_empty else 0
        acquired = state._replace(holder=node, until=until, relied_until=relied_until)
        yield f"{node} takes the lease", acquired._replace(
            next_at=replace_at(state.next_at, node, state.now + wait)
        )
    if state.holder == node and state.now < state.until < until:
        yield f"{node} renews", state._replace(until=until, relied_until=relied_until)


def list_probe_steps(state, node, rules):
    """Yield the check before a probe and the later send."""
    held = state.relied_until[node] >= 0
    if rules.checks_own_clock:
        held = state.now < state.relied_until[node]
    if held and not state.checked[node] and state.now >= state.next_at[node]:
        yield f"{node} checks", state._replace(
            checked=replace_at(state.checked, node, True),
            next_at=replace_at(state.next_at, node, state.now + INTERVAL),
        )
    if state.checked[node]:
        yield f"{node} sends", state._replace(
            checked=replace_at(state.checked, node, False),
            sends=(*state.sends, state.now),
        )


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
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
