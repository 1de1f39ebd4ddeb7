"""Tests of queries between nodes."""

import random
import unittest

import eventlet
from eventlet.green import socket
from msgspec.structs import replace

from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import NodeRecord, Snapshot
from hingesill_node.datapath.server import start_server
from hingesill_node.discovery.feed import Feed
from hingesill_node.discovery.peers import (
    ROUND_TIMEOUT_SECONDS,
    PeerApplication,
    PeerClient,
)
from hingesill_node.discovery.tests.test_follower import build_declared, build_snapshot
from hingesill_node.telemetry.counters import Counters

AT_ONCE_SECONDS = 0.2


class Peer:
    """A node that serves its directory on loopback."""

    def __init__(self, snapshot=None, is_confirmed=True):
        self.directory = Directory()
        if snapshot is not None:
            self.directory.apply_snapshot(snapshot, 0.0)
        self.queries = 0
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.is_confirmed = is_confirmed
        application = PeerApplication(
            self.directory, Feed(self.directory), is_confirmed=self._count_query
        )
        self.server = start_server(self.listener, application, "control", Counters())

    def _count_query(self):
        self.queries += 1
        return self.is_confirmed

    def build_record(self, name):
        address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        return NodeRecord(name, address, "a")

    def close(self):
        self.server.kill()
        self.listener.close()


class PeerClientCase(unittest.TestCase):
    def setUp(self):
        self.client = PeerClient("own", "a", random.Random(1))

    def start(self, *arguments):
        peer = Peer(*arguments)
        self.addCleanup(peer.close)
        return peer

    def list_records(self, *peers):
        names = [f"n{number}" for number in range(len(peers))]
        records = {n: peer.build_record(n) for n, peer in zip(names, peers)}
        own = NodeRecord("own", "127.0.0.1:1", "a")
        return {**records, "own": own}

    def fetch_newer_at_start(self, read, *peers):
        nodes = self.list_records(*peers)
        return self.client.fetch_newer_at_start(replace(read, nodes=nodes))


class StartTests(PeerClientCase):
    """A starting node has read a copy of the store that lacks an accepted version."""

    def setUp(self):
        super().setUp()
        self.read = replace(build_snapshot(65, 21), position=Position(2, 65))

    def test_a_node_of_an_earlier_era_supplies_its_declaration(self):
        peer = self.start(replace(build_snapshot(81, 24), position=Position(1, 81)))
        (newer,) = self.fetch_newer_at_start(self.read, peer)
        self.assertEqual(newer.declared.version, 24)
        self.assertEqual(newer.position, Position(1, 81))

    def test_a_node_with_nothing_newer_ends_the_queries(self):
        peers = [self.start(self.read) for _ in range(3)]
        self.assertEqual(self.fetch_newer_at_start(self.read, *peers), [])

    def test_answers_of_starting_nodes_are_ignored(self):
        fresh = [self.start(self.read, False) for _ in range(3)]
        sure = self.start(replace(build_snapshot(66, 24), position=Position(2, 66)))
        (newer,) = self.fetch_newer_at_start(self.read, *fresh, sure)
        self.assertEqual(newer.declared.version, 24)

    def test_a_starting_fleet_is_not_delayed(self):
        fresh = [self.start(None, False) for _ in range(9)]
        with eventlet.Timeout(AT_ONCE_SECONDS):
            self.assertEqual(self.fetch_newer_at_start(self.read, *fresh), [])
        self.assertEqual(sum(peer.queries for peer in fresh), 8)

    def test_nodes_that_do_not_respond_do_not_delay_the_start(self):
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        nodes = {f"n{i}": NodeRecord(f"n{i}", address, "a") for i in range(9)}
        with eventlet.Timeout(2 * ROUND_TIMEOUT_SECONDS + AT_ONCE_SECONDS):
            newer = self.client.fetch_newer_at_start(replace(self.read, nodes=nodes))
        self.assertEqual(newer, [])

    def test_without_any_other_node(self):
        self.assertEqual(self.fetch_newer_at_start(self.read), [])


class OutageTests(PeerClientCase):
    """The store is unavailable."""

    def fetch_newer(self, directory, peer):
        nodes = self.list_records(peer)
        snapshot = replace(directory.build_snapshot(), nodes=nodes)
        directory.apply_snapshot(snapshot, 0.0)
        return self.client.fetch_newer(directory)

    def test_a_node_that_is_ahead_sends_its_snapshot(self):
        directory = Directory()
        directory.apply_snapshot(build_snapshot(5, 1), 0.0)
        newer = self.fetch_newer(directory, self.start(build_snapshot(12, 8)))
        self.assertEqual(newer.position, Position(0, 12))

    def test_a_node_that_is_behind_sends_nothing(self):
        directory = Directory()
        directory.apply_snapshot(build_snapshot(5, 1), 0.0)
        self.assertIsNone(self.fetch_newer(directory, self.start(build_snapshot(4, 1))))

    def test_an_invalid_answer_is_ignored(self):
        directory = Directory()
        directory.apply_snapshot(Snapshot(Position(1, 1), build_declared(1)), 0.0)
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)

        def answer(environ, start_response):
            start_response("200 OK", [])
            return [b"nonsense"]

        server = start_server(listener, answer, "control", Counters())
        self.addCleanup(server.kill)
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        nodes = {"n1": NodeRecord("n1", address, "a")}
        directory.apply_snapshot(replace(directory.build_snapshot(), nodes=nodes), 0.0)
        self.assertIsNone(self.client.fetch_newer(directory))


class IntroducedTests(PeerClientCase):
    """Guards against changes from nodes that are not of the fleet."""

    def setUp(self):
        super().setUp()
        self.now = 5.0
        self.client = PeerClient(
            "own", "a", random.Random(1), "127.0.0.1:1", lambda: self.now
        )
        self.directory = Directory()
        self.directory.apply_snapshot(build_snapshot(5, 1), 0.0)

    def introduce(self, lists_this_node=True):
        """Start a node with a newer directory, which introduces itself."""
        peer = self.start(build_snapshot(12, 8))
        nodes = self.list_records(peer)
        if not lists_this_node:
            del nodes["own"]
        snapshot = replace(build_snapshot(13, 9), nodes=nodes)
        peer.directory.apply_snapshot(snapshot, 0.0)
        self.client.record_introduction(peer.build_record("n0"))
        return peer

    def set_nodes(self, *peers):
        nodes = self.list_records(*peers)
        snapshot = replace(self.directory.build_snapshot(), nodes=nodes)
        self.directory.apply_snapshot(snapshot, 0.0)

    def fetch(self, rounds=12):
        """Return the newer snapshots of some queries."""
        fetched = []
        for _ in range(rounds):
            self.now += 0.3
            fetched.append(self.client.fetch_newer(self.directory))
        return [snapshot for snapshot in fetched if snapshot is not None]

    def test_a_node_that_knows_no_other_one_queries_who_introduced_itself(self):
        self.introduce()
        self.assertEqual(self.fetch()[0].position, Position(0, 13))

    def test_a_node_that_starts_without_the_store_believes_no_introduction(self):
        """It got its first directory from whoever introduced itself."""
        self.directory = Directory()
        introduced = self.introduce()
        self.assertEqual(self.fetch(), [])
        self.assertEqual(introduced.queries, 0)

    def test_who_does_not_list_this_node_is_not_believed(self):
        self.introduce(lists_this_node=False)
        with self.assertLogs("hingesill", "WARNING"):
            self.assertEqual(self.fetch(), [])

    def test_listed_nodes_that_answer_are_the_only_ones_queried(self):
        introduced, listed = self.introduce(), self.start(build_snapshot(5, 1))
        self.set_nodes(listed)
        self.assertEqual(self.fetch(), [])
        self.assertEqual(introduced.queries, 0)

    def test_many_listed_nodes_that_have_ended(self):
        """Each of them was queried again before the one that is alive."""
        self.introduce()
        dead = [self.start() for _ in range(40)]
        self.set_nodes(*dead)
        for peer in dead:
            peer.close()
        self.assertNotEqual(self.fetch(), [])
