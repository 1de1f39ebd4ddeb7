"""Evidence on whether a node reaches the endpoints of a service."""

import unittest

from hingesill_core.routing.reachability import Reachability


class EvidenceTests(unittest.TestCase):
    def setUp(self):
        self.reachability = Reachability()

    def test_contacts_are_counted_by_how_they_ended(self):
        for endpoint in ("a", "b", "c", "d"):
            self.reachability.record_contact(endpoint, 1.0)
        self.reachability.record_failure("a", timed_out=True, now=1.25)
        self.reachability.record_failure("b", timed_out=False, now=1.01)
        self.reachability.record_left_out("c")
        self.assertEqual(
            self.reachability.describe(1.3),
            {
                "endpoints": 3,
                "sent": 3,
                "timed_out": 1,
                "refused": 1,
                "pending": 1,
                "left_out": 1,
                "ms": 300,
            },
        )

    def test_anything_received_ends_the_evidence(self):
        self.reachability.record_contact("a", 1.0)
        self.reachability.record_heard(1.1)
        self.assertEqual(self.reachability.describe(1.2), {})
