"""The specification of endpoints that start again under their identity.

An endpoint says where it stands in entries that are numbered anew in each life; a word
of an earlier life may still be under way, and come after any later one. It may say that
it leaves, which binds that life only. A node holds the newest word that it knows.

`Rules` names each rule that a promise rests on. The variants in `BROKEN` each leave
one out.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "State", "build_protocol", "list_steps"]

MOST_LIVES = 3
MOST_WORDS = 2


@dataclass(frozen=True)
class Rules:
    """The rules of lives; all hold in what is built."""

    life_goes_before_number: bool = True
    number_orders_in_a_life: bool = True
    drain_ends_with_the_life: bool = True


BROKEN = {
    "numbers alone tell which word is newer": Rules(life_goes_before_number=False),
    "the last word that comes counts": Rules(number_orders_in_a_life=False),
    "a drain binds whoever has the identity": Rules(drain_ends_with_the_life=False),
}


class Word(NamedTuple):
    """What an endpoint said: its life, the number of the word, and if it leaves."""

    life: int = 0
    number: int = 0
    leaves: bool = False


class State(NamedTuple):
    """The endpoint's last word, one that is under way, and what the node holds.

    ``went_back`` notes that the node took a word of an earlier life, ``sent_to_leaver``
    that it would send to a life that it knew to leave.
    """

    said: Word = Word(1, 1)
    under_way: Word = Word()
    held: Word = Word()
    went_back: bool = False
    sent_to_leaver: bool = False


def is_newer(word, held, rules):
    """Tell whether a node takes a word in place of the one that it holds."""
    if not rules.life_goes_before_number:
        return word.number > held.number
    if not rules.number_orders_in_a_life:
        return word.life >= held.life
    return word[:2] > held[:2]


def take(state, word, rules):
    """Return the state after a word came to the node."""
    held = state.held
    if not is_newer(word, held, rules):
        return state
    if held.leaves and not rules.drain_ends_with_the_life:
        word = word._replace(leaves=True)
    forgets = held.leaves and not word.leaves and word.life == held.life
    return state._replace(
        held=word,
        went_back=state.went_back or word.life < held.life,
        sent_to_leaver=state.sent_to_leaver or forgets,
    )


def list_steps(state, rules):
    """Return every (label, state) that can follow."""
    said, under_way, held = (Word(*word) for word in state[:3])
    state = State(said, under_way, held, *state[3:])
    steps = [("the word comes to the node", take(state, said, rules))]
    if under_way.life:
        late = take(state, under_way, rules)._replace(under_way=Word())
        steps.append(("an earlier word comes late", late))
    if said.number < MOST_WORDS:
        again = said._replace(number=said.number + 1)
        steps.append(("it says the same again", state._replace(said=again)))
        leaving = again._replace(leaves=True)
        left = state._replace(said=leaving, under_way=said)
        steps.append(("it begins to leave", left))
    if said.life < MOST_LIVES:
        begun = state._replace(said=Word(said.life + 1, 1), under_way=said)
        steps.append(("it starts again", begun))
    return [(label, after) for label, after in steps if after != state]


def is_settled(state):
    """Tell whether the node holds the endpoint's last word."""
    return tuple(state["held"]) == tuple(state["said"])


def build_protocol(rules=Rules()):
    """Return the specification as minicheck takes it."""
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
