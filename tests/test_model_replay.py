"""Tests that traces of the specification can be replayed on the code."""

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

TRACES = 300
MAX_STEPS = 40


class MemoryStore:
    """An in-memory store without faults, as the trace contains the faults."""

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
    """Execution of a trace on the change log and replicas of the code."""

    def __init__(self):
        self.log = ChangeLog(MemoryStore(), "team")
        self.relay = Replica()
        self.node = Replica()
        self.message = None
        self.tails = [self.log.read_tail()]

    def append(self, name):
        """Append an operation; return the result."""
        document = None if name == "t" else name
        change = ServiceChange("arena", document)
        request = ChangeRequest(name, "ann", (change,), (OPERATIONS[name],))
        result = self.log.append(Replica(), request, lambda: True)
        tail = self.log.read_tail()
        if tail.revision == len(self.tails):
            self.tails.append(tail)
        return result

    def execute(self, label, before):
        """Execute a step of the specification."""
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
        executed = set()
        for seed in range(TRACES):
            rng = random.Random(seed)
            state, replay = State(), Replay()
            for _ in range(MAX_STEPS):
                steps = list_steps(state, Rules())
                if not steps:
                    break
                label, after = rng.choice(steps)
                replay.execute(label, state)
                state = after
                executed.add(label.removeprefix(label[0]) if label[1] == " " else label)
                self.compare(state, replay, label)
        self.assertGreaterEqual(len(executed), 15)

    def compare(self, state, replay, label):
        names = tuple(e.operation_id for e in replay.log.read_tail().entries)
        self.assertEqual(names, state.log, label)
        self.assertEqual(replay.relay.revision, len(state.relay), label)
        self.assertEqual(replay.node.revision, len(state.node), label)
