"""The specification of following a store that comes back from an older copy.

An operator declares versions; the store keeps a copy and comes back from it, once or
twice, and then lacks what was accepted since. The operator writes its newest version
again some time. A relay reads the store and watches it, a node takes the relay's word,
and either may be started anew.

`Rules` names each rule that a promise rests on. The variants in `BROKEN` each leave
one out.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "State", "build_protocol", "list_steps"]

MOST_VERSIONS = 2
MOST_REVISIONS = 2


@dataclass(frozen=True)
class Rules:
    """The rules of following; all hold in what is built."""

    compares_eras: bool = True
    keeps_accepted: bool = True
    reads_whole_in_a_new_era: bool = True
    asks_others_before_start: bool = True


BROKEN = {
    "a revision is a position of its own": Rules(compares_eras=False),
    "what the store tells replaces what was accepted": Rules(keeps_accepted=False),
    "a watch goes on over a restore": Rules(reads_whole_in_a_new_era=False),
    "a node serves by what it has read": Rules(asks_others_before_start=False),
}


class Store(NamedTuple):
    """The store: its position, the version that it holds and where that was written."""

    era: int = 1
    revision: int = 0
    version: int = 0
    written_at: int = 0


class Known(NamedTuple):
    """What a relay or a node holds; nothing in era 0."""

    era: int = 0
    revision: int = 0
    version: int = 0


class State(NamedTuple):
    """The store, its copy, the relay and the node.

    ``late`` is an answer of the store as it was before the last restore.
    ``went_back`` notes that a running node lost a version, ``began_behind`` that one
    began to serve by less than the relay held.
    """

    store: Store = Store()
    copy: Store = Store()
    late: Known = Known()
    accepted: int = 0
    relay: Known = Known()
    node: Known = Known()
    faults: int = 2
    went_back: bool = False
    began_behind: bool = False


def tell(store):
    """Return what a whole read of the store tells."""
    return Known(store.era, store.revision, store.version)


def take(held, told, rules):
    """Return what is held after it was told all that another holds."""
    if rules.compares_eras:
        is_behind = told[:2] < held[:2]
    else:
        is_behind = told.revision < held.revision
    if is_behind:
        return held
    version = max(held.version, told.version) if rules.keeps_accepted else told.version
    return Known(told.era, told.revision, version)


def watch(held, store):
    """Return what is held after a watch told what came after its revision."""
    if store.revision <= held.revision:
        return held
    version = held.version
    if store.written_at > held.revision:
        version = max(version, store.version)
    return Known(store.era, store.revision, version)


def list_store_steps(state):
    """Yield what the operator and others write, copies and restores."""
    store = state.store
    revision = store.revision + 1
    if revision <= MOST_REVISIONS:
        yield "others write", state._replace(store=store._replace(revision=revision))
    if state.accepted < MOST_VERSIONS and store.version == state.accepted:
        written = Store(store.era, revision, state.accepted + 1, revision)
        yield "a version is accepted", state._replace(
            store=written, accepted=state.accepted + 1
        )
    if store.version < state.accepted:
        written = Store(store.era, revision, state.accepted, revision)
        yield "it is written again", state._replace(store=written)
    if state.faults:
        if state.copy.version < store.version:
            yield "a copy is kept", state._replace(copy=store)
        restored = state.copy._replace(era=store.era + 1)
        yield "the store comes back from its copy", state._replace(
            store=restored, late=tell(store), faults=state.faults - 1
        )


def list_relay_steps(state, rules):
    """Yield the relay's reads and watches, and late answers to it."""
    is_other_era = state.relay.era != state.store.era
    if state.relay.era == 0 or (is_other_era and rules.reads_whole_in_a_new_era):
        read = take(state.relay, tell(state.store), rules)
        yield "relay reads", note(state, state._replace(relay=read))
    else:
        watched = watch(state.relay, state.store)
        yield "relay watches", note(state, state._replace(relay=watched))
    if state.late.era and state.relay.era:
        late = take(state.relay, state.late, rules)
        heard = state._replace(relay=late, late=Known())
        yield "an answer comes late", note(state, heard)


def list_node_steps(state, rules):
    """Yield the node's starts and what the relay tells it."""
    if state.node.era == 0:
        begun = tell(state.store)
        if rules.asks_others_before_start and state.relay.version > begun.version:
            begun = begun._replace(version=state.relay.version)
        behind = state.began_behind or begun.version < state.relay.version
        yield "node starts", state._replace(node=begun, began_behind=behind)
    elif state.relay.era:
        told = take(state.node, state.relay, rules)
        yield "relay tells", note(state, state._replace(node=told))
    if state.faults:
        fewer = state._replace(faults=state.faults - 1)
        yield "node is replaced", fewer._replace(node=Known())


def note(before, after):
    """Note that a running relay or node holds less than before."""
    is_back = (
        after.relay.version < before.relay.version
        or after.node.version < before.node.version
    )
    return after._replace(went_back=after.went_back or is_back)


def list_steps(state, rules):
    """Return every (label, state) that can follow."""
    state = State(*state)
    state = state._replace(
        store=Store(*state.store),
        copy=Store(*state.copy),
        late=Known(*state.late),
        relay=Known(*state.relay),
        node=Known(*state.node),
    )
    steps = [
        *list_store_steps(state),
        *list_relay_steps(state, rules),
        *list_node_steps(state, rules),
    ]
    return [(label, after) for label, after in steps if after != state]


def is_settled(state):
    """Tell whether relay and node hold what was accepted, and the store too."""
    versions = (state["store"][2], state["relay"][2], state["node"][2])
    return set(versions) == {state["accepted"]}


def build_protocol(rules=Rules()):
    """Return the specification as minicheck takes it."""
    return Protocol(
        name="restoring",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(state, rules),
        invariants={
            "what was accepted never reverts at a node": lambda s: not s["went_back"],
            "a node begins with what others hold": lambda s: not s["began_behind"],
        },
        goal=is_settled,
    )
