"""The specification of accepting and spreading changes.

Three operations touch one service: ``a`` and ``b`` race to create it, ``t``
removes what ``a`` made. A relay reads the store; a node takes messages of the
relay. The store can be away, lose answers, answer late or answer with an older
state; messages can be lost, doubled and late; relay and node can be replaced.

`Rules` names each rule that a promise rests on. The variants in `BROKEN` each
leave one out.
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
    """The rules of the protocol; all hold in the one that is built."""

    reads_back: bool = True
    checks_id_and_version: bool = True
    refuses_older: bool = True
    keeps_tombstone: bool = True
    sends_again: bool = True


BROKEN = {
    "a lost answer counts as accepted": Rules(reads_back=False),
    "a repeated operation is written again": Rules(checks_id_and_version=False),
    "whatever comes is taken": Rules(refuses_older=False),
    "a removed service is forgotten": Rules(keeps_tombstone=False),
    "a change is sent once only": Rules(sends_again=False),
}


class State(NamedTuple):
    """What the store, the writers, the relay and the node hold.

    ``log`` is the change log in the store. ``writers`` has each operation's
    status and ``wire`` the writes on their way with the length of the log that
    their CAS names. ``went_back`` notes that a running node lost a change.
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
    """Return the state with another status of an operation."""
    writers = list(state.writers)
    writers[NAMES.index(name)] = status
    return state._replace(writers=tuple(writers))


def list_writer_steps(state, rules):
    """Yield what operators and their writers can do."""
    for name, status in zip(NAMES, state.writers):
        if not state.up:
            if status == LOST:
                yield f"{name} gives up", set_writer(state, name, UNKNOWN)
            continue
        if status in (IDLE, LOST, UNKNOWN):
            yield from list_write_steps(state, name, status, rules)


def list_write_steps(state, name, status, rules):
    """Yield the reading and writing of one operation."""
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
    """Yield what can become of the writes on their way."""
    for item in state.wire:
        name, base = item
        rest = tuple(other for other in state.wire if other != item)
        arrived = state._replace(wire=rest)
        if state.up and len(state.log) == base:
            done = arrived._replace(log=(*state.log, name))
            yield f"{name} takes effect", answer(done, name, ACCEPTED)
            if state.faults:
                lost = done._replace(faults=state.faults - 1)
                yield f"{name} takes effect unheard", answer(lost, name, LOST)
        elif state.up:
            yield f"{name} meets another version", answer(arrived, name, LOST)
        if state.faults:
            fewer = arrived._replace(faults=state.faults - 1)
            yield f"{name} is lost", answer(fewer, name, LOST)
            if is_waiting(state, name):
                late = state._replace(faults=state.faults - 1)
                yield f"{name} is late", set_writer(late, name, LOST)


def is_waiting(state, name):
    """Tell whether a writer still waits for its answer."""
    return state.writers[NAMES.index(name)] == SENT


def answer(state, name, status):
    """Return the state after an answer, which only a waiting writer hears."""
    return set_writer(state, name, status) if is_waiting(state, name) else state


def take(held, offered, rules):
    """Return what a relay or node holds after it was offered a state."""
    if not rules.refuses_older:
        return offered
    length = len(held)
    if not rules.keeps_tombstone and held and held[-1] == "t":
        length = 0
    return offered if len(offered) > length else held


def list_spread_steps(state, rules):
    """Yield the steps of relay and node."""
    if state.up:
        relay = take(state.relay, state.log, rules)
        yield "relay reads", note(state, state._replace(relay=relay))
        if state.faults and state.log:
            stale = take(state.relay, state.log[:-1], rules)
            fewer = state._replace(relay=stale, faults=state.faults - 1)
            yield "relay reads an older state", note(state, fewer)
    may_send = rules.sends_again or len(state.relay) > state.sent
    if state.message is None and may_send:
        sent = max(state.sent, len(state.relay))
        yield "relay sends", state._replace(message=state.relay, sent=sent)
    if state.message is not None:
        node = take(state.node, state.message, rules)
        got = state._replace(node=node)
        yield "message arrives", note(state, got._replace(message=None))
        if state.faults:
            fewer = got._replace(faults=state.faults - 1)
            yield "message arrives and comes again", note(state, fewer)
            lost = state._replace(message=None, faults=state.faults - 1)
            yield "message is lost", lost


def note(before, after):
    """Note that a running relay or node holds less than before."""
    back = any(
        new[: len(old)] != old
        for old, new in ((before.relay, after.relay), (before.node, after.node))
    )
    return after._replace(went_back=after.went_back or back)


def list_fault_steps(state):
    """Yield outages and replacements."""
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
    """Return every (label, state) that can follow."""
    state = State(*state)
    steps = [
        *list_writer_steps(state, rules),
        *list_store_steps(state),
        *list_spread_steps(state, rules),
        *list_fault_steps(state),
    ]
    return [(label, after) for label, after in steps if after != state]


def keeps_accepted(state):
    """Tell whether every operation that was told accepted is in the log."""
    return all(
        name in state["log"]
        for name, status in zip(NAMES, state["writers"])
        if status == ACCEPTED
    )


def build_protocol(rules=Rules()):
    """Return the specification as minicheck takes it."""
    return Protocol(
        name="spreading",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "an accepted change is never reverted": keeps_accepted,
            "an older version never replaces a newer one": lambda s: not s["went_back"],
            "an operation takes effect at most once": lambda s: len(set(s["log"]))
            == len(s["log"]),
            "what nodes hold was accepted in this order": lambda s: s["relay"]
            == s["log"][: len(s["relay"])]
            and s["node"] == s["log"][: len(s["node"])],
        },
        goal=lambda s: s["node"] == s["log"] == s["relay"],
    )
