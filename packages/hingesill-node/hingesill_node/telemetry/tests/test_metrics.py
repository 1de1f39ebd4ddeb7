"""Tests of exported metrics."""

import unittest

from hingesill_node.telemetry.counters import Counters
from hingesill_node.telemetry.metrics import LatencyCollector


class LatencyTests(unittest.TestCase):
    def test_buckets_are_cumulative(self):
        counters = Counters()
        for seconds in (0.004, 0.06, 0.06, 9.0):
            counters.latencies["arena"].record(seconds)
        (family,) = LatencyCollector(counters).collect()
        values = {
            sample.labels.get("le"): sample.value
            for sample in family.samples
            if sample.name.endswith("_bucket")
        }
        self.assertEqual(values["0.01"], 1)
        self.assertEqual(values["0.1"], 3)
        self.assertEqual(values["+Inf"], 4)
