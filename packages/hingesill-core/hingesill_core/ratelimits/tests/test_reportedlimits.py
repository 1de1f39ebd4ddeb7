"""Tests of the order of an endpoint's reports."""

import unittest

from hingesill_core.ratelimits.reportedlimits import LimitTable, ReportedLimit


def build_report(per_second, earliest, latest, born=1):
    return ReportedLimit("i1", born, per_second, earliest, latest)


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.table = LimitTable()

    def apply(self, *reports):
        for report in reports:
            self.table.apply_report(report)
        return self.table.limited.get("i1")

    def test_a_later_report_applies(self):
        self.assertEqual(
            self.apply(build_report(3.0, 0.0, 0.1), build_report(5.0, 0.2, 0.3)), 5.0
        )
        self.assertIsNone(self.apply(build_report(None, 0.4, 0.5)))
        self.assertEqual(self.table.limited, {})

    def test_a_late_response_does_not_restore_an_older_report(self):
        self.apply(build_report(3.0, 1.0, 1.1), build_report(None, 2.0, 2.1))
        self.assertIsNone(self.apply(build_report(3.0, 0.9, 1.9)))

    def test_a_response_in_flight_does_not_end_a_limit(self):
        self.assertEqual(
            self.apply(build_report(3.0, 1.0, 1.1), build_report(None, 0.5, 1.2)), 3.0
        )
        self.assertIsNone(self.apply(build_report(None, 1.15, 1.3)))

    def test_the_stricter_of_two_reports_in_uncertain_order_applies(self):
        self.assertEqual(
            self.apply(build_report(3.0, 1.0, 1.5), build_report(2.0, 1.2, 1.4)), 2.0
        )
        self.assertEqual(self.apply(build_report(4.0, 1.3, 1.6)), 2.0)

    def test_concurrent_responses_do_not_prolong_a_limit(self):
        self.apply(build_report(3.0, 0.0, 0.1))
        for sent_at in (0.05, 0.08, 0.09):
            self.apply(build_report(None, sent_at, sent_at + 0.2))
        self.assertIsNone(self.apply(build_report(None, 0.11, 0.25)))

    def test_a_limit_ends_with_the_incarnation(self):
        self.apply(build_report(3.0, 1.0, 1.1))
        self.assertEqual(len(self.table.keep({"i1": 2})), 1)
        self.assertEqual(self.table.limited, {})

    def test_a_report_of_an_earlier_incarnation_is_ignored(self):
        self.apply(build_report(3.0, 1.0, 1.1, born=2))
        self.assertEqual(self.apply(build_report(None, 2.0, 2.1, born=1)), 3.0)
        self.assertEqual(self.apply(build_report(9.0, 2.0, 2.1, born=3)), 9.0)

    def test_endpoints_without_a_limit_are_not_stored(self):
        self.assertFalse(self.table.apply_report(build_report(None, 0.0, 0.1)))
        self.assertIsNone(self.table.get("i1"))

    def test_an_ended_limit_expires(self):
        self.apply(build_report(3.0, 0.0, 0.1), build_report(None, 0.2, 0.3))
        self.table.expire(30.0)
        self.assertIsNotNone(self.table.get("i1"))
        self.table.expire(100.0)
        self.assertIsNone(self.table.get("i1"))
