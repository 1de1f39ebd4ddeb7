"""Tests of the cost of an outage of the store and of the fleet's recovery.

Simulated in virtual time with the real followers, feeds and frames.
"""

import logging
import unittest

import eventlet

from hingesill_core.discovery.relays import NODES_PER_RELAY
from hingesill_node.discovery.storebackoff import FLEET_CALLS_PER_SECOND
from hingesill_node.discovery.tests.virtualfleet import (
    DATA_CENTRES,
    Fleet,
    read_clock,
    run_virtually,
)

OUTAGE_SECONDS = 8.0
# Calls of a relay to an unavailable store, with its longest and shorter pauses.
RELAY_CHECKS_PER_SECOND = 2
# Checks, reads of up to four pages, and watches; twice, since a change follows.
MAX_RELAY_RETURN_COST = 9.0
# Followers that found the store available long before the relays did read it too.
MAX_FOLLOWERS_RETURN_COST = 120.0
# Time after an outage from which a change must be in force at each node.
IN_FORCE_AFTER_OUTAGE_SECONDS = 3.0


def simulate_outage(size, silently=False):
    """Simulate an outage, with a change when it ends.

    Returns
    -------
    tuple
        The cost of the calls in the outage and in the first two seconds after it, and
        the seconds until the last node published the change; None if one did not.
    """

    def simulate():
        fleet = Fleet(size)
        fleet.start()
        eventlet.sleep(5.0)
        fleet.store.refuse(fleet.followers, silently)
        outage = fleet.measure_cost(OUTAGE_SECONDS)
        fleet.store.refuse(())
        returned = read_clock()
        fleet.store.change(2)
        after = fleet.measure_cost(2.0)
        eventlet.sleep(2.0)
        last = fleet.find_last(2)
        return outage, after, None if last is None else last - returned

    return run_virtually(simulate)


def count_relays(size):
    """Return the number of relays of a fleet in six data centres."""
    return DATA_CENTRES * (1 + size // DATA_CENTRES // NODES_PER_RELAY)


def compute_max_outage_cost(size):
    """Return the maximum cost of an outage: one call per node, then limited checks."""
    checks = FLEET_CALLS_PER_SECOND + RELAY_CHECKS_PER_SECOND * count_relays(size)
    return size + checks * OUTAGE_SECONDS


def compute_max_return_cost(size):
    """Return the maximum cost of the first two seconds after an outage."""
    return MAX_RELAY_RETURN_COST * count_relays(size) + MAX_FOLLOWERS_RETURN_COST


def simulate_refused_relays(size, seconds):
    """Simulate refused relays; return the last node's delay after a change."""

    def simulate():
        fleet = Fleet(size)
        fleet.start()
        eventlet.sleep(5.0)
        fleet.store.refuse(fleet.list_relays())
        eventlet.sleep(seconds)
        changed = read_clock()
        fleet.store.change(2)
        eventlet.sleep(IN_FORCE_AFTER_OUTAGE_SECONDS)
        last = fleet.find_last(2)
        return None if last is None else last - changed

    return run_virtually(simulate)


class OutageTests(unittest.TestCase):
    """The store is unavailable for all nodes.

    Guards against a fleet that storms an unavailable store, or reads it all at once
    when it returns. With pauses of 1.5 s at most and full reads as checks, an outage of
    8 s cost 7,779 at 1,104 nodes; with pauses by the fleet's size and relays that check
    twice as often it costs 1,399. The two seconds after it cost 2,152 if each node
    reads at once, and 128 to 149 if the relays read first. The last node had a change
    after 1.0 to 1.3 s before these measures, and has it after 1.1 to 1.9 s with them.
    """

    SIZES = (18, 99, 312, 1104)

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, silently):
        for size in self.SIZES:
            with self.subTest(nodes=size, silently=silently):
                outage, after, last = simulate_outage(size, silently)
                self.assertLess(outage, compute_max_outage_cost(size))
                self.assertLess(after, compute_max_return_cost(size))
                self.assertIsNotNone(last)
                self.assertLess(last, IN_FORCE_AFTER_OUTAGE_SECONDS)

    def test_a_store_that_refuses(self):
        self.check(silently=False)

    def test_a_store_that_does_not_respond(self):
        self.check(silently=True)

    def test_a_store_that_refuses_the_relays_only(self):
        # A change must be in force at all other nodes within 2 s.
        for seconds in (0.5, 4.0):
            with self.subTest(seconds=seconds):
                last = simulate_refused_relays(99, seconds)
                self.assertIsNotNone(last)
                self.assertLess(last, 2.0)

    def test_a_simulation_repeats(self):
        # Pauses without a seed, and timers, waiters and relays in the order of memory
        # addresses or hashes, gave a cost after the outage of 54.8 to 174.3 at 312
        # nodes.
        self.assertEqual(simulate_outage(99, True), simulate_outage(99, True))
