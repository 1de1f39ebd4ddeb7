"""Tests of following a relay, over real connections."""

import random
import time
import unittest

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
from hingesill_node.discovery.reports import LARGEST_REPORT, Reporter, post
from hingesill_node.discovery.tests.test_follower import (
    FAILED,
    NoPeers,
    ScriptedSource,
    build_snapshot,
)


class Relay:
    """A relay that serves followers; a test changes what it holds."""

    def __init__(self, snapshot):
        listener = listen("127.0.0.1:0", False)
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        self.node = NodeRecord("relay", address, "a", 2.0)
        self.source = ScriptedSource([self.with_nodes(snapshot)])
        choice = RelayChoice(self.node, random.Random(1))
        self.follower = Follower(
            self.source, NoPeers(), lambda directory: None, choice, RelayClient()
        )
        self.follower._has_begun = True
        self.news = []
        application = PeerApplication(
            self.follower.directory, self.follower.feed, self.news.append
        )
        self.server = start_server(listener, application)
        self.follower._advance()

    def with_nodes(self, snapshot):
        nodes = {"relay": self.node, "own": NodeRecord("own", "10.0.0.9:1", "a")}
        return replace(snapshot, nodes=nodes)

    def change(self, changes):
        self.follower.directory.apply(changes, time.monotonic())
        self.follower.held.publish_changes()

    def close(self):
        self.follower.feed.close("the test ends")
        self.server.kill()


class RelayingTests(unittest.TestCase):
    def setUp(self):
        self.relay = Relay(build_snapshot(5, 1, ("i1", "i2")))
        self.addCleanup(self.relay.close)
        own = NodeRecord("own", "10.0.0.9:1", "a")
        self.source = ScriptedSource([self.relay.with_nodes(build_snapshot(4))])
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
        self.wait_for(lambda: self.follower.follows == "relay")
        self.wait_for(lambda: len(self.follower.directory.endpoints) == 2)

    def wait_for(self, condition, seconds=2.0):
        with eventlet.Timeout(seconds):
            while not condition():
                eventlet.sleep(0.01)

    def test_a_follower_learns_all_and_then_what_changes(self):
        self.start()
        self.assertEqual(self.follower.directory.position, Position(0, 5))
        gone = {"i1": None}
        self.relay.change(Changes(Position(0, 7), build_snapshot(7, 3).declared, gone))
        self.wait_for(lambda: self.published[-1] == 3)
        self.assertEqual(list(self.follower.directory.endpoints), ["i2"])
        self.assertEqual(self.source.waited_from, [])

    def test_a_relay_that_lost_the_store_is_left_at_once(self):
        self.start()
        self.source.reads.append(build_snapshot(9, 4))
        self.relay.follower._check(FAILED)
        self.wait_for(lambda: self.published[-1] == 4, 1.9)

    def test_a_relay_that_falls_silent_is_left_in_time(self):
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
        self.assertEqual(self.follower.follows, "relay")

    def test_a_relay_that_is_behind_takes_nothing_back(self):
        ahead = build_snapshot(6, 2, ("i2", "i3"))
        nodes = {"relay": self.relay.node}
        self.follower.directory.adopt(replace(ahead, nodes=nodes), 0.0)
        self.follower._has_begun = True
        thread = eventlet.spawn(self.follower._follow)
        self.addCleanup(thread.kill)
        self.wait_for(lambda: self.follower.follows == "relay")
        self.assertEqual(sorted(self.follower.directory.endpoints), ["i2", "i3"])
        # The store tells the relay of all that changed since 5, also of what the
        # follower knows already.
        later = build_snapshot(8, 5, ("i3",))
        changed = {"i1": None, "i2": None, **later.endpoints}
        self.relay.change(Changes(Position(0, 8), later.declared, changed))
        self.wait_for(lambda: self.follower.directory.declared.version == 5)
        self.assertEqual(sorted(self.follower.directory.endpoints), ["i3"])

    def test_a_follower_learns_of_evacuations_and_their_ends(self):
        self.start()
        self.relay.change(Changes(Position(0, 7), evacuated={"b": 7}))
        self.wait_for(lambda: self.follower.directory.evacuated == {"b": 7})
        self.relay.change(Changes(Position(0, 9), evacuated={"b": None}))
        self.wait_for(lambda: self.follower.directory.evacuated == {})

    def test_what_came_and_went_while_a_relay_was_behind_is_gone(self):
        ahead = replace(build_snapshot(6, 2, ("i2", "i3")), evacuated={"b": 6})
        nodes = {"relay": self.relay.node}
        self.follower.directory.adopt(replace(ahead, nodes=nodes), 0.0)
        self.follower._has_begun = True
        thread = eventlet.spawn(self.follower._follow)
        self.addCleanup(thread.kill)
        self.wait_for(lambda: self.follower.follows == "relay")
        self.assertEqual(self.follower.directory.evacuated, {"b": 6})
        self.relay.change(Changes(Position(0, 8), build_snapshot(8, 5).declared))
        self.wait_for(lambda: self.follower.directory.declared.version == 5)
        self.assertEqual(self.follower.directory.evacuated, {})
        self.assertEqual(sorted(self.follower.directory.endpoints), ["i1", "i2"])

    def test_what_a_relay_saw_of_an_outage_is_passed_on(self):
        self.relay.follower.directory.record_return(time.monotonic() - 1.0)
        self.start()
        age = self.follower.directory.get_return_age(time.monotonic())
        self.assertAlmostEqual(age, 1.0, delta=0.5)

    def test_a_stopping_relay_ends_its_streams_and_takes_no_more(self):
        self.start()
        self.source.reads.append(build_snapshot(9, 4))
        self.relay.follower.leave()
        self.wait_for(lambda: not self.relay.follower.feed.followers, 0.5)
        self.wait_for(lambda: self.published[-1] == 4, 1.9)

    def test_a_follower_that_is_gone_is_forgotten(self):
        self.start()
        for thread in list(self.relay.follower.feed._followers):
            self.assertIsNotNone(thread)
        self.follower.choice.own = self.relay.node
        self.relay.follower._check(Position(0, 5))
        self.wait_for(lambda: self.follower.follows == "")
        for _ in range(20):
            self.relay.follower._check(Position(0, 5))
            eventlet.sleep(0.01)
        self.wait_for(lambda: not self.relay.follower.feed.followers)


class ReportTests(unittest.TestCase):
    """What a follower reports, over real connections."""

    NEWS = Profile({"arena": ServiceProfile((LevelProfile(3, 1, 9.0, 0.1),))})

    def setUp(self):
        self.relay = Relay(build_snapshot(5))
        self.addCleanup(self.relay.close)
        self.news = [self.NEWS]

    def report(self, relay):
        Reporter(lambda: relay, self).report()

    def take_unreported(self, only_urgent):
        return self.news.pop()

    def test_a_relay_takes_what_a_follower_has_learnt(self):
        self.report(self.relay.node)
        self.assertEqual(self.relay.news, [self.NEWS])

    def test_without_a_relay_nothing_is_given_away(self):
        self.report(None)
        self.assertEqual(self.news, [self.NEWS])

    def test_a_relay_that_is_gone_ends_nothing(self):
        with self.assertLogs("hingesill") as logs:
            self.report(NodeRecord("x", "127.0.0.1:1", "a"))
        self.assertIn("a relay did not take", logs.output[0])

    def test_what_is_no_report_is_refused(self):
        connection = EndpointConnection(self.relay.node.address)
        self.addCleanup(connection.close)
        with self.assertLogs("hingesill"):
            self.assertEqual(post(connection, b"no report"), 400)
        self.assertEqual(self.relay.news, [])

    def test_one_that_is_too_large_is_refused(self):
        connection = EndpointConnection(self.relay.node.address)
        self.addCleanup(connection.close)
        self.assertEqual(post(connection, b"x" * (LARGEST_REPORT + 1)), 413)


class RelayClientTests(unittest.TestCase):
    def test_a_relay_that_takes_nobody(self):
        relay = Relay(build_snapshot(5))
        self.addCleanup(relay.close)
        relay.follower.feed.end("the node stops")
        with self.assertRaises(RelayLost):
            list(RelayClient().follow(relay.node))

    def test_nobody_listens(self):
        with self.assertRaises(RelayLost):
            list(RelayClient().follow(NodeRecord("x", "127.0.0.1:1", "a")))


class FrameTests(unittest.TestCase):
    def test_frames_may_come_in_any_pieces(self):
        data = build_frame(FrameKind.HEARTBEAT, None) * 2
        reader = FrameReader()
        frames = [f for byte in data for f in reader.feed(bytes([byte]))]
        self.assertEqual([f.kind for f in frames], [FrameKind.HEARTBEAT] * 2)
        self.assertIsNone(frames[0].return_age)

    def test_what_is_no_frame_is_an_error(self):
        with self.assertRaises(ValueError):
            list(FrameReader().feed(b"x" * 40))


class StartTests(unittest.TestCase):
    def test_a_store_that_does_not_answer_is_not_stormed(self):
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


class PauseTests(unittest.TestCase):
    # A node is held to a change from 3 s after an outage on.
    BOUND_SECONDS = 2.5

    def test_a_follower_finds_the_store_again_in_time(self):
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
            self.assertLessEqual(follower.pauses.until - 100.0, self.BOUND_SECONDS)


class RefusingRelays:
    """Relays that have lost the store and take nobody."""

    def follow(self, relay):
        eventlet.sleep(0.005)
        raise RelayLost("status 503")
        yield


class LostRelaysTests(unittest.TestCase):
    """The store is back for all but the relays."""

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

    def test_the_store_is_asked_though_relays_could_be(self):
        self.start()
        self.wait_for(1, 1.0)
        eventlet.sleep(4.0)
        self.assertFalse(self.follower.is_store_available)
        self.source.reads.append(self.read(9, 4))
        self.wait_for(4, 2.5)

    def test_relays_that_take_nobody_do_not_end_the_watch(self):
        self.source.reads.append(self.read(9, 4))
        for revision in (11, 12):
            declared = build_snapshot(revision, revision).declared
            self.source.waits.append(Changes(Position(0, revision), declared))
        self.start()
        self.wait_for(12, 4.0)
        waited_from = [Position(0, 9), Position(0, 11)]
        self.assertEqual(self.source.waited_from[:2], waited_from)
