"""Specification of following a store that is restored from an older copy.

An operator declares versions. The store keeps a copy and is restored from it once or
twice, which loses the versions accepted since. The operator eventually writes its
newest version again. A relay reads and watches the store, a node applies the relay's
reports, and the node may be replaced.

`Rules` names each rule that a property depends on. Each variant in `BROKEN` omits one.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "State", "build_protocol", "list_steps"]

MAX_VERSIONS = 2
MAX_REVISIONS = 2


@dataclass(frozen=True)
class Rules:
    """Rules of following; the implementation follows all of them."""

    compares_eras: bool = True
    keeps_accepted: bool = True
    rereads_in_new_era: bool = True
    queries_peers_before_start: bool = True


BROKEN = {
    "a revision is a position of its own": Rules(compares_eras=False),
    "what the store tells replaces what was accepted": Rules(keeps_accepted=False),
    "a watch goes on over a restore": Rules(rereads_in_new_era=False),
    "a node serves by what it has read": Rules(queries_peers_before_start=False),
}


class Store(NamedTuple):
    """Position of the store, its version and the revision that wrote the version."""

    era: int = 1
    revision: int = 0
    version: int = 0
    written_at: int = 0


class Known(NamedTuple):
    """Records of a relay or a node; empty in era 0."""

    era: int = 0
    revision: int = 0
    version: int = 0


class State(NamedTuple):
    """The store, its copy, the relay and the node.

    ``late`` is a delayed answer of the store from before the last restore.
    ``went_back`` records that a running relay or node lost a version,
    ``began_behind`` that a node began to serve with an older version than the relay's.
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


def read_store(store):
    """Return the result of a full read of the store."""
    return Known(store.era, store.revision, store.version)


def apply_report(known, reported, rules):
    """Return the records after a full report was applied to them."""
    if rules.compares_eras:
        is_behind = reported[:2] < known[:2]
    else:
        is_behind = reported.revision < known.revision
    if is_behind:
        return known
    version = (
        max(known.version, reported.version)
        if rules.keeps_accepted
        else reported.version
    )
    return Known(reported.era, reported.revision, version)


def watch(known, store):
    """Return the records after a watch reported the events since their revision."""
    if store.revision <= known.revision:
        return known
    version = known.version
    if store.written_at > known.revision:
        version = max(version, store.version)
    return Known(store.era, store.revision, version)


def list_store_steps(state):
    """Yield the writes of the operator and other clients, copies and restores."""
    store = state.store
    revision = store.revision + 1
    if revision <= MAX_REVISIONS:
        yield "others write", state._replace(store=store._replace(revision=revision))
    if state.accepted < MAX_VERSIONS and store.version == state.accepted:
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
            store=restored, late=read_store(store), faults=state.faults - 1
        )


def list_relay_steps(state, rules):
    """Yield the relay's reads and watches and the late answers that it receives."""
    is_other_era = state.relay.era != state.store.era
    if state.relay.era == 0 or (is_other_era and rules.rereads_in_new_era):
        read = apply_report(state.relay, read_store(state.store), rules)
        yield "relay reads", record_regression(state, state._replace(relay=read))
    else:
        watched = watch(state.relay, state.store)
        yield "relay watches", record_regression(state, state._replace(relay=watched))
    if state.late.era and state.relay.era:
        late = apply_report(state.relay, state.late, rules)
        received = state._replace(relay=late, late=Known())
        yield "an answer comes late", record_regression(state, received)


def list_node_steps(state, rules):
    """Yield the node's starts and replacements and the relay's reports to it."""
    if state.node.era == 0:
        started = read_store(state.store)
        if rules.queries_peers_before_start and state.relay.version > started.version:
            started = started._replace(version=state.relay.version)
        behind = state.began_behind or started.version < state.relay.version
        yield "node starts", state._replace(node=started, began_behind=behind)
    elif state.relay.era:
        reported = apply_report(state.node, state.relay, rules)
        yield "relay tells", record_regression(state, state._replace(node=reported))
    if state.faults:
        fewer = state._replace(faults=state.faults - 1)
        yield "node is replaced", fewer._replace(node=Known())


def record_regression(before, after):
    """Record in the state whether a running relay or node lost a version."""
    is_regression = (
        after.relay.version < before.relay.version
        or after.node.version < before.node.version
    )
    return after._replace(went_back=after.went_back or is_regression)


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
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
    """Return whether store, relay and node all hold the last accepted version."""
    versions = (state["store"][2], state["relay"][2], state["node"][2])
    return set(versions) == {state["accepted"]}


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol."""
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
