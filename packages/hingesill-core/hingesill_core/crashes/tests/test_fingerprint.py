"""Tests of request fingerprints."""

import unittest

from hingesill_core.crashes.fingerprint import describe_request

REQUEST = ("GET", "a.example", "/plots/7?page=1", "10.0.0.1", b"")


def build_fingerprints(**changes):
    """Return the fingerprints of REQUEST with some parts changed."""
    names = ("method", "host", "target", "caller", "body")
    return describe_request(**{**dict(zip(names, REQUEST)), **changes})


class FingerprintTests(unittest.TestCase):
    def count_same(self, **changes):
        """Return how many fingerprints are those of the unchanged request."""
        return sum(
            a == b for a, b in zip(build_fingerprints(), build_fingerprints(**changes))
        )

    def test_parts_that_each_scope_excludes(self):
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

    def test_scopes_have_different_first_letters(self):
        fingerprints = build_fingerprints(target="/plots/7")
        self.assertEqual(len({name[0] for name in fingerprints}), 3)
