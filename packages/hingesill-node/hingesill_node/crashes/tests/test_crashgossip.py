"""Tests of crash gossip between nodes, over loopback."""

import unittest
from types import SimpleNamespace

import eventlet
from eventlet.green import socket
from msgspec.msgpack import encode

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.crashes.messages import GossipItem, GossipKind, GossipMessage
from hingesill_node.crashes.crashgossip import CrashGossip
from hingesill_node.crashes.datagrams import decode_message, is_gossip_message
from hingesill_node.crashes.requestguard import RequestGuard
from hingesill_node.datagramport import DatagramPort
from hingesill_node.datapath.announcements import Announcements
from hingesill_node.telemetry.counters import Counters

BAD = ("a1", "b1", "c1")
TIMEOUT_SECONDS = 1.5


def find_free_address():
    """Return a free loopback address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    address = sock.getsockname()
    sock.close()
    return address


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.addresses = [find_free_address() for _ in range(3)]
        self.guards = [RequestGuard() for _ in self.addresses]
        self.counters = Counters()
        for own, guard in zip(self.addresses, self.guards):
            peers = [address for address in self.addresses if address != own]
            self.start(guard, f"{own[0]}:{own[1]}", peers)

    def start(self, guard, address, peers):
        port = DatagramPort(self.counters)
        port.start(address)
        CrashGossip(guard, lambda: peers, self.counters).start(port)

    def record_crash(self, number, endpoint):
        """Record the crash of an endpoint at a node."""
        guard = self.guards[number]
        guard.decisions.record_crash(BAD, endpoint, guard.clock())

    def wait(self, condition):
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while not condition():
                eventlet.sleep(0.02)

    def is_quarantined(self, guard):
        return guard.decisions.find_quarantine(BAD, guard.clock()) is not None


class GossipTests(FleetCase):
    def test_crashes_at_three_nodes_quarantine_the_request_at_all_nodes(self):
        for number in range(3):
            self.record_crash(number, f"i{number}")
        self.wait(lambda: all(map(self.is_quarantined, self.guards)))

    def test_starting_node_requests_all_items(self):
        for number in range(2):
            self.record_crash(0, f"i{number}")
        eventlet.sleep(0.3)
        guard = RequestGuard()
        address = find_free_address()
        self.start(guard, f"{address[0]}:{address[1]}", self.addresses)
        self.wait(lambda: len(guard.decisions.history.get_crashes(BAD[0])) == 2)

    def test_invalid_datagrams_change_nothing(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for data in (
            b"",
            b"\x92",
            b"\x91" * 3000,
            encode(GossipMessage())[:1] + b"x" * 99,
        ):
            sock.sendto(data, self.addresses[0])
        self.record_crash(1, "i1")
        history = self.guards[0].decisions.history
        self.wait(lambda: history.get_crashes(BAD[0]))


class SharedSocketTests(GossipTests):
    """Gossip shares the node's socket with announcements of suspicions."""

    def start(self, guard, address, peers):
        port = DatagramPort(self.counters)
        port.start(address)
        board = SimpleNamespace(peers=peers)
        announcements = Announcements(board, "team", None, self.counters)
        announcements.start(port, lambda *report: None)
        CrashGossip(guard, lambda: peers, self.counters).start(port)

    def test_kinds_of_datagrams_are_distinguished(self):
        suspicion = pb.Suspicion(team="team", endpoint="i1", ratio=2.0)
        self.assertFalse(is_gossip_message(suspicion.SerializeToString()))
        self.assertTrue(
            is_gossip_message(
                encode(GossipMessage((GossipItem(GossipKind.CRASHED, BAD, 0.0),)))
            )
        )


class ValidationTests(unittest.TestCase):
    def test_values_out_of_range(self):
        for item in (
            GossipItem(GossipKind.CRASHED, (), 0.0, "i1"),
            GossipItem(GossipKind.CRASHED, ("a",) * 4, 0.0, "i1"),
            GossipItem(GossipKind.CRASHED, ("a" * 99,), 0.0, "i1"),
            GossipItem(GossipKind.CRASHED, ("a",), 0.0, ""),
            GossipItem(GossipKind.CRASHED, ("a",), -1.0, "i1"),
            GossipItem(GossipKind.CRASHED, ("a",), float("nan"), "i1"),
            GossipItem(GossipKind.CRASHED, ("a",), 1e9, "i1"),
            GossipItem(GossipKind.QUARANTINED, ("a",), 0.0, left=1e9, times=1),
            GossipItem(GossipKind.QUARANTINED, ("a",), 0.0, left=5.0, times=0),
        ):
            with self.subTest(item=item), self.assertRaises(ValueError):
                decode_message(encode(GossipMessage((item,))))
