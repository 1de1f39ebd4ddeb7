"""Specification of the early end of a takeover of an organisation's quota.

Two nodes may be the coordinator, node 0 before node 1. Node 2 is another one, and node
3 stands for the others, which are most nodes and accept a coordinator. One lease is on
the whole rate, so that two valid leases exceed it. Either a fleet runs, and some nodes
are cut off and come back and a coordinator restarts, or it starts with lists that are
incomplete at nodes 0 to 2. Lists differ within a tick only, and nodes with leases
report in each tick to a coordinator that they reach. Parts that do not reach each other
but the same majority, and pools, are not in this specification.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["BROKEN", "Rules", "build_protocol"]

NODES = (0, 1, 2, 3)
MOST = 3
ALL = 0b1111
COORDINATORS = (0, 1)
# Nodes that are cut off together, as sums of powers of two.
CUTS = (0b0001, 0b0100, 0b0101)
LONG_AGO = -9
LEASE = 2
OWN_LEASE = 1
CONFIRMED = 1
TAKEOVER = LEASE + CONFIRMED
# Ticks after which a coordinator that left has ended, for which lists of a starting
# fleet may be incomplete, and for which a node that started may join lists.
ENDED = CONFIRMED + OWN_LEASE
START = 1
JOIN = ENDED - 1
LAST_TICK = 3
MAX_RESTARTS = 1


@dataclass(frozen=True)
class Rules:
    """Rules of takeovers; the implementation follows all of them."""

    waits_for_leases: bool = True
    keeps_those_who_left: bool = True
    remembers_those_who_left: bool = True
    waits_for_earlier: bool = True
    compares_lists: bool = True
    asks_again: bool = True
    needs_others: bool = True
    needs_majority: bool = True
    learns_of_absence: bool = True
    ends_own_lease: bool = True


BROKEN = {
    "a takeover ends before all nodes have told": Rules(waits_for_leases=False),
    "a node that leaves in a takeover need not tell": Rules(keeps_those_who_left=False),
    "nodes tell though others left just before": Rules(remembers_those_who_left=False),
    "a takeover ends while the earlier coordinator may grant": Rules(
        waits_for_earlier=False
    ),
    "a takeover ends with different lists": Rules(compares_lists=False),
    "a node that told with another list is not asked again": Rules(asks_again=False),
    "a starting node without others grants": Rules(needs_others=False),
    "a minority excludes nodes": Rules(needs_majority=False),
    "an idle coordinator does not learn of its absence": Rules(learns_of_absence=False),
    "a coordinator that begins anew uses its own lease further": Rules(
        ends_own_lease=False
    ),
}


class Coordinator(NamedTuple):
    """A coordinator that has been used since it began.

    ``missing`` and ``differing`` are sets of nodes; ``known`` has the last tick of the
    lease of each node.
    """

    missing: int
    differing: int
    normal_from: int
    ended_from: int
    known: tuple = (LONG_AGO,) * 4


class State(NamedTuple):
    """The clock, the fleet, the lists, the leases, and the coordinators.

    ``lists`` has the set of nodes in the list of each node, ``left`` the ticks at which
    nodes last left it, and ``joined`` the tick at which nodes last joined that of most
    nodes. ``cut`` is the set of the nodes that are cut off.
    """

    now: int = 0
    phase: str = "initial"
    cut: int = 0
    cut_at: int = LONG_AGO
    lists: tuple = (ALL,) * 4
    left: tuple = (LONG_AGO,) * 4
    joined: int = LONG_AGO
    leases: tuple = (LONG_AGO,) * 4
    coordinators: tuple = (None, None)
    begin: tuple = (LONG_AGO, LONG_AGO)
    restarts: int = 0


def replace_at(values, index, value):
    """Return a copy of the tuple with one value replaced."""
    return tuple(value if i == index else old for i, old in enumerate(values))


def has(nodes, node):
    """Return whether a set has a node."""
    return bool(nodes >> node & 1)


def find_first(nodes):
    """Return the first node of a set."""
    return next(node for node in NODES if has(nodes, node))


def is_cut(state, node):
    """Return whether a node is cut off from most nodes."""
    return has(state.cut, node)


def is_confirmed(state, node):
    """Return whether most nodes of a coordinator's list accept it."""
    others = state.lists[node] & ~(1 << node)
    if not others:
        return True
    if has(others, MOST):
        if is_cut(state, node) and state.now >= state.cut_at + CONFIRMED:
            return False
        if has(state.lists[MOST], node):
            return True
        return state.now < state.left[MOST] + CONFIRMED and state.phase == "running"
    return any(has(others, n) and has(state.lists[n], node) for n in NODES)


def find_leaseholders(state, viewer, coordinator, rules):
    """Return the nodes that left a node's list and may use leases."""
    gone = ALL & ~state.lists[viewer]
    if state.phase != "running" or state.now - state.left[viewer] > TAKEOVER:
        return 0
    # An earlier coordinator that left alone gave leases to itself only.
    if not rules.remembers_those_who_left or (coordinator == 1 and gone == 0b0001):
        return 0
    return gone


def may_tell(state, node, coordinator, rules):
    """Return whether a report may end a takeover early."""
    is_ended = state.now - state.left[node] >= ENDED
    if coordinator == 1 and rules.waits_for_earlier and not is_ended:
        return False
    return not find_leaseholders(state, node, coordinator, rules)


def create(state, node, rules):
    """Return a coordinator as it begins."""
    since, ended_from = state.begin[node], LONG_AGO
    if node == 1 and state.left[1] > LONG_AGO and not has(state.lists[1], 0):
        since = max(since, state.left[1])
        ended_from = state.left[1] + ENDED if rules.waits_for_earlier else LONG_AGO
    others = state.lists[node] & ~(1 << node)
    missing = others | find_leaseholders(state, node, node, rules)
    return Coordinator(missing, others, since + TAKEOVER, ended_from)


def end_takeover(state, node, coordinator, rules):
    """Return a coordinator after it has counted the leases that it knows."""
    is_listed = state.now >= state.begin[node] + START
    has_others = state.lists[node] != 1 << node or not rules.needs_others
    are_equal = has_others and not coordinator.differing
    knows_all = not coordinator.missing or not rules.waits_for_leases
    is_early = (
        knows_all
        and state.now >= coordinator.ended_from
        and (is_listed or are_equal or not rules.compares_lists)
    )
    if state.now >= coordinator.normal_from or is_early:
        return Coordinator(0, 0, LONG_AGO, LONG_AGO, coordinator.known)
    return coordinator


def set_coordinator(state, node, coordinator):
    """Return the state with another state of a coordinator."""
    coordinators = replace_at(state.coordinators, node, coordinator)
    return state._replace(coordinators=coordinators)


def change_list(state, node, nodes, rules):
    """Return the state after a change of a node's list."""
    before = state.lists[node]
    joined, left = nodes & ~before, before & ~nodes
    changed = state._replace(lists=replace_at(state.lists, node, nodes))
    if left:
        changed = changed._replace(left=replace_at(state.left, node, state.now))
    if joined and node == MOST:
        changed = changed._replace(joined=state.now)
    if node not in COORDINATORS or state.coordinators[node] is None:
        return changed
    if find_first(nodes) != node:
        return set_coordinator(changed, node, None)
    coordinator = state.coordinators[node]
    if coordinator.normal_from > state.now:
        missing = coordinator.missing | joined
        if not rules.keeps_those_who_left:
            missing &= ~left
        others = nodes & ~(1 << node)
        coordinator = coordinator._replace(missing=missing, differing=others)
    return set_coordinator(changed, node, coordinator)


def change_lists(state, node, nodes, rules):
    """Return the state after a change of a node's list.

    That of node 2 changes with that of most nodes unless it is cut off, which saves
    states.
    """
    changed = change_list(state, node, nodes, rules)
    if node == MOST and not is_cut(state, 2) and state.lists[2] != nodes:
        changed = change_list(changed, 2, nodes, rules)
    return changed


def begin_anew(state, node, begin, rules):
    """Return the state after a coordinator forgot what it granted."""
    leases = state.leases
    if rules.ends_own_lease:
        leases = replace_at(leases, node, LONG_AGO)
    begun = state._replace(begin=replace_at(state.begin, node, begin), leases=leases)
    return set_coordinator(begun, node, None)


def list_steps(state, rules):
    """Return the (label, next state) pairs of all enabled transitions."""
    state = State(*state)
    state = state._replace(
        coordinators=tuple(c and Coordinator(*c) for c in state.coordinators)
    )
    if state.phase == "initial":
        return list_beginnings(state)
    steps = []
    if may_tick(state):
        steps.append(("tick", tick(report_leases(state, rules))))
    if state.phase == "starting":
        for node in NODES:
            if state.lists[node] != ALL:
                label = f"the list of {node} is complete"
                steps.append((label, change_list(state, node, ALL, rules)))
    else:
        steps += list_faults(state, rules)
    for node in COORDINATORS:
        if find_first(state.lists[node]) == node and is_confirmed(state, node):
            steps += list_grants(learn_of_absence(state, node, rules), node, rules)
    return steps


def tick(state):
    """Return the state one tick later, without times that no longer matter."""
    now = state.now + 1
    coordinators = []
    for coordinator in state.coordinators:
        if coordinator is not None:
            known = keep_from(coordinator.known, now)
            coordinator = coordinator._replace(known=known)
            if coordinator.normal_from <= now:
                coordinator = Coordinator(0, 0, LONG_AGO, LONG_AGO, known)
        coordinators.append(coordinator)
    return state._replace(
        now=now,
        leases=keep_from(state.leases, now),
        left=keep_from(state.left, now - TAKEOVER),
        coordinators=tuple(coordinators),
    )


def keep_from(times, since):
    """Return the times of which those before a tick are replaced."""
    return tuple(at if at >= since else LONG_AGO for at in times)


def list_beginnings(state):
    """Yield a fleet that runs, and all that start."""
    yield "a fleet runs", state._replace(phase="running")
    for first in range(8):
        for second in range(8):
            for third in range(8):
                gaps = [spread(g, n) for n, g in enumerate((first, second, third))]
                lists = (*(ALL & ~gap for gap in gaps), ALL)
                begun = state._replace(phase="starting", lists=lists, begin=(0, 0))
                label = "a fleet starts with lists " + ", ".join(
                    "".join(str(n) for n in NODES if has(nodes, n)) for nodes in lists
                )
                yield label, begun


def spread(number, node):
    """Return a set of the other nodes by its number."""
    low = number & ((1 << node) - 1)
    return low | (number >> node) << (node + 1)


def may_tick(state):
    """Return whether time may advance: lists differ within a tick only."""
    if state.now >= LAST_TICK:
        return False
    lists = {state.lists[n] for n in NODES if not is_cut(state, n)}
    return len(lists) == 1


def list_faults(state, rules):
    """Yield cuts and their end, changes of lists, restarts, and rejections."""
    if state.cut_at == LONG_AGO:
        for nodes in CUTS:
            yield f"{nodes:04b} is cut off", state._replace(cut=nodes, cut_at=state.now)
    elif state.cut:
        yield "the cut ends", state._replace(cut=0)
    for node in NODES:
        has_own_change = node != 2 or state.lists[2] != state.lists[MOST]
        if not state.cut and state.lists[node] != ALL and has_own_change:
            yield f"{node} lists all", change_lists(state, node, ALL, rules)
        left = ALL & ~state.cut
        if not is_cut(state, node) and state.lists[node] != left and has_own_change:
            yield f"{node} leaves nodes out", change_lists(state, node, left, rules)
        may_exclude = is_cut(state, node) and not rules.needs_majority
        if may_exclude and state.lists[node] == ALL:
            nodes = state.cut
            yield f"{node} excludes most", change_list(state, node, nodes, rules)
    for node in COORDINATORS:
        coordinator = state.coordinators[node]
        if state.restarts < MAX_RESTARTS and not is_cut(state, node):
            restarted = begin_anew(state, node, state.now, Rules())._replace(
                restarts=state.restarts + 1,
                left=replace_at(state.left, node, LONG_AGO),
            )
            yield f"{node} restarts", restarted
        if coordinator and not is_confirmed(state, node):
            # No variant is without this: what a coordinator learns of its absence
            # covers it here.
            yield f"{node} is rejected", begin_anew(state, node, state.now, rules)


def learn_of_absence(state, node, rules):
    """Return the state after most nodes said since when they list a coordinator."""
    is_absent = node == 0 and state.joined > state.begin[0] + JOIN
    if is_absent and rules.learns_of_absence:
        return begin_anew(state, 0, state.joined, rules)
    return state


def list_grants(state, target, rules):
    """Yield the reports of other nodes, and each lease that a coordinator may give."""
    users = list_users(state, target)
    reported = state
    for node in users:
        if node != target:
            reported = report(reported, node, target, rules)
    yield f"other nodes report to {target}", reported
    for node in users:
        granted = report(state, node, target, rules)
        coordinator = granted.coordinators[target]
        is_normal = state.now >= coordinator.normal_from
        is_free = is_normal and max(coordinator.known) == LONG_AGO
        if not is_free and state.leases[node] < state.now:
            continue
        until = find_end(state, node, target)
        granted = granted._replace(leases=replace_at(state.leases, node, until))
        known = replace_at(coordinator.known, node, until)
        granted = set_coordinator(granted, target, coordinator._replace(known=known))
        yield f"{target} gives {node} a lease", granted


def list_users(state, target):
    """Return the nodes that report to a coordinator and reach it."""
    return [
        node
        for node in NODES
        if find_first(state.lists[node]) == target
        and is_cut(state, node) == is_cut(state, target)
    ]


def report_leases(state, rules):
    """Return the state after all nodes with leases reported in a tick."""
    for target in COORDINATORS:
        if find_first(state.lists[target]) != target or not is_confirmed(state, target):
            continue
        for node in list_users(state, target):
            if state.leases[node] >= state.now:
                state = learn_of_absence(state, target, rules)
                state = report(state, node, target, rules)
    return state


def find_end(state, node, target):
    """Return the last tick of a lease that a coordinator gives now."""
    seconds = OWN_LEASE if node == target else LEASE
    return max(state.leases[node], state.now + seconds - 1)


def report(state, node, target, rules):
    """Return the state after a coordinator received a report."""
    coordinator = state.coordinators[target] or create(state, target, rules)
    if node != target and may_tell(state, node, target, rules):
        missing, differing = coordinator.missing, coordinator.differing
        is_equal = state.lists[node] == state.lists[target]
        is_listed = state.now >= state.begin[target] + START
        if is_equal:
            differing &= ~(1 << node)
        if is_equal or is_listed or not rules.asks_again:
            missing &= ~(1 << node)
        coordinator = coordinator._replace(missing=missing, differing=differing)
    # The lease is renewed, though the node may not receive the reply.
    is_held = state.leases[node] >= state.now
    until = find_end(state, node, target) if is_held else coordinator.known[node]
    known = replace_at(coordinator.known, node, until)
    coordinator = coordinator._replace(known=keep_from(known, state.now))
    coordinator = end_takeover(state, target, coordinator, rules)
    return set_coordinator(state, target, coordinator)


def is_within_rate(state):
    """Return whether at most one lease is valid."""
    return sum(at >= state["now"] for at in state["leases"]) <= 1


def build_protocol(rules=Rules()):
    """Return the specification as a minicheck protocol.

    Notes
    -----
    The search ends at the first violation: broken variants have many more states.
    """
    violations = []

    def list_transitions(state):
        if violations:
            return []
        if not is_within_rate(State(*state)._asdict()):
            violations.append(state)
            return []
        return list_steps(state, rules)

    return Protocol(
        name="takeover",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=list_transitions,
        invariants={"leases are on no more than the rate": is_within_rate},
    )
