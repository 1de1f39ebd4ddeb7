"""Tests of following a relay, over real connections."""

import random
import time
import unittest
from unittest import mock

import eventlet
from msgspec.structs import replace

from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import Changes, NodeRecord
from hingesill_core.discovery.relays import RelayChoice
from hingesill_core.routing.profile import LevelProfile, Profile, ServiceProfile
from hingesill_core.store import StoreFailure
from hingesill_node.datapath.connections import EndpointConnection
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.discovery.follower import Follower
from hingesill_node.discovery.frames import FrameKind, FrameReader, build_frame
from hingesill_node.discovery.peers import PeerApplication
from hingesill_node.discovery.relayclient import RelayClient, RelayLost
from hingesill_node.discovery.reports import MAX_REPORT_BYTES, Reporter, post
from hingesill_node.discovery.tests.test_follower import (
    FAILED,
    NoPeers,
    ScriptedSource,
    build_snapshot,
)
from hingesill_node.discovery.tests.virtualfleet import read_clock, run_virtually
from hingesill_node.telemetry.counters import Counters


class Relay:
    """A relay that serves followers; a test changes what it holds."""

    def __init__(self, snapshot):
        listener = listen("127.0.0.1:0", False)
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        self.node = NodeRecord("relay", address, "a", 2.0)
        self.source = ScriptedSource([self.add_nodes(snapshot)])
        choice = RelayChoice(self.node, random.Random(1))
        self.follower = Follower(
            self.source, NoPeers(), lambda directory: None, choice, RelayClient()
        )
        self.follower._is_bootstrapped = True
        self.reports = []
        application = PeerApplication(
            self.follower.directory, self.follower.feed, self.reports.append
        )
        self.server = start_server(listener, application, "control", Counters())
        self.follower._advance()

    def add_nodes(self, snapshot):
        nodes = {"relay": self.node, "own": NodeRecord("own", "10.0.0.9:1", "a")}
        return replace(snapshot, nodes=nodes)

    def change(self, changes):
        self.follower.directory.apply_changes(changes, time.monotonic())
        self.follower.published_directory.publish_changes()

    def close(self):
        self.follower.feed.close("the test ends")
        self.server.kill()


class RelayingTests(unittest.TestCase):
    def setUp(self):
        self.relay = Relay(build_snapshot(5, 1, ("i1", "i2")))
        self.addCleanup(self.relay.close)
        own = NodeRecord("own", "10.0.0.9:1", "a")
        self.source = ScriptedSource([self.relay.add_nodes(build_snapshot(4))])
        self.published = []
        self.follower = Follower(
            self.source,
            NoPeers(),
            lambda directory: self.published.append(directory.declared.version),
            RelayChoice(own, random.Random(1)),
            RelayClient(),
        )

    def start(self):
        thread = eventlet.spawn(self.follower._follow)
        self.addCleanup(thread.kill)
        self.wait_for(lambda: self.follower.followed_relay == "relay")
        self.wait_for(lambda: len(self.follower.directory.endpoints) == 2)

    def wait_for(self, condition, seconds=2.0):
        with eventlet.Timeout(seconds):
            while not condition():
                eventlet.sleep(0.01)

    def test_a_follower_receives_the_snapshot_and_then_changes(self):
        self.start()
        self.assertEqual(self.follower.directory.position, Position(0, 5))
        gone = {"i1": None}
        self.relay.change(Changes(Position(0, 7), build_snapshot(7, 3).declared, gone))
        self.wait_for(lambda: self.published[-1] == 3)
        self.assertEqual(list(self.follower.directory.endpoints), ["i2"])
        self.assertEqual(self.source.waited_from, [])

    def test_a_relay_that_lost_the_store_is_abandoned_at_once(self):
        self.start()
        self.source.reads.append(build_snapshot(9, 4))
        self.relay.follower._check(FAILED)
        self.wait_for(lambda: self.published[-1] == 4, 1.9)

    def test_a_relay_that_stops_sending_is_abandoned_in_time(self):
        self.start()
        begun = time.monotonic()
        self.source.reads.append(build_snapshot(9, 4))
        self.wait_for(lambda: self.published[-1] == 4, 1.95)
        self.assertGreater(time.monotonic() - begun, 0.8)

    def test_heartbeats_keep_a_follower(self):
        self.start()
        for _ in range(8):
            eventlet.sleep(0.25)
            self.relay.follower._check(Position(0, 5))
        self.assertEqual(self.follower.followed_relay, "relay")

    def test_a_relay_that_is_behind_reverts_nothing(self):
        ahead = build_snapshot(6, 2, ("i2", "i3"))
        nodes = {"relay": self.relay.node}
        self.follower.directory.apply_snapshot(replace(ahead, nodes=nodes), 0.0)
        self.follower._is_bootstrapped = True
        thread = eventlet.spawn(self.follower._follow)
        self.addCleanup(thread.kill)
        self.wait_for(lambda: self.follower.followed_relay == "relay")
        self.assertEqual(sorted(self.follower.directory.endpoints), ["i2", "i3"])
        # The store sends the relay all changes since revision 5, including those that
        # the follower already has.
        later = build_snapshot(8, 5, ("i3",))
        changed = {"i1": None, "i2": None, **later.endpoints}
        self.relay.change(Changes(Position(0, 8), later.declared, changed))
        self.wait_for(lambda: self.follower.directory.declared.version == 5)
        self.assertEqual(sorted(self.follower.directory.endpoints), ["i3"])

    def test_a_follower_receives_evacuations_and_their_ends(self):
        self.start()
        self.relay.change(Changes(Position(0, 7), evacuated={"b": 7}))
        self.wait_for(lambda: self.follower.directory.evacuated == {"b": 7})
        self.relay.change(Changes(Position(0, 9), evacuated={"b": None}))
        self.wait_for(lambda: self.follower.directory.evacuated == {})

    def test_records_removed_while_a_relay_was_behind_are_removed(self):
        ahead = replace(build_snapshot(6, 2, ("i2", "i3")), evacuated={"b": 6})
        nodes = {"relay": self.relay.node}
        self.follower.directory.apply_snapshot(replace(ahead, nodes=nodes), 0.0)
        self.follower._is_bootstrapped = True
        thread = eventlet.spawn(self.follower._follow)
        self.addCleanup(thread.kill)
        self.wait_for(lambda: self.follower.followed_relay == "relay")
        self.assertEqual(self.follower.directory.evacuated, {"b": 6})
        self.relay.change(Changes(Position(0, 8), build_snapshot(8, 5).declared))
        self.wait_for(lambda: self.follower.directory.declared.version == 5)
        self.assertEqual(self.follower.directory.evacuated, {})
        self.assertEqual(sorted(self.follower.directory.endpoints), ["i1", "i2"])

    def test_the_age_of_an_outage_is_taken_from_the_relay(self):
        self.relay.follower.directory.record_return(time.monotonic() - 1.0)
        self.start()
        age = self.follower.directory.get_return_age(time.monotonic())
        self.assertAlmostEqual(age, 1.0, delta=0.5)

    def test_a_stopping_relay_ends_its_streams_and_refuses_followers(self):
        self.start()
        self.source.reads.append(build_snapshot(9, 4))
        self.relay.follower.stop_relaying()
        self.wait_for(lambda: not self.relay.follower.feed.followers, 0.5)
        self.wait_for(lambda: self.published[-1] == 4, 1.9)

    def test_a_follower_that_disconnects_is_removed(self):
        self.start()
        for thread in list(self.relay.follower.feed._followers):
            self.assertIsNotNone(thread)
        self.follower.choice.own = self.relay.node
        self.relay.follower._check(Position(0, 5))
        self.wait_for(lambda: self.follower.followed_relay == "")
        for _ in range(20):
            self.relay.follower._check(Position(0, 5))
            eventlet.sleep(0.01)
        self.wait_for(lambda: not self.relay.follower.feed.followers)


class ReportTests(unittest.TestCase):
    """A follower's reports, over real connections."""

    REPORT = Profile({"arena": ServiceProfile((LevelProfile(3, 1, 9.0, 0.1),))})

    def setUp(self):
        self.relay = Relay(build_snapshot(5))
        self.addCleanup(self.relay.close)
        self.reports = [self.REPORT]

    def report(self, relay):
        Reporter(lambda: relay, self).report()

    def take_unreported(self, only_urgent):
        return self.reports.pop()

    def test_a_relay_receives_reports(self):
        self.report(self.relay.node)
        self.assertEqual(self.relay.reports, [self.REPORT])

    def test_without_a_relay_observations_stay_unreported(self):
        self.report(None)
        self.assertEqual(self.reports, [self.REPORT])

    def test_an_unreachable_relay_is_logged(self):
        with self.assertLogs("hingesill") as logs:
            self.report(NodeRecord("x", "127.0.0.1:1", "a"))
        self.assertIn("a relay did not accept observations", logs.output[0])

    def test_an_invalid_report_is_refused(self):
        connection = EndpointConnection(self.relay.node.address)
        self.addCleanup(connection.close)
        with self.assertLogs("hingesill"):
            self.assertEqual(post(connection, b"no report"), 400)
        self.assertEqual(self.relay.reports, [])

    def test_a_report_that_is_too_large_is_refused(self):
        connection = EndpointConnection(self.relay.node.address)
        self.addCleanup(connection.close)
        self.assertEqual(post(connection, b"x" * (MAX_REPORT_BYTES + 1)), 413)


class RelayClientTests(unittest.TestCase):
    def test_a_relay_that_refuses_followers(self):
        relay = Relay(build_snapshot(5))
        self.addCleanup(relay.close)
        relay.follower.feed.shut_down("the node stops")
        with self.assertRaises(RelayLost):
            list(RelayClient().follow(relay.node))

    def test_a_relay_that_does_not_listen(self):
        with self.assertRaises(RelayLost):
            list(RelayClient().follow(NodeRecord("x", "127.0.0.1:1", "a")))


class FrameTests(unittest.TestCase):
    def test_frames_may_arrive_in_any_pieces(self):
        data = build_frame(FrameKind.HEARTBEAT, None) * 2
        reader = FrameReader()
        frames = [f for byte in data for f in reader.feed(bytes([byte]))]
        self.assertEqual([f.kind for f in frames], [FrameKind.HEARTBEAT] * 2)
        self.assertIsNone(frames[0].return_age)

    def test_invalid_bytes_are_an_error(self):
        with self.assertRaises(ValueError):
            list(FrameReader().feed(b"x" * 40))


class StartTests(unittest.TestCase):
    def test_an_unavailable_store_is_called_rarely(self):
        class CountingSource(ScriptedSource):
            calls = 0

            def read(self, may_be_stale=False):
                self.calls += 1
                return StoreFailure("status 503")

        source = CountingSource()
        own = NodeRecord("own", "10.0.0.9:1", "a")
        choice = RelayChoice(own, random.Random(1))
        follower = Follower(
            source, NoPeers(), lambda directory: None, choice, RelayClient()
        )
        thread = eventlet.spawn(follower._follow)
        self.addCleanup(thread.kill)
        eventlet.sleep(2.0)
        self.assertLess(source.calls, 9)

    def start(self, reads):
        """Start a node; return its follower."""
        own = NodeRecord("own", "10.0.0.9:1", "a")
        choice = RelayChoice(own, random.Random(1))
        follower = Follower(
            ScriptedSource(reads), NoPeers(), lambda directory: None, choice
        )
        self.addCleanup(eventlet.spawn(follower._follow).kill)
        return follower

    def test_a_node_that_knows_no_other_one_does_not_serve_yet(self):
        """It would have nobody to query if it lost the store."""
        own = NodeRecord("own", "10.0.0.9:1", "a")
        other = NodeRecord("other", "10.0.0.8:1", "a")
        alone = replace(build_snapshot(5), nodes={"own": own})
        both = replace(build_snapshot(6), nodes={"own": own, "other": other})
        follower = self.start([alone, both])
        eventlet.sleep(0.1)
        self.assertFalse(follower.is_initialized())
        eventlet.sleep(0.6)
        self.assertTrue(follower.is_initialized())

    def test_a_single_node_serves_after_a_time(self):
        own = NodeRecord("own", "10.0.0.9:1", "a")
        alone = replace(build_snapshot(5), nodes={"own": own})
        follower = self.start([alone] * 9)
        eventlet.sleep(2.5)
        self.assertTrue(follower.is_initialized())

    def test_a_node_that_loses_the_store_after_its_first_read_serves_after_a_time(self):
        own = NodeRecord("own", "10.0.0.9:1", "a")
        alone = replace(build_snapshot(5), nodes={"own": own})
        follower = self.start([alone, *[StoreFailure("status 503")] * 9])
        eventlet.sleep(4.0)
        self.assertTrue(follower.is_initialized())


class PauseTests(unittest.TestCase):
    # A change must be in force at each node from 3 s after an outage on.
    BOUND_SECONDS = 2.5

    def test_a_follower_calls_the_store_again_in_time(self):
        own = NodeRecord("own", "10.0.0.9:1", "a")
        follower = Follower(
            ScriptedSource(),
            NoPeers(),
            lambda directory: None,
            RelayChoice(own, random.Random(1)),
            RelayClient(),
            clock=lambda: 100.0,
        )
        for _ in range(200):
            follower._pause()
            self.assertLessEqual(
                follower.store_backoff.until - 100.0, self.BOUND_SECONDS
            )


class RefusingRelays:
    """Relays that have lost the store and refuse followers."""

    def follow(self, relay):
        eventlet.sleep(0.005)
        raise RelayLost("status 503")
        yield


class LostRelaysTests(unittest.TestCase):
    """The store is available again for all nodes but the relays."""

    def setUp(self):
        self.nodes = {
            name: NodeRecord(name, f"10.0.0.{number}:1", name[-1], 2.0)
            for number, name in enumerate(("r-a", "r-b", "r-c", "r-d"))
        }
        own = NodeRecord("own", "10.0.0.9:1", "a")
        self.nodes["own"] = own
        self.source = ScriptedSource([self.read(5, 1)])
        self.published = []
        self.follower = Follower(
            self.source,
            NoPeers(),
            lambda directory: self.published.append(directory.declared.version),
            RelayChoice(own, random.Random(1)),
            RefusingRelays(),
        )

    def read(self, revision, version):
        return replace(build_snapshot(revision, version), nodes=self.nodes)

    def start(self):
        thread = eventlet.spawn(self.follower._follow)
        self.addCleanup(thread.kill)

    def wait_for(self, version, seconds):
        with eventlet.Timeout(seconds):
            while version not in self.published:
                eventlet.sleep(0.01)

    def test_the_store_is_called_though_relays_can_be_tried(self):
        self.start()
        self.wait_for(1, 1.0)
        eventlet.sleep(4.0)
        self.assertFalse(self.follower.is_store_available)
        self.source.reads.append(self.read(9, 4))
        self.wait_for(4, 2.5)

    def measure_delay(self, outage_seconds):
        """Return the seconds from the end of an outage until a change is published."""
        self.setUp()
        self.follower.clock = read_clock
        thread = eventlet.spawn(self.follower._follow)
        eventlet.sleep(outage_seconds)
        returned = read_clock()
        self.source.reads.append(self.read(9, 4))
        while 4 not in self.published:
            eventlet.sleep(0.01)
        thread.kill()
        return read_clock() - returned

    def test_pauses_between_relays_do_not_delay_a_read_of_the_returned_store(self):
        longest = mock.patch.object(random, "uniform", lambda low, high: high)
        outages = [8.0 + 0.05 * step for step in range(100)]
        with longest, mock.patch.object(random.Random, "random", lambda rng: 0.999):
            delays = run_virtually(lambda: list(map(self.measure_delay, outages)))
        self.assertLess(max(delays), PauseTests.BOUND_SECONDS)

    def test_relays_that_refuse_followers_do_not_end_the_watch(self):
        self.source.reads.append(self.read(9, 4))
        for revision in (11, 12):
            declared = build_snapshot(revision, revision).declared
            self.source.waits.append(Changes(Position(0, revision), declared))
        self.start()
        self.wait_for(12, 4.0)
        waited_from = [Position(0, 9), Position(0, 11)]
        self.assertEqual(self.source.waited_from[:2], waited_from)
