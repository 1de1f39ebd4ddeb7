"""Tests of what nodes tell each other, over loopback."""

import unittest
from types import SimpleNamespace

import eventlet
from eventlet.green import socket
from msgspec.msgpack import encode

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.crashes.messages import GossipItem, GossipKind, GossipMessage
from hingesill_node.crashes.crashgossip import CrashGossip
from hingesill_node.crashes.datagrams import decode_batch, is_batch
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datagramport import DatagramPort
from hingesill_node.datapath.announcements import Announcements
from hingesill_node.telemetry.counters import Counters

BAD = ("a1", "b1", "c1")
SECONDS = 1.5


def draw_address():
    """Return a loopback address that is free."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    address = sock.getsockname()
    sock.close()
    return address


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.addresses = [draw_address() for _ in range(3)]
        self.guards = [RequestGuard() for _ in self.addresses]
        self.counters = Counters()
        for own, guard in zip(self.addresses, self.guards):
            peers = [address for address in self.addresses if address != own]
            self.start(guard, f"{own[0]}:{own[1]}", peers)

    def start(self, guard, address, peers):
        port = DatagramPort(self.counters)
        port.start(address)
        CrashGossip(guard, lambda: peers, self.counters).start(port)

    def end(self, number, endpoint):
        """Have an endpoint end at a node."""
        guard = self.guards[number]
        guard.decisions.record_crash(BAD, endpoint, guard.clock())

    def wait(self, condition):
        with eventlet.Timeout(SECONDS):
            while not condition():
                eventlet.sleep(0.02)

    def is_held(self, guard):
        return guard.decisions.find_quarantine(BAD, guard.clock()) is not None


class SpreadingTests(FleetCase):
    def test_what_three_nodes_saw_holds_a_request_back_at_all(self):
        for number in range(3):
            self.end(number, f"i{number}")
        self.wait(lambda: all(map(self.is_held, self.guards)))

    def test_one_that_starts_asks_what_is_known(self):
        for number in range(2):
            self.end(0, f"i{number}")
        eventlet.sleep(0.3)
        guard = RequestGuard()
        address = draw_address()
        self.start(guard, f"{address[0]}:{address[1]}", self.addresses)
        self.wait(lambda: len(guard.decisions.history.get_crashes(BAD[0])) == 2)

    def test_bytes_that_are_no_batch_change_nothing(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for data in (
            b"",
            b"\x92",
            b"\x91" * 3000,
            encode(GossipMessage())[:1] + b"x" * 99,
        ):
            sock.sendto(data, self.addresses[0])
        self.end(1, "i1")
        history = self.guards[0].decisions.history
        self.wait(lambda: history.get_crashes(BAD[0]))


class SharedSocketTests(SpreadingTests):
    """Where a node has a socket for overdue answers already."""

    def start(self, guard, address, peers):
        port = DatagramPort(self.counters)
        port.start(address)
        board = SimpleNamespace(peers=peers)
        announcements = Announcements(board, "team", None, self.counters)
        announcements.start(port, lambda *told: None)
        CrashGossip(guard, lambda: peers, self.counters).start(port)

    def test_the_two_kinds_of_datagrams_are_told_apart(self):
        suspicion = pb.Suspicion(team="team", endpoint="i1", ratio=2.0)
        self.assertFalse(is_batch(suspicion.SerializeToString()))
        self.assertTrue(
            is_batch(encode(GossipMessage((GossipItem(GossipKind.ENDED, BAD, 0.0),))))
        )


class CheckTests(unittest.TestCase):
    def test_news_that_no_node_tells(self):
        for told in (
            GossipItem(GossipKind.ENDED, (), 0.0, "i1"),
            GossipItem(GossipKind.ENDED, ("a",) * 4, 0.0, "i1"),
            GossipItem(GossipKind.ENDED, ("a" * 99,), 0.0, "i1"),
            GossipItem(GossipKind.ENDED, ("a",), 0.0, ""),
            GossipItem(GossipKind.ENDED, ("a",), -1.0, "i1"),
            GossipItem(GossipKind.ENDED, ("a",), float("nan"), "i1"),
            GossipItem(GossipKind.ENDED, ("a",), 1e9, "i1"),
            GossipItem(GossipKind.HELD, ("a",), 0.0, left=1e9, times=1),
            GossipItem(GossipKind.HELD, ("a",), 0.0, left=5.0, times=0),
        ):
            with self.subTest(told=told), self.assertRaises(ValueError):
                decode_batch(encode(GossipMessage((told,))))
