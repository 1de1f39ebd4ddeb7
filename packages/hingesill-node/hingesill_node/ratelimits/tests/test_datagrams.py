"""Tests of datagrams on rate limits, and of nodes that exchange them."""

import random
import socket
import unittest

import eventlet

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.ratelimits.fleet import FleetLimits
from hingesill_core.ratelimits.grants import MAX_GRANTS_PER_REQUEST
from hingesill_core.ratelimits.grantscheduler import MAX_GRANT_RUNS_PER_REPLY, GrantRun
from hingesill_core.ratelimits.messages import (
    GrantReply,
    GrantRequest,
    LimitQuery,
    LimitRecord,
    LimitUpdate,
)
from hingesill_core.ratelimits.reportedlimits import ParsedLimit
from hingesill_node.crashes.datagrams import MESSAGE_PREFIX
from hingesill_node.datagramport import DatagramPort
from hingesill_node.ratelimits.datagrams import (
    LIMIT_PREFIX,
    decode_message,
    encode_message,
)
from hingesill_node.ratelimits.exchange import LimitExchange
from hingesill_node.telemetry.counters import Counters

RECORD = LimitRecord("arena", "i-0123456789", 1_764_720_000_000, 2.5, 0.1, 0.2, True)
RUN = GrantRun("i-0123456789", 0.123456, 0.4, 3)
MESSAGES = (
    LimitUpdate((RECORD,)),
    GrantRequest(3, "arena", 2, 0.5, (RECORD,), ("i1",)),
    GrantReply(3, "arena", (RUN,), 0.1, 0.2, 0.6, (RECORD,)),
    LimitQuery(),
)
MAX_DATAGRAM_BYTES = 1400


class CodecTests(unittest.TestCase):
    def test_decoded_message_equals_the_encoded_one(self):
        for message in MESSAGES:
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_kinds_of_datagrams_are_distinguished(self):
        suspicion = pb.Suspicion(team="team", endpoint="i1", ratio=2.0)
        prefixes = {LIMIT_PREFIX, MESSAGE_PREFIX, suspicion.SerializeToString()[:1]}
        self.assertEqual(len(prefixes), 3)

    def test_largest_messages_fit_into_a_datagram(self):
        reply = GrantReply(9, "arena", (RUN,) * MAX_GRANT_RUNS_PER_REPLY, 0.1, 0.2, 0.6)
        self.assertLess(len(encode_message(reply)), MAX_DATAGRAM_BYTES)
        self.assertLess(
            len(encode_message(LimitUpdate((RECORD,) * 16))), MAX_DATAGRAM_BYTES
        )
        excluded = (RECORD.endpoint,) * 16
        request = GrantRequest(9, "arena", 1024, 0.7, (RECORD,) * 16, excluded)
        self.assertLess(len(encode_message(request)), MAX_DATAGRAM_BYTES)

    def test_values_out_of_range(self):
        for message in (
            LimitUpdate((LimitRecord("arena", "", 1, 2.5, 0.1, 0.2),)),
            LimitUpdate((LimitRecord("arena", "i1", 1, -1.0, 0.1, 0.2),)),
            LimitUpdate((LimitRecord("arena", "i1", 1, float("inf"), 0.1, 0.2),)),
            LimitUpdate((LimitRecord("arena", "i1", 1, float("nan"), 0.1, 0.2),)),
            LimitUpdate((LimitRecord("arena", "i1", 1, 1.0, -0.1, 0.2),)),
            LimitUpdate((RECORD,) * 17),
            GrantRequest(1, "arena", 0),
            GrantRequest(1, "arena", MAX_GRANTS_PER_REQUEST + 1),
            GrantRequest(1, "", 1),
            GrantRequest(1, "arena", 1, excluded=("i1",) * 17),
            GrantReply(
                1, "arena", (RUN,) * (MAX_GRANT_RUNS_PER_REPLY + 1), 0.0, 0.0, 0.0
            ),
            GrantReply(1, "arena", (GrantRun("i1", 0.0, 0.0, -1),), 0.0, 0.0, 0.0),
            GrantReply(1, "arena", (GrantRun("i1", 0.0, 0.0, 900),) * 2, 0.0, 0.0, 0.0),
            GrantReply(1, "arena", (), float("nan"), 0.0, 0.0),
        ):
            with self.subTest(message=message), self.assertRaises(ValueError):
                decode_message(encode_message(message))

    def test_corrupt_bytes_raise_nothing_but_value_error(self):
        rng = random.Random(1)
        for _ in range(5000):
            data = bytearray(encode_message(rng.choice(MESSAGES)))
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode_message(bytes(data[: rng.randint(0, len(data))]))
            except ValueError:
                continue


class Runners:
    """Replaces the RunnerTable of a node."""

    def __init__(self, limits):
        self.limits = limits

    def clock(self):
        return eventlet.hubs.get_hub().clock()

    def query_load(self, name, endpoints):
        pass


class ExchangeTests(unittest.TestCase):
    """Three nodes, over real sockets."""

    def setUp(self):
        self.counters = Counters()
        addresses = [self.find_free_address() for _ in range(3)]
        self.nodes = [self.start(address, addresses) for address in addresses]

    def find_free_address(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()

    def start(self, own, addresses):
        limits = FleetLimits(random.Random(1), is_declared=lambda name: name == "arena")
        port = DatagramPort(self.counters)
        port.start("%s:%d" % own)
        others = [address for address in addresses if address != own]
        LimitExchange(
            limits, port, lambda: others, Runners(limits), self.counters
        ).start(own)
        return limits

    def wait(self, condition):
        with eventlet.Timeout(5.0):
            while not condition():
                eventlet.sleep(0.01)

    def test_node_that_is_not_the_coordinator_gets_grants(self):
        now = Runners(None).clock()
        for node in self.nodes:
            node.get("arena").record("i1", 1, ParsedLimit(50.0), now, now)
        client = next(n for n in self.nodes if not n.get("arena").is_primary())
        limits = client.get("arena")
        limits.grant_client.request_grants(3, 0.5, now)
        self.wait(lambda: limits.grant_client.grants.count(Runners(None).clock()) == 3)

    def test_limit_reaches_the_other_nodes(self):
        now = Runners(None).clock()
        self.nodes[0].get("arena").record("i1", 1, ParsedLimit(2.5), now, now)
        self.wait(lambda: all(n.get("arena").limited for n in self.nodes))

    def test_undeclared_services_are_ignored(self):
        now = Runners(None).clock()
        record = LimitRecord("other", "i1", 1, 2.5, 0.0, 0.0)
        self.nodes[0].handle_message(LimitUpdate((record,)), ("127.0.0.1", 1), now)
        self.nodes[0].handle_message(GrantRequest(1, "other", 1), ("127.0.0.1", 1), now)
        self.assertEqual(list(self.nodes[0].services), [])

    def test_invalid_datagrams_change_nothing(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        for data in (
            b"",
            LIMIT_PREFIX,
            LIMIT_PREFIX * 2000,
            encode_message(MESSAGES[1])[:9],
        ):
            sock.sendto(data, self.nodes[0].own)
        now = Runners(None).clock()
        self.nodes[1].get("arena").record("i1", 1, ParsedLimit(2.5), now, now)
        self.wait(lambda: self.nodes[0].get("arena").limited)
