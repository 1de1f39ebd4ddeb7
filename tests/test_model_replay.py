"""Ties the code to the specification: traces of it are replayed on the code."""

import random
import unittest

from hingesill_core.configuration.changelog import (
    Accepted,
    ChangeLog,
    ChangeRequest,
    Rejected,
)
from hingesill_core.configuration.log import ServiceChange
from hingesill_core.configuration.state import Replica
from hingesill_core.store import KeyMissing, Value, VersionConflict, Written
from model.spreading import OPERATIONS, Rules, State, list_steps

WALKS = 300
STEPS = 40


class PlainStore:
    """A store in memory without faults: the trace has them."""

    def __init__(self):
        self.values = {}

    def get(self, key):
        return self.values.get(key, KeyMissing())

    def put(self, key, data, expected):
        if self.get(key).version != expected:
            return VersionConflict()
        self.values[key] = Value(data, expected + 1)
        return Written()


class Replay:
    """Carries a trace out on the change log and replicas of the code."""

    def __init__(self):
        self.log = ChangeLog(PlainStore(), "team")
        self.relay = Replica()
        self.node = Replica()
        self.message = None
        self.tails = [self.log.read_tail()]

    def append(self, name):
        """Write an operation; return what becomes of it."""
        document = None if name == "t" else name
        change = ServiceChange("arena", document)
        request = ChangeRequest(name, "ann", (change,), (OPERATIONS[name],))
        verdict = self.log.append(Replica(), request, lambda: True)
        tail = self.log.read_tail()
        if tail.revision == len(self.tails):
            self.tails.append(tail)
        return verdict

    def follow(self, label, before):
        """Do what a step of the specification says."""
        if label.endswith(("takes effect", "takes effect unheard")):
            assert isinstance(self.append(label[0]), Accepted)
        elif label.endswith("reads itself back"):
            assert self.append(label[0]).repeated
        elif label.endswith("conflicts"):
            assert isinstance(self.append(label[0]), Rejected)
        elif label == "relay reads":
            self.log.catch_up(self.relay, self.tails[-1])
        elif label == "relay reads an older state":
            self.log.catch_up(self.relay, self.tails[len(before.log) - 1])
        elif label == "relay sends":
            self.message = self.relay.build_difference()
        elif label.startswith("message arrives"):
            self.node.adopt(self.message)
        elif label == "relay is replaced":
            self.relay = Replica()
        elif label == "node is replaced":
            self.node = Replica()


class ReplayTests(unittest.TestCase):
    def test_code_follows_the_specification(self):
        seen = set()
        for number in range(WALKS):
            rng = random.Random(number)
            state, replay = State(), Replay()
            for _ in range(STEPS):
                steps = list_steps(state, Rules())
                if not steps:
                    break
                label, after = rng.choice(steps)
                replay.follow(label, state)
                state = after
                seen.add(label.removeprefix(label[0]) if label[1] == " " else label)
                self.compare(state, replay, label)
        self.assertGreaterEqual(len(seen), 15)

    def compare(self, state, replay, label):
        names = tuple(e.operation_id for e in replay.log.read_tail().entries)
        self.assertEqual(names, state.log, label)
        self.assertEqual(replay.relay.revision, len(state.relay), label)
        self.assertEqual(replay.node.revision, len(state.node), label)
