"""Evidence on whether a node reaches the endpoints of a service."""

import unittest

from hingesill_core.routing.reachability import Reachability


class EvidenceTests(unittest.TestCase):
    def setUp(self):
        self.reachability = Reachability()

    def test_contacts_are_counted_by_how_they_ended(self):
        for endpoint in ("a", "b", "c", "d"):
            self.reachability.record_contact(endpoint, 1.0)
        self.reachability.record_failure("a", timed_out=True)
        self.reachability.record_failure("b", timed_out=False)
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


class AssessmentTests(unittest.TestCase):
    endpoints = ("a", "b", "c", "d")

    def setUp(self):
        self.reachability = Reachability(is_enabled=True)

    def contact(self, *endpoints, now=0.0):
        for endpoint in endpoints:
            self.reachability.record_contact(endpoint, now)

    def assess(self, until, endpoints=endpoints):
        """Assess every 15 ms, as while requests wait; return the last result."""
        result = False
        for step in range(int(until / 0.015) + 1):
            result = self.reachability.assess(endpoints, step * 0.015)
        return result

    def test_silence_of_several_endpoints_puts_the_service_out_of_reach(self):
        self.contact("a", "b", "c")
        self.assertFalse(self.assess(0.07))
        self.assertTrue(self.assess(0.1))

    def test_silence_of_two_among_many_does_not(self):
        self.contact("a", "b")
        self.assertFalse(self.assess(2.0))

    def test_silence_of_all_of_a_small_service_does(self):
        self.contact("a", "b")
        self.assertTrue(self.assess(0.1, ("a", "b")))

    def test_one_reply_among_silent_endpoints_shows_that_the_paths_work(self):
        self.contact("a", "b", "c")
        self.reachability.record_heard(0.05)
        self.assertFalse(self.assess(0.3))

    def test_resets_count_later_than_silence(self):
        self.contact("a", "b", "c")
        for endpoint in ("a", "b", "c"):
            self.reachability.record_failure(endpoint, timed_out=False)
        self.assertFalse(self.assess(0.15))
        self.assertTrue(self.assess(0.25))

    def test_a_node_that_was_delayed_gives_replies_more_time(self):
        self.contact("a", "b", "c")
        self.reachability.assess(self.endpoints, 0.015)
        self.assertFalse(self.reachability.assess(self.endpoints, 1.0))
        self.assertFalse(self.reachability.assess(self.endpoints, 1.05))
        self.assertTrue(self.reachability.assess(self.endpoints, 1.09))

    def test_endpoints_that_have_gone_are_no_evidence(self):
        self.contact("a", "b", "c")
        self.assertFalse(self.assess(0.1, ("d", "e", "f")))

    def test_the_first_byte_ends_it(self):
        self.contact("a", "b", "c")
        self.assess(0.1)
        self.reachability.record_heard(0.2)
        self.assertFalse(self.reachability.assess(self.endpoints, 0.21))

    def test_a_node_that_forwards_nothing_never_assesses(self):
        self.reachability.is_enabled = False
        self.contact("a", "b", "c")
        self.assertFalse(self.assess(0.5))
