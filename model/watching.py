"""Specification of consecutive watches with a delay inside the store's answer.

An operator declares versions while other clients write too. A relay reads the store
once and then watches it. The store lists the events of an answer at one moment and
reads the revision of the answer at a later one; a write in between is included in the
revision but not in the events.

`Rules` names the rule that a property depends on. The variant in `BROKEN` omits it.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "State", "build_protocol", "list_steps"]

MAX_VERSIONS = 3
MAX_REVISIONS = 6


@dataclass(frozen=True)
class Rules:
    """Rule of watching; the implementation follows it."""

    resumes_from_events: bool = True


BROKEN = {
    "a watch goes on from the store's revision": Rules(resumes_from_events=False),
}


class State(NamedTuple):
    """State of the store and the relay.

    ``written_at`` is the revision at which the store's version was written. ``listed``
    has the revision, the version and its ``written_at`` from the moment at which the
    events of the pending answer were listed; empty while no answer is pending.
    """

    revision: int = 1
    version: int = 1
    written_at: int = 1
    listed: tuple = ()
    relay_revision: int = 0
    relay_version: int = 0


def list_writes(state):
    """Yield the writes of the operator and of other clients."""
    if state.revision >= MAX_REVISIONS:
        return
    revision = state.revision + 1
    yield "others write", state._replace(revision=revision)
    if state.version < MAX_VERSIONS:
        yield "a version is accepted", state._replace(
            revision=revision, version=state.version + 1, written_at=revision
        )


def list_relay_steps(state, rules):
    """Yield the relay's read and the two stages of an answer to its watch."""
    if not state.relay_revision:
        yield "relay reads", state._replace(
            relay_revision=state.revision, relay_version=state.version
        )
    elif not state.listed:
        listed = (state.revision, state.version, state.written_at)
        yield "events are listed", state._replace(listed=listed)
    else:
        yield "the answer is sent", apply_answer(state, rules)


def apply_answer(state, rules):
    """Return the state after the relay has applied the answer to its watch."""
    revision, version, written_at = state.listed
    reported_version = (
        version if written_at > state.relay_revision else state.relay_version
    )
    resume_revision = revision if rules.resumes_from_events else state.revision
    return state._replace(
        listed=(),
        relay_revision=max(state.relay_revision, resume_revision),
        relay_version=reported_version,
    )


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    state = State(*state)
    state = state._replace(listed=tuple(state.listed))
    steps = [*list_writes(state), *list_relay_steps(state, rules)]
    return [(label, after) for label, after in steps if after != state]


def misses_nothing(state):
    """Return whether a relay that has reached a version's revision has the version."""
    has_reached = state["relay_revision"] >= state["written_at"]
    return not has_reached or state["relay_version"] == state["version"]


def is_settled(state):
    """Return whether the relay holds the newest version."""
    return state["relay_version"] == state["version"]


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
    return Protocol(
        name="watching",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={"what is counted was told": misses_nothing},
        goal=is_settled,
    )
