"""The specification of one watch after another, where the store's answer takes time.

An operator declares versions and others write besides. A relay reads the store once and
watches it. The store lists the events of an answer at one moment and reads the revision
that goes with them at a later one; what is written in between is counted and not told.

`Rules` names the rule that a promise rests on. The variant in `BROKEN` leaves it out.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "State", "build_protocol", "list_steps"]

MOST_VERSIONS = 3
MOST_REVISIONS = 6


@dataclass(frozen=True)
class Rules:
    """The rule of watching; it holds in what is built."""

    goes_on_from_events: bool = True


BROKEN = {
    "a watch goes on from the store's revision": Rules(goes_on_from_events=False),
}


class State(NamedTuple):
    """What the store and the relay hold.

    ``written_at`` is the revision of the store's version. ``listed`` are the revision,
    the version and its revision as the events of the answer under way were listed;
    empty while the relay does not watch.
    """

    revision: int = 1
    version: int = 1
    written_at: int = 1
    listed: tuple = ()
    relay_revision: int = 0
    relay_version: int = 0


def list_writes(state):
    """Yield what the operator and others write."""
    if state.revision >= MOST_REVISIONS:
        return
    revision = state.revision + 1
    yield "others write", state._replace(revision=revision)
    if state.version < MOST_VERSIONS:
        yield "a version is accepted", state._replace(
            revision=revision, version=state.version + 1, written_at=revision
        )


def list_relay_steps(state, rules):
    """Yield the relay's read, and the two moments of an answer to its watch."""
    if not state.relay_revision:
        yield "relay reads", state._replace(
            relay_revision=state.revision, relay_version=state.version
        )
    elif not state.listed:
        listed = (state.revision, state.version, state.written_at)
        yield "events are listed", state._replace(listed=listed)
    else:
        yield "the answer is sent", take_answer(state, rules)


def take_answer(state, rules):
    """Return the state after the relay has taken the answer to its watch."""
    revision, version, written_at = state.listed
    told = version if written_at > state.relay_revision else state.relay_version
    end = revision if rules.goes_on_from_events else state.revision
    return state._replace(
        listed=(),
        relay_revision=max(state.relay_revision, end),
        relay_version=told,
    )


def list_steps(state, rules):
    """Return every (label, state) that can follow."""
    state = State(*state)
    state = state._replace(listed=tuple(state.listed))
    steps = [*list_writes(state), *list_relay_steps(state, rules)]
    return [(label, after) for label, after in steps if after != state]


def misses_nothing(state):
    """Tell whether a relay that is as far as a version was told of it."""
    is_far = state["relay_revision"] >= state["written_at"]
    return not is_far or state["relay_version"] == state["version"]


def is_settled(state):
    """Tell whether the relay holds the newest version."""
    return state["relay_version"] == state["version"]


def build_protocol(rules=Rules()):
    """Return the specification as minicheck takes it."""
    return Protocol(
        name="watching",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={"what is counted was told": misses_nothing},
        goal=is_settled,
    )
