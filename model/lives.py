"""Specification of endpoints that restart under the same identity.

An endpoint announces its state in entries whose sequence numbers start over with each
incarnation. An entry of an earlier incarnation may still be in flight and arrive after
any later one. An endpoint may announce that it leaves, which applies to that
incarnation only. A node keeps the newest entry that it knows.

`Rules` names each rule that a property depends on. Each variant in `BROKEN` omits one.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "State", "build_protocol", "list_steps"]

MAX_INCARNATIONS = 3
MAX_ENTRIES_PER_INCARNATION = 2


@dataclass(frozen=True)
class Rules:
    """Rules of incarnations; the implementation follows all of them."""

    incarnation_precedes_sequence: bool = True
    sequence_orders_incarnation: bool = True
    drain_ends_with_incarnation: bool = True


BROKEN = {
    "numbers alone tell which word is newer": Rules(
        incarnation_precedes_sequence=False
    ),
    "the last word that comes counts": Rules(sequence_orders_incarnation=False),
    "a drain binds whoever has the identity": Rules(drain_ends_with_incarnation=False),
}


class Entry(NamedTuple):
    """Announced entry: incarnation, sequence number and whether the endpoint leaves."""

    incarnation: int = 0
    sequence: int = 0
    leaves: bool = False


class State(NamedTuple):
    """The endpoint's last entry, an earlier one in flight, and the node's entry.

    ``went_back`` records that the node accepted an entry of an earlier incarnation,
    ``sent_to_leaver`` that it would send to an incarnation known to be leaving.
    """

    announced: Entry = Entry(1, 1)
    in_flight: Entry = Entry()
    held: Entry = Entry()
    went_back: bool = False
    sent_to_leaver: bool = False


def is_newer(entry, held, rules):
    """Return whether a received entry replaces the one that the node holds."""
    if not rules.incarnation_precedes_sequence:
        return entry.sequence > held.sequence
    if not rules.sequence_orders_incarnation:
        return entry.incarnation >= held.incarnation
    return entry[:2] > held[:2]


def apply_entry(state, entry, rules):
    """Return the state after the node received an entry."""
    held = state.held
    if not is_newer(entry, held, rules):
        return state
    if held.leaves and not rules.drain_ends_with_incarnation:
        entry = entry._replace(leaves=True)
    forgets = held.leaves and not entry.leaves and entry.incarnation == held.incarnation
    return state._replace(
        held=entry,
        went_back=state.went_back or entry.incarnation < held.incarnation,
        sent_to_leaver=state.sent_to_leaver or forgets,
    )


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    announced, in_flight, held = (Entry(*entry) for entry in state[:3])
    state = State(announced, in_flight, held, *state[3:])
    steps = [("the word comes to the node", apply_entry(state, announced, rules))]
    if in_flight.incarnation:
        late = apply_entry(state, in_flight, rules)._replace(in_flight=Entry())
        steps.append(("an earlier word comes late", late))
    if announced.sequence < MAX_ENTRIES_PER_INCARNATION:
        again = announced._replace(sequence=announced.sequence + 1)
        steps.append(("it says the same again", state._replace(announced=again)))
        leaving = again._replace(leaves=True)
        left = state._replace(announced=leaving, in_flight=announced)
        steps.append(("it begins to leave", left))
    if announced.incarnation < MAX_INCARNATIONS:
        restarted = state._replace(
            announced=Entry(announced.incarnation + 1, 1), in_flight=announced
        )
        steps.append(("it starts again", restarted))
    return [(label, after) for label, after in steps if after != state]


def is_settled(state):
    """Return whether the node holds the endpoint's last entry."""
    return tuple(state["held"]) == tuple(state["announced"])


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
    return Protocol(
        name="lives",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "no earlier life's word counts": lambda s: not s["went_back"],
            "a life that leaves gets nothing": lambda s: not s["sent_to_leaver"],
        },
        goal=is_settled,
    )
