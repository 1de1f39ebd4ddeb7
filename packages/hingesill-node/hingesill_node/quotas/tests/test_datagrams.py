"""Tests of datagrams on quotas, and of their exchange over a socket."""

import random
import unittest
import unittest.mock

from msgspec.structs import replace

from hingesill_core.organisations.organisation import Organisation
from hingesill_core.quotas.membership import MAX_PROBED_LEFT, MAX_UNLISTED
from hingesill_core.quotas.messages import (
    QuotaProbe,
    QuotaProbeReply,
    QuotaRelay,
    QuotaReply,
    QuotaReport,
)
from hingesill_core.quotas.nodelists import count_parts, encode_part
from hingesill_core.ratelimits.coordinators import rank_coordinators
from hingesill_node.quotas.datagrams import (
    MAX_LISTED_BYTES,
    MAX_NAME_LENGTH,
    MAX_NODES,
    QUOTA_PREFIX,
    decode_message,
    encode_message,
)
from hingesill_node.quotas.exchange import NOTICES, REPLACED, QuotaExchange
from hingesill_node.quotas.tests.fakequotas import FakeQuotas, build_gate
from hingesill_node.telemetry.counters import Counters

REPORT = QuotaReport("acme", 7, 3, 2, 40.0, 1.5, 12.5, 4.9, 30.0, 6)
REPLY = QuotaReply("acme", 7, 3, 12.5, 5.0, 4, 0.25)
MESSAGES = (
    REPORT,
    REPLY,
    QuotaProbe(4),
    QuotaProbe(0, "acme"),
    QuotaProbeReply(4, True),
    QuotaProbeReply(0, True, 3.5),
    QuotaProbe(4, "", (("10.0.0.1", 80), ("10.0.0.2", 80))),
    QuotaProbeReply(4, True, 0.0, (1,), (0,)),
    QuotaProbe(4, "", (), 7, b"\x01\x02\x03\x04", 1, 2),
    QuotaProbeReply(4, True, 0.0, (), (), (("10.0.0.1", 80),)),
)
PATH = tuple((f"10.0.0.{n}", 80) for n in range(4))
RELAYS = (QuotaRelay(REPORT, PATH), QuotaRelay(REPLY, PATH))
MAX_DATAGRAM_BYTES = 1400


class CodecTests(unittest.TestCase):
    """Guards against values from the network that break decisions on quotas."""

    def test_decoded_message_equals_the_encoded_one(self):
        for message in (*MESSAGES, *RELAYS):
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_the_longest_name_fits_into_a_datagram(self):
        message = replace(REPORT, organisation="\U0001f600" * MAX_NAME_LENGTH)
        relay = QuotaRelay(message, (("255.255.255.255", 65535),) * 4)
        self.assertLess(len(encode_message(relay)), MAX_DATAGRAM_BYTES)
        self.assertEqual(decode_message(encode_message(message)), message)

    def test_each_number_is_checked(self):
        for message in MESSAGES:
            for name in message.__struct_fields__:
                if isinstance(getattr(message, name), (str, bool)):
                    continue
                for value in (-1, float("nan"), float("inf"), 1e300, "x", None):
                    changed = replace(message, **{name: value})
                    with self.subTest(changed), self.assertRaises(ValueError):
                        decode_message(encode_message(changed))

    def test_lists_of_nodes(self):
        node = ("10.0.0.1", 80)
        invalid = [("x" * 65, 80)], [("10.0.0.1", 0)], [("10.0.0.1", 65536)], [("a",)]
        for left in (*invalid, [node] * (MAX_NODES + 1)):
            with self.subTest(left), self.assertRaises(ValueError):
                decode_message(encode_message(QuotaProbe(1, "", left)))
        for kept in ([-1], [MAX_NODES], ["x"], [0] * (MAX_NODES + 1)):
            with self.subTest(kept), self.assertRaises(ValueError):
                decode_message(encode_message(QuotaProbeReply(1, True, 0.0, kept)))
            with self.subTest(unknown=kept), self.assertRaises(ValueError):
                reply = QuotaProbeReply(1, True, 0.0, (), kept)
                decode_message(encode_message(reply))

    def test_a_probe_with_the_most_nodes_fits_into_a_datagram(self):
        left = (("255.255.255.255", 65535),) * MAX_PROBED_LEFT
        data = encode_message(QuotaProbe(2**40, "", left))
        self.assertLess(len(data), MAX_DATAGRAM_BYTES)

    def test_messages_that_compare_lists_fit_into_a_datagram(self):
        node = ("255.255.255.255", 65535)
        left = (node,) * MAX_PROBED_LEFT
        for count in (1, 107, 312, 1100):
            nodes = [(f"10.0.{n // 250}.{n % 250}", 80) for n in range(count)]
            parts = count_parts(nodes)
            for part in range(parts):
                listed = encode_part(nodes, part, parts)
                probe = QuotaProbe(2**40, "", left, 2**32, listed, part, parts)
                with self.subTest(nodes=count, part=part):
                    data = encode_message(probe)
                    self.assertLess(len(data), MAX_DATAGRAM_BYTES)
                    self.assertEqual(decode_message(data), probe)
        positions = tuple(range(MAX_PROBED_LEFT))
        unlisted = (node,) * MAX_UNLISTED
        reply = QuotaProbeReply(2**40, True, 3.5, positions, positions, unlisted)
        self.assertLess(len(encode_message(reply)), MAX_DATAGRAM_BYTES)

    def test_compared_lists(self):
        for unlisted in ([("10.0.0.1", 0)], [("10.0.0.1", 80)] * (MAX_NODES + 1)):
            with self.subTest(unlisted), self.assertRaises(ValueError):
                reply = QuotaProbeReply(1, True, 0.0, (), (), unlisted)
                decode_message(encode_message(reply))
        for probe in (
            QuotaProbe(1, "", (), 7, b"x" * (MAX_LISTED_BYTES + 1)),
            QuotaProbe(1, "", (), 7, b"", 0, 0),
        ):
            with self.subTest(probe), self.assertRaises(ValueError):
                decode_message(encode_message(probe))

    def test_relayed_messages(self):
        for path in (PATH[:3], (*PATH, PATH[0]), (*PATH[:3], ("10.0.0.1", 0))):
            with self.subTest(path), self.assertRaises(ValueError):
                decode_message(encode_message(QuotaRelay(REPORT, path)))
        for message in (replace(REPORT, wanted=-1), replace(REPLY, organisation="")):
            with self.subTest(message), self.assertRaises(ValueError):
                decode_message(encode_message(QuotaRelay(message, PATH)))
        with self.assertRaises(ValueError):
            decode_message(encode_message(QuotaRelay(QuotaProbe(1), PATH)))

    def test_names(self):
        for name in ("", "x" * (MAX_NAME_LENGTH + 1), 5):
            with self.assertRaises(ValueError):
                decode_message(encode_message(replace(REPLY, organisation=name)))
        with self.assertRaises(ValueError):
            decode_message(encode_message(QuotaProbe(1, "x" * (MAX_NAME_LENGTH + 1))))

    def test_corrupt_bytes_raise_nothing_but_value_error(self):
        rng = random.Random(1)
        for _ in range(3000):
            data = bytearray(encode_message(rng.choice((*MESSAGES, *RELAYS))))
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode_message(bytes(data[: rng.randint(0, len(data))]))
            except ValueError:
                continue


class Port:
    """Records what is sent, in place of a DatagramPort."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def register(self, prefixes, handler):
        self.handlers[prefixes] = handler

    def send(self, data, peer):
        self.sent.append((data, peer))


class BusyQuotas(FakeQuotas):
    """Records what the exchange passes on."""

    def __init__(self):
        super().__init__()
        self.is_busy = False
        self.node_lists = []
        self.heard = []
        self.rounds = []

    def is_idle(self, now):
        return not self.is_busy

    def set_nodes(self, own, nodes, now):
        self.node_lists.append((own, tuple(nodes)))

    def handle_message(self, message, sender, now):
        self.heard.append((message, sender))
        return ()

    def run_round(self, now):
        self.rounds.append(now)


class ExchangeTests(unittest.TestCase):
    """Guards against messages and node lists of nodes whose quotas need none."""

    def setUp(self):
        self.now = 5.0
        self.quotas = BusyQuotas()
        self.counters = Counters()
        gate = build_gate(self.quotas, lambda: self.now)
        self.port = Port()
        own, other = ("10.0.0.1", 7200), ("10.0.0.2", 7200)
        self.exchange = QuotaExchange(gate, self.port, lambda: [other], self.counters)
        self.exchange.start(own)
        self.other = other

    def receive(self, data):
        self.receive_from(self.other, data)

    def receive_from(self, sender, data):
        self.port.handlers[QUOTA_PREFIX](data, sender)

    def test_messages_reach_the_decisions_and_the_nodes(self):
        self.receive(encode_message(REPLY))
        self.assertEqual(self.quotas.heard, [(REPLY, self.other)])
        self.quotas.send(self.other, REPORT)
        self.assertEqual(self.port.sent, [(encode_message(REPORT), self.other)])

    def test_invalid_datagrams_are_counted_and_logged_with_a_bound(self):
        with self.assertLogs("hingesill", "WARNING") as logs:
            for data in (b"Q", b"Q\x00", encode_message(REPORT)[:9]):
                self.receive(data)
        self.assertEqual(len(logs.records), 1)
        counts = dict(self.counters.sum_by_name())
        self.assertEqual(counts, {"quota_datagrams": 3})
        self.assertEqual(self.quotas.heard, [])

    def test_a_full_socket_buffer_is_like_a_lost_datagram(self):
        self.port.send = unittest.mock.Mock(side_effect=BlockingIOError)
        self.quotas.send(self.other, REPORT)
        self.assertEqual(self.counters.counts[("quota_datagrams", "failed", "")], 1)

    def test_the_node_list_is_read_only_for_organisations_messages_and_work(self):
        self.exchange.gate.configure(None)
        self.assertEqual(self.quotas.node_lists, [])
        self.exchange.gate.configure({})
        self.assertEqual(self.quotas.node_lists, [(("10.0.0.1", 7200), (self.other,))])
        self.receive(encode_message(REPLY))
        self.now += 1.0
        self.receive(encode_message(REPLY))
        self.receive(encode_message(REPLY))
        self.assertEqual(len(self.quotas.node_lists), 2)

    def test_a_coordinator_that_is_back_is_told_that_it_was_replaced(self):
        """It would grant the same rate as its substitute, whose leases are valid."""
        own, liveness = self.exchange.own, self.exchange.liveness
        self.exchange.gate.configure({"acme": Organisation("acme")})
        liveness._excluded[self.other] = self.now
        self.exchange._refresh_nodes()
        self.assertEqual(self.quotas.node_lists[-1], (own, ()))
        self.receive_from(("10.0.0.3", 7200), encode_message(REPORT))
        self.receive(encode_message(QuotaProbe(7)))
        for _ in range(5):
            self.exchange._send_notices()
        notice = (encode_message(REPLACED), self.other)
        self.assertEqual(self.port.sent, [notice] * NOTICES)
        self.assertEqual(self.quotas.node_lists[-1], (own, (self.other,)))

    def test_a_node_that_replaced_no_coordinator_says_nothing(self):
        self.exchange.liveness.set_nodes([self.other])
        self.exchange.liveness._excluded[self.other] = self.now
        self.receive(encode_message(QuotaProbe(7)))
        self.assertEqual(self.port.sent, [])

    def test_a_replaced_coordinator_begins_anew(self):
        self.receive(encode_message(REPLACED))
        own = self.exchange.own
        expected = [(None, ()), (own, (self.other,))]
        self.assertEqual(self.quotas.node_lists[-2:], expected)

    def test_a_report_for_another_coordinator_has_that_node_checked(self):
        """A substitute without requests of its own does not notice the loss."""
        own = self.exchange.own
        names = [f"o{number}" for number in range(20)]
        self.exchange.gate.configure({n: Organisation(n) for n in names})
        for name in names:
            self.receive(encode_message(replace(REPORT, organisation=name)))
            coordinator = rank_coordinators(name, (own, self.other))[0]
            is_checked = not self.exchange.liveness.is_idle
            self.assertEqual(is_checked, coordinator != own)
            self.exchange.liveness.set_nodes(())
            self.exchange.liveness.set_nodes([self.other])


if __name__ == "__main__":
    unittest.main()
