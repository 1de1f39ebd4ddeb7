"""Specification of accepting and distributing configuration changes.

Three operations change one service: ``a`` and ``b`` race to create it, ``t`` removes
it again. A relay reads the store; a node applies messages of the relay. The store can
be unavailable, lose answers, answer late or answer with an older state; messages can
be lost, duplicated and delayed; relay and node can be replaced.

`Rules` names each rule that a property depends on. Each variant in `BROKEN` omits one.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "OPERATIONS", "Rules", "State", "build_protocol", "list_steps"]

OPERATIONS = {"a": 0, "b": 0, "t": 1}
IDLE, SENT, LOST, ACCEPTED, CONFLICT, UNKNOWN = (
    "idle",
    "sent",
    "lost",
    "accepted",
    "conflict",
    "unknown",
)


@dataclass(frozen=True)
class Rules:
    """Rules of the protocol; the implementation follows all of them."""

    reads_back: bool = True
    checks_id_and_version: bool = True
    rejects_older: bool = True
    keeps_tombstone: bool = True
    resends: bool = True


BROKEN = {
    "a lost answer counts as accepted": Rules(reads_back=False),
    "a repeated operation is written again": Rules(checks_id_and_version=False),
    "whatever comes is taken": Rules(rejects_older=False),
    "a removed service is forgotten": Rules(keeps_tombstone=False),
    "a change is sent once only": Rules(resends=False),
}


class State(NamedTuple):
    """State of the store, the writers, the relay and the node.

    ``log`` is the change log in the store. ``writers`` has the status of each
    operation, ``wire`` the writes in flight with the log length that their
    compare-and-swap expects. ``went_back`` records that a running relay or node lost
    a change.
    """

    log: tuple = ()
    writers: tuple = (IDLE, IDLE, IDLE)
    wire: tuple = ()
    up: bool = True
    relay: tuple = ()
    node: tuple = ()
    message: tuple | None = None
    sent: int = 0
    faults: int = 3
    went_back: bool = False


NAMES = tuple(OPERATIONS)


def set_writer(state, name, status):
    """Return the state with a new status of an operation."""
    writers = list(state.writers)
    writers[NAMES.index(name)] = status
    return state._replace(writers=tuple(writers))


def list_writer_steps(state, rules):
    """Yield the steps of the operators' writers."""
    for name, status in zip(NAMES, state.writers):
        if not state.up:
            if status == LOST:
                yield f"{name} gives up", set_writer(state, name, UNKNOWN)
            continue
        if status in (IDLE, LOST, UNKNOWN):
            yield from list_write_steps(state, name, status, rules)


def list_write_steps(state, name, status, rules):
    """Yield the read-back and write of one operation."""
    if status == LOST and not rules.reads_back:
        yield f"{name} assumes success", set_writer(state, name, ACCEPTED)
        return
    if rules.checks_id_and_version:
        if name in state.log:
            yield f"{name} reads itself back", set_writer(state, name, ACCEPTED)
            return
        if len(state.log) != OPERATIONS[name]:
            if len(state.log) > OPERATIONS[name]:
                yield f"{name} conflicts", set_writer(state, name, CONFLICT)
            return
    if len(state.log) >= 3 or any(item[0] == name for item in state.wire):
        return
    sent = set_writer(state, name, SENT)
    wire = tuple(sorted((*state.wire, (name, len(state.log)))))
    yield f"{name} writes", sent._replace(wire=wire)


def list_store_steps(state):
    """Yield the possible outcomes of the writes in flight."""
    for item in state.wire:
        name, base = item
        other_writes = tuple(other for other in state.wire if other != item)
        arrived = state._replace(wire=other_writes)
        if state.up and len(state.log) == base:
            done = arrived._replace(log=(*state.log, name))
            yield f"{name} takes effect", deliver_answer(done, name, ACCEPTED)
            if state.faults:
                lost = done._replace(faults=state.faults - 1)
                yield f"{name} takes effect unheard", deliver_answer(lost, name, LOST)
        elif state.up:
            yield f"{name} meets another version", deliver_answer(arrived, name, LOST)
        if state.faults:
            fewer = arrived._replace(faults=state.faults - 1)
            yield f"{name} is lost", deliver_answer(fewer, name, LOST)
            if is_waiting(state, name):
                late = state._replace(faults=state.faults - 1)
                yield f"{name} is late", set_writer(late, name, LOST)


def is_waiting(state, name):
    """Return whether a writer still waits for its answer."""
    return state.writers[NAMES.index(name)] == SENT


def deliver_answer(state, name, status):
    """Return the state after an answer, which only a waiting writer receives."""
    return set_writer(state, name, status) if is_waiting(state, name) else state


def apply_log(known, received, rules):
    """Return the log of a relay or node after it received another log."""
    if not rules.rejects_older:
        return received
    length = len(known)
    if not rules.keeps_tombstone and known and known[-1] == "t":
        length = 0
    return received if len(received) > length else known


def list_spread_steps(state, rules):
    """Yield the reads and messages of relay and node."""
    if state.up:
        relay = apply_log(state.relay, state.log, rules)
        yield "relay reads", record_regression(state, state._replace(relay=relay))
        if state.faults and state.log:
            stale = apply_log(state.relay, state.log[:-1], rules)
            fewer = state._replace(relay=stale, faults=state.faults - 1)
            yield "relay reads an older state", record_regression(state, fewer)
    may_send = rules.resends or len(state.relay) > state.sent
    if state.message is None and may_send:
        sent = max(state.sent, len(state.relay))
        yield "relay sends", state._replace(message=state.relay, sent=sent)
    if state.message is not None:
        node = apply_log(state.node, state.message, rules)
        got = state._replace(node=node)
        yield "message arrives", record_regression(state, got._replace(message=None))
        if state.faults:
            fewer = got._replace(faults=state.faults - 1)
            yield "message arrives and comes again", record_regression(state, fewer)
            lost = state._replace(message=None, faults=state.faults - 1)
            yield "message is lost", lost


def record_regression(before, after):
    """Record in the state whether a running relay or node lost a change."""
    is_regression = any(
        new[: len(old)] != old
        for old, new in ((before.relay, after.relay), (before.node, after.node))
    )
    return after._replace(went_back=after.went_back or is_regression)


def list_fault_steps(state):
    """Yield store outages and replacements of relay and node."""
    if not state.up:
        yield "store comes back", state._replace(up=True)
    if not state.faults:
        return
    fewer = state._replace(faults=state.faults - 1)
    if state.up:
        yield "store goes away", fewer._replace(up=False)
    yield "relay is replaced", fewer._replace(relay=())
    yield "node is replaced", fewer._replace(node=())


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    state = State(*state)
    steps = [
        *list_writer_steps(state, rules),
        *list_store_steps(state),
        *list_spread_steps(state, rules),
        *list_fault_steps(state),
    ]
    return [(label, after) for label, after in steps if after != state]


def contains_accepted(state):
    """Return whether every operation reported as accepted is in the log."""
    return all(
        name in state["log"]
        for name, status in zip(NAMES, state["writers"])
        if status == ACCEPTED
    )


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
    return Protocol(
        name="spreading",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "an accepted change is never reverted": contains_accepted,
            "an older version never replaces a newer one": lambda s: not s["went_back"],
            "an operation takes effect at most once": lambda s: len(set(s["log"]))
            == len(s["log"]),
            "what nodes hold was accepted in this order": lambda s: s["relay"]
            == s["log"][: len(s["relay"])]
            and s["node"] == s["log"][: len(s["node"])],
        },
        goal=lambda s: s["node"] == s["log"] == s["relay"],
    )
