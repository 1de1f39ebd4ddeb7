"""Tests of a fleet whose store is restored from an older copy of itself.

Simulated in virtual time with the real followers, feeds, frames and registrations.
"""

import logging
import unittest
from dataclasses import dataclass, field

import eventlet
from msgspec.structs import replace

from hingesill_node.discovery.control import (
    REGISTRATION_WRITE_SHARE,
    REGISTRATION_WRITES,
)
from hingesill_node.discovery.tests.restoringfleet import RestoringFleet
from hingesill_node.discovery.tests.virtualfleet import read_clock, run_virtually

# Write rate that a deployment's store allows its nodes.
WRITES_PER_SECOND = 400.0
# Targets: a declaration accepted after the restore is in force at six nodes within 1 s
# and at 300 within 2 s. All nodes register again within 5 s, or within the time over
# which the store's write rate spreads them if that is longer.
IN_FORCE_SECONDS = 2.0
REGISTERED_SECONDS = 5.0
# Time after an outage from which a change must be in force at each node.
IN_FORCE_AFTER_OUTAGE_SECONDS = 3.0
CALLS_PER_NODE = 2.0
# Calls without relays: a check, two reads of two pages, and short watches.
CALLS_PER_NODE_WITHOUT_RELAY = 8.0
# Calls of a relay: a check, a read of up to four pages and a watch, with each change.
CALLS_PER_RELAY = 30.0
REWRITE_SECONDS = 0.5
# Time until the operator writes the next declaration.
NEXT_DECLARATION_SECONDS = 0.7
BUSY_WRITES = 60


@dataclass
class Scenario:
    """A scenario of a simulation.

    Parameters
    ----------
    size : int
        Number of nodes.
    outage_seconds : float
        Outage before the restore; 0 if no call fails.
    is_busy : bool
        Other writes pass the earlier revisions right after the restore.
    is_watch_deaf : bool
        Watches are not notified of the restore.
    lacks_nodes : bool
        The copy was made before the nodes registered.
    late_nodes : int
        Nodes that start after the restore, before the lost declaration is rewritten.
    unresponsive_relays : bool
        No relay responds after the restore.
    refused_relays : bool
        The store refuses all relays for 3 s after the restore.
    times : int
        Number of restores, a second apart.
    """

    size: int
    outage_seconds: float = 1.0
    is_busy: bool = False
    is_watch_deaf: bool = False
    lacks_nodes: bool = False
    late_nodes: int = 0
    unresponsive_relays: bool = False
    refused_relays: bool = False
    times: int = 1


@dataclass
class Outcome:
    """The outcome of a simulation.

    Parameters
    ----------
    in_force : float or None
        Seconds from the acceptance of the next declaration until the last node has it.
    registered_after : float or None
        Seconds from the restore until all nodes are registered.
    max_writes_per_second : int
        Maximum of the nodes' writes in any second.
    cost : float
        Cost of the nodes' calls in the 3 s after the restore.
    reverted : list of str
        Nodes that went back to an older declaration.
    behind : list of str
        Nodes that became ready with an older declaration than the accepted one.
    """

    in_force: float | None
    registered_after: float | None
    max_writes_per_second: int
    cost: float
    reverted: list
    behind: list = field(default_factory=list)


def simulate(scenario):
    """Return the Outcome of a Scenario."""
    return run_virtually(lambda: run_simulation(scenario))


def run_simulation(scenario):
    writes = scenario.size * REGISTRATION_WRITES
    fleet = RestoringFleet(
        scenario.size, writes / (REGISTRATION_WRITE_SHARE * WRITES_PER_SECOND)
    )
    store = fleet.store
    store.is_watch_deaf = scenario.is_watch_deaf
    nodes = store.snapshot.nodes
    if scenario.lacks_nodes:
        store.snapshot = replace(store.snapshot, nodes={})
        store.copy()
        store.snapshot = replace(store.snapshot, nodes=nodes)
    late_nodes = (
        list(fleet.followers)[-scenario.late_nodes :] if scenario.late_nodes else []
    )
    fleet.start(late_nodes)
    eventlet.sleep(4.0)
    if not scenario.lacks_nodes:
        store.copy()
    for _ in range(16):
        store.write()
    store.change(2)
    eventlet.sleep(1.5)
    fleet_before = set(fleet.followers) - set(late_nodes)
    assert fleet_before == fleet_before - set(fleet.list_uninformed(2))
    for _ in range(scenario.times):
        restore_store(fleet, scenario)
    returned = read_clock()
    cost = store.cost
    behind = start_late_nodes(fleet, late_nodes)
    relays = set(store.refused_nodes)
    if scenario.refused_relays:
        eventlet.spawn_after(3.0, store.refuse, ())
    eventlet.spawn_after(REWRITE_SECONDS, store.change, 2)
    eventlet.sleep(NEXT_DECLARATION_SECONDS)
    accepted = read_clock()
    store.change(3)
    eventlet.sleep(returned + 3.0 - read_clock())
    cost = store.cost - cost
    registered_after = wait_for_registrations(fleet, returned)
    eventlet.sleep(2.0)
    # Relays that the store refuses receive the declaration from peers, without a bound.
    excluded = fleet.unresponsive_nodes | (relays if scenario.refused_relays else set())
    informed_times = [
        t for (n, v), t in fleet.informed_at.items() if v == 3 and n not in excluded
    ]
    are_all_informed = len(informed_times) == scenario.size - len(excluded)
    in_force = max(informed_times) - accepted if are_all_informed else None
    writes = find_max_writes_per_second(store.writes_at, returned)
    return Outcome(in_force, registered_after, writes, cost, fleet.reverted, behind())


def restore_store(fleet, scenario):
    """Simulate an outage of the store and its restore."""
    store = fleet.store
    if scenario.outage_seconds:
        store.refuse(fleet.followers)
        eventlet.sleep(scenario.outage_seconds)
    relays = fleet.list_relays()
    store.restore()
    if scenario.is_busy:
        for _ in range(BUSY_WRITES):
            store.write()
    if scenario.unresponsive_relays:
        fleet.unresponsive_nodes = frozenset(relays)
    store.refuse(relays if scenario.refused_relays else ())
    if scenario.times > 1:
        eventlet.sleep(1.0)


def start_late_nodes(fleet, names):
    """Start nodes; return a function that lists those ready with an old declaration."""
    found = []

    def watch(name, follower):
        while not follower.is_initialized():
            eventlet.sleep(0.005)
        if follower.directory.declared.version < 2:
            found.append(name)

    for name in names:
        fleet.start_node(name)
        eventlet.spawn(watch, name, fleet.followers[name])
    return lambda: found


def wait_for_registrations(fleet, returned):
    """Return the seconds from the restore until all nodes are registered, or None."""
    while not fleet.is_registered():
        if read_clock() - returned > 30.0:
            return None
        eventlet.sleep(0.05)
    return read_clock() - returned


def find_max_writes_per_second(times, since):
    """Return the maximum number of writes in any second."""
    times = [time for time in times if time >= since]
    return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


class RestoredFleetCase(unittest.TestCase):
    sizes = (30, 300)
    calls_per_node = CALLS_PER_NODE
    in_force_seconds = IN_FORCE_SECONDS

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, **fields):
        for size in self.sizes:
            with self.subTest(nodes=size):
                self.check_outcome(size, simulate(Scenario(size, **fields)))

    def check_outcome(self, size, outcome):
        self.assertIsNotNone(outcome.in_force)
        self.assertLess(outcome.in_force, self.in_force_seconds)
        self.assertIsNotNone(outcome.registered_after)
        self.assertLess(outcome.registered_after, REGISTERED_SECONDS)
        self.assertLess(outcome.max_writes_per_second, WRITES_PER_SECOND)
        self.assertEqual(outcome.reverted, [])
        self.assertEqual(outcome.behind, [])
        relays = 6 * CALLS_PER_RELAY
        self.assertLess(outcome.cost, self.calls_per_node * size + relays)


class RestoredFleetTests(RestoredFleetCase):
    """No other fault occurs during the restore.

    Guards against nodes that refuse a restored store because its revision is lower:
    six real nodes did not have the next declaration in force within 3 s, see
    `adapter/tests/test_older_copy.py`. In a simulation of 30 and 300 nodes it is in
    force within 0.2 s, at a cost of 54 and 81 in 3 s. If the copy lacks the nodes'
    entries, 300 nodes cost 536 and are registered after 4.1 s, with at most 260 writes
    in a second.
    """

    sizes = (1, 30, 300)

    def test_a_quiet_store(self):
        self.check()

    def test_a_busy_store(self):
        self.check(is_busy=True)

    def test_a_restore_that_watches_do_not_report(self):
        self.check(outage_seconds=0.0, is_watch_deaf=True)

    def test_a_restore_without_an_outage(self):
        self.check(outage_seconds=0.0)

    def test_a_copy_without_the_nodes_entries(self):
        self.check(lacks_nodes=True)

    def test_twice_in_a_row(self):
        self.check(times=2)

    def test_twice_in_a_row_without_the_nodes(self):
        self.check(times=2, lacks_nodes=True)


class LateNodesCase(RestoredFleetCase):
    """A third of the nodes start before the lost declaration is rewritten."""

    def check(self, **fields):
        for size in self.sizes:
            with self.subTest(nodes=size):
                self.check_outcome(
                    size, simulate(Scenario(size, late_nodes=size // 3, **fields))
                )


class LateNodesTests(LateNodesCase):
    def test_a_quiet_store(self):
        self.check()


class LostRelaysTests(LateNodesCase):
    """Starting nodes, or all, have no relay, and read and watch the store themselves.

    Without responding relays, the last of 300 nodes had the next declaration 2.1 to 2.7
    s after its acceptance if peers were queried every 0.5 s, and after 1.4 to 1.9 s at
    the current interval.
    """

    calls_per_node = CALLS_PER_NODE_WITHOUT_RELAY
    in_force_seconds = IN_FORCE_AFTER_OUTAGE_SECONDS - NEXT_DECLARATION_SECONDS

    def test_a_copy_without_the_nodes_entries(self):
        self.check(lacks_nodes=True)

    def test_relays_that_do_not_respond(self):
        self.check(unresponsive_relays=True)

    def test_relays_that_the_store_refuses(self):
        self.check(refused_relays=True)
