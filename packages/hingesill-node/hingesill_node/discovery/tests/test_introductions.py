"""Tests of introductions between nodes."""

import random
import unittest

from hingesill_core.discovery.records import NodeRecord
from hingesill_node.discovery.introductions import (
    INTRODUCTION_PREFIX,
    MAX_TEXT_LENGTH,
    START_RECIPIENTS,
    IntroductionExchange,
    decode_introduction,
    encode_introduction,
)
from hingesill_node.telemetry.counters import Counters

SENDER = ("10.0.0.1", 7200)
NODE = NodeRecord("n1", "10.0.0.1:7200", "a")


class CodecTests(unittest.TestCase):
    """Guards against introductions for another address, and invalid ones."""

    def test_decoded_introduction_equals_the_node(self):
        self.assertEqual(decode_introduction(encode_introduction(NODE), SENDER), NODE)

    def test_another_sender(self):
        for sender in (("10.0.0.2", 7200), ("10.0.0.1", 7201)):
            with self.subTest(sender), self.assertRaises(ValueError):
                decode_introduction(encode_introduction(NODE), sender)

    def test_invalid_texts(self):
        for name, data_centre in (("", "a"), ("x" * 257, "a"), ("n1", "x" * 257)):
            node = NodeRecord(name, NODE.address, data_centre)
            with self.subTest(node), self.assertRaises(ValueError):
                decode_introduction(encode_introduction(node), SENDER)

    def test_corrupt_bytes_raise_nothing_but_value_error(self):
        rng = random.Random(1)
        for _ in range(2000):
            data = bytearray(encode_introduction(NODE))
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode_introduction(bytes(data[: rng.randint(0, len(data))]), SENDER)
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


class ExchangeTests(unittest.TestCase):
    """Guards against introductions that are lost, or too many."""

    def setUp(self):
        self.peers = [("10.0.1.1", port) for port in range(1, 100)]
        self.recorded = []
        self.port = Port()
        self.exchange = IntroductionExchange(
            NODE,
            lambda: self.peers,
            lambda: False,
            self.recorded.append,
            Counters(),
            lambda: 5.0,
        )
        self.exchange.start(self.port)

    def test_received_introductions_are_recorded(self):
        handle = self.port.handlers[INTRODUCTION_PREFIX]
        handle(encode_introduction(NODE), SENDER)
        with self.assertLogs("hingesill", "WARNING") as logs:
            for _ in range(3):
                handle(b"N" + b"\xff" * MAX_TEXT_LENGTH, SENDER)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.recorded, [NODE])

    def test_recipients_are_bounded_and_differ(self):
        for peers, expected in ((self.peers, START_RECIPIENTS), (self.peers[:3], 3)):
            self.peers, self.port.sent = peers, []
            self.exchange._introduce(START_RECIPIENTS)
            recipients = {peer for _, peer in self.port.sent}
            self.assertEqual(len(self.port.sent), expected)
            self.assertEqual(len(recipients), expected)


if __name__ == "__main__":
    unittest.main()
