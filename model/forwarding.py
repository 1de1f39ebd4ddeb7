"""Specification of a request that must not be repeated and that other nodes serve.

A node without a path to any endpoint forwards the request to another node, and to a
further one after a refusal. Connections may be lost at any moment, nodes may stop, and
what was sent before may still arrive and run.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "build_protocol"]

OTHERS = 2
# States of the request at another node.
NONE, ARRIVING, HELD, SENT, DONE, STOPPED = range(6)
# Replies to the forwarding node, and its answers to the caller.
NOTHING, ANSWERED, UNKNOWN, NOT_RUN = range(4)
NOBODY = -1


@dataclass(frozen=True)
class Rules:
    """Rules of forwarding; the implementation follows all of them."""

    keeps_exposed: bool = True
    refuses_unsent_only: bool = True
    counts_written_as_sent: bool = True
    has_one_hop: bool = True


BROKEN = {
    "a lost connection to another node counts as not run": Rules(keeps_exposed=False),
    "the other node refuses as not run after its send": Rules(
        refuses_unsent_only=False
    ),
    "a forwarded request is refused as not run when its time is up": Rules(
        counts_written_as_sent=False
    ),
    "a node forwards what was forwarded to it": Rules(has_one_hop=False),
}


class State(NamedTuple):
    """The request at the forwarding node, at the other nodes, and at endpoints.

    ``waits_for`` is the node whose reply the forwarding node waits for. Each other node
    has its state of the request, its reply and the number of hops. ``on_way`` are sends
    that endpoints have not received yet.
    """

    waits_for: int = NOBODY
    tried: tuple = (False,) * OTHERS
    at: tuple = (NONE,) * OTHERS
    hops: tuple = (0,) * OTHERS
    replies: tuple = (NOTHING,) * OTHERS
    on_way: int = 0
    runs: int = 0
    answer: int = NOTHING


def replace_at(values, index, value):
    """Return a copy of the tuple with one value replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    state = State(*state)
    steps = []
    if state.on_way:
        run = state._replace(on_way=state.on_way - 1, runs=state.runs + 1)
        steps.append(("an endpoint runs it", run))
    if state.answer == NOTHING:
        steps += list_own_steps(state, rules)
    for node in range(OTHERS):
        steps += list_other_steps(state, node, rules)
    return steps


def list_own_steps(state, rules):
    """Yield the steps of the node that has the request from its caller."""
    if state.waits_for != NOBODY:
        yield from list_waiting_steps(state, rules)
        return
    # Whatever was forwarded before was refused as not run.
    yield "refused", state._replace(answer=NOT_RUN)
    yield "sent directly", state._replace(on_way=state.on_way + 1, answer=UNKNOWN)
    for node in range(OTHERS):
        if state.tried[node] or state.at[node] == STOPPED:
            continue
        yield f"forwarded to {node}", state._replace(
            waits_for=node,
            tried=replace_at(state.tried, node, True),
            at=replace_at(state.at, node, ARRIVING),
            hops=replace_at(state.hops, node, 1),
        )


def list_waiting_steps(state, rules):
    """Yield what ends the wait for another node's reply."""
    node = state.waits_for
    reply = state.replies[node]
    if reply == NOT_RUN:
        yield "not run there", state._replace(waits_for=NOBODY)
    elif reply != NOTHING:
        yield "reply passed on", state._replace(waits_for=NOBODY, answer=reply)
    late = UNKNOWN if rules.counts_written_as_sent else NOT_RUN
    yield "time is up", state._replace(waits_for=NOBODY, answer=late)
    if rules.keeps_exposed:
        yield "connection lost", state._replace(waits_for=NOBODY, answer=UNKNOWN)
    else:
        yield "connection lost", state._replace(waits_for=NOBODY)


def list_other_steps(state, node, rules):
    """Yield the steps of another node."""
    at = state.at[node]

    def move(new, reply=NOTHING, on_way=state.on_way):
        return state._replace(
            at=replace_at(state.at, node, new),
            replies=replace_at(state.replies, node, reply),
            on_way=on_way,
        )

    if at in (ARRIVING, HELD, SENT):
        yield f"{node} stops", move(STOPPED)
    if at == ARRIVING:
        yield f"{node} receives it", move(HELD)
    elif at == HELD:
        yield f"{node} sends it", move(SENT, on_way=state.on_way + 1)
        yield f"{node} refuses it", move(DONE, NOT_RUN)
        if not rules.has_one_hop:
            yield from list_further_hops(state, node)
    elif at == SENT:
        yield f"{node} answers", move(DONE, ANSWERED)
        lost = UNKNOWN if rules.refuses_unsent_only else NOT_RUN
        yield f"{node} loses the response", move(DONE, lost)


def list_further_hops(state, node):
    """Yield the steps of a node that forwards what was forwarded to it."""
    for other in range(OTHERS):
        if other == node or state.at[other] == STOPPED or state.hops[node] > OTHERS:
            continue
        at = replace_at(replace_at(state.at, node, DONE), other, ARRIVING)
        hops = replace_at(state.hops, other, state.hops[node] + 1)
        yield f"{node} forwards it to {other}", state._replace(at=at, hops=hops)


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
    return Protocol(
        name="forwarding",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "a request runs at most once": lambda s: s["runs"] <= 1,
            "a request that was refused as not run never runs": lambda s: (
                s["answer"] != NOT_RUN or not (s["runs"] or s["on_way"])
            ),
            "a request makes one hop at most": lambda s: max(s["hops"]) <= 1,
        },
    )
