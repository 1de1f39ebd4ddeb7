"""Tests of followers whose relays are of a build that knows no organisations.

Simulated in virtual time with the real followers, feeds and frames.
"""

import logging
import unittest

import eventlet
from msgspec.structs import replace

from hingesill_core.discovery.position import Position
from hingesill_core.organisations.changes import digest_organisations
from hingesill_core.organisations.organisation import Organisation, digest_key
from hingesill_node.discovery.tests.virtualfleet import (
    Fleet,
    FleetRelays,
    FleetStore,
    read_clock,
    run_virtually,
)

SIZE = 99
IN_FORCE_SECONDS = 2.0
# Without organisations each node reads the two pages of the store once for a version
# and follows its relay again; with organisations it goes on with short watches for 3 s.
MAX_CALLS_PER_NODE = 4.0
MAX_CALLS_PER_WATCHING_NODE = 10.0
ORGANISATIONS = {"acme": Organisation("acme", (digest_key("k1"),))}


class OrganisationStore(FleetStore):
    """A store whose later versions may have organisations."""

    organisations = None

    def change(self, version):
        """Accept another declaration, with the organisations if there are any."""
        snapshot = self.snapshot
        position = Position(snapshot.position.era, snapshot.position.revision + 1)
        declared = replace(
            snapshot.declared, version=version, organisations=self.organisations
        )
        if self.organisations is not None:
            digest = digest_organisations(self.organisations)
            declared = replace(declared, organisations_digest=digest)
        self.snapshot = replace(snapshot, position=position, declared=declared)
        self._wake()


class EarlierRelays(FleetRelays):
    """Relays that drop organisations from what they pass on, and name no format."""

    def follow(self, relay):
        """Yield the frames of a relay's stream."""
        for frame in super().follow(relay):
            content = frame.content
            if content is not None:
                content = replace(content, format=1)
                if content.declared is not None:
                    declared = replace(content.declared, organisations=None)
                    declared = replace(declared, organisations_digest=0)
                    content = replace(content, declared=declared)
            yield replace(frame, content=content)


class EarlierFleet(Fleet):
    """A fleet of this build that follows relays of the earlier one."""

    def __init__(self, size):
        super().__init__(size)
        for follower in self.followers.values():
            follower.relays = EarlierRelays(self)

    def build_store(self, snapshot):
        """Return the store that all nodes call."""
        return OrganisationStore(snapshot)


def simulate(organisations, known=None):
    """Put another version in force at nodes that know the organisations of the first.

    Returns
    -------
    tuple
        Seconds until the last node had it, the cost of the calls, and the organisations
        of each node.
    """

    def run():
        fleet = EarlierFleet(SIZE)
        if known is not None:
            fleet.store.organisations = known
            fleet.store.change(1)
        fleet.start()
        eventlet.sleep(8.0)
        changed = read_clock()
        fleet.store.organisations = organisations
        fleet.store.change(2)
        cost = fleet.measure_cost(4.0)
        last = fleet.find_last(2)
        tables = [f.directory.declared.organisations for f in fleet.followers.values()]
        return None if last is None else last - changed, cost, tables

    return run_virtually(run)


class EarlierRelayTests(unittest.TestCase):
    """Guards against a first version with organisations that passes for one without.

    A follower took it from a relay of the earlier build, let all callers in without a
    key, and passed it on as complete.
    """

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, organisations, known=None):
        last, cost, tables = simulate(organisations, known)
        self.assertEqual(tables, [organisations] * SIZE)
        self.assertIsNotNone(last)
        self.assertLess(last, IN_FORCE_SECONDS)
        watches = organisations is not None
        allowed = MAX_CALLS_PER_WATCHING_NODE if watches else MAX_CALLS_PER_NODE
        self.assertLess(cost, allowed * SIZE)

    def test_a_later_version_with_organisations(self):
        # Contact with relays that were refused kept followers from the store.
        known = {"zenith": Organisation("zenith", (digest_key("k2"),))}
        self.check(ORGANISATIONS, known)

    def test_a_first_version_with_organisations(self):
        self.check(ORGANISATIONS)

    def test_a_version_without_organisations(self):
        self.check(None)
