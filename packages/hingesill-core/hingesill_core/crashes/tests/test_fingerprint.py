"""Tests of knowing a request again."""

import unittest

from hingesill_core.crashes.fingerprint import describe_request

REQUEST = ("GET", "a.example", "/plots/7?page=1", "10.0.0.1", b"")


def describe(**changes):
    """Return the fingerprints of a request that differs a little."""
    names = ("method", "host", "target", "caller", "body")
    return describe_request(**{**dict(zip(names, REQUEST)), **changes})


class FingerprintTests(unittest.TestCase):
    def count_same(self, **changes):
        """Return how many fingerprints are those of the unchanged request."""
        return sum(a == b for a, b in zip(describe(), describe(**changes)))

    def test_what_each_breadth_leaves_out(self):
        for same, changes in (
            (3, {"host": "A.EXAMPLE"}),
            (2, {"caller": "10.0.0.2"}),
            (1, {"target": "/plots/7?page=2"}),
            (1, {"body": b"x"}),
            (0, {"target": "/plots/8?page=1"}),
            (0, {"method": "POST"}),
            (0, {"host": "b.example"}),
        ):
            with self.subTest(changes=changes):
                self.assertEqual(self.count_same(**changes), same)

    def test_breadths_are_never_mixed_up(self):
        plain = describe(target="/plots/7")
        self.assertEqual(len({name[0] for name in plain}), 3)
