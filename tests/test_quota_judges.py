"""Tests that the judges of quotas and fair shares detect violations."""

import unittest

from soak.quotajudges import (
    ANSWERED,
    MIN_REQUESTS,
    OVER_QUOTA,
    UNAUTHENTICATED,
    check_bounds,
    check_refusals,
    check_shares,
    compute_bound,
    count_max_arrivals,
)

GREEDY, MODEST = "greedy", "modest"
NOT_RUN = 503
CALM_SINCE = 100.0


def list_places(violations):
    """Return the places of violations."""
    return [violation.place for violation in violations]


class BoundTests(unittest.TestCase):
    """Guards against arrivals beyond the quota that the soak overlooks."""

    quotas = {"a": (10.0, 10.0)}

    def check(self, times):
        return list(check_bounds([("a", at) for at in times], self.quotas))

    def test_the_bound(self):
        self.assertAlmostEqual(compute_bound(10.0, 10.0), 86.0)

    def test_arrivals_at_the_bound(self):
        self.assertEqual(self.check([3.0] * 86), [])
        self.assertEqual(self.check([1.0] * 86 + [6.0] * 86), [])

    def test_one_arrival_too_many(self):
        self.assertTrue(self.check([1.0] * 40 + [5.9] * 47))
        self.assertTrue(self.check([5.9] * 47 + [1.0] * 40))

    def test_a_window_that_begins_at_any_arrival(self):
        times = [0.0] * 50 + [4.0] * 50 + [8.9] * 50
        self.assertEqual(count_max_arrivals(times), 100)

    def test_arrivals_of_other_organisations(self):
        others = [("b", 1.0)] * 1000
        self.assertEqual(list(check_bounds([("a", 1.0), *others], self.quotas)), [])

    def test_an_organisation_without_arrivals(self):
        self.assertTrue(self.check([]))


class RefusalTests(unittest.TestCase):
    """Guards against refusals of an organisation far below its quota."""

    def check(self, modest, greedy=((CALM_SINCE, OVER_QUOTA),)):
        answers = [(MODEST, *answer) for answer in modest]
        answers += [(GREEDY, *answer) for answer in greedy]
        return list_places(check_refusals(answers, CALM_SINCE, MODEST, GREEDY))

    def setUp(self):
        self.answered = [(CALM_SINCE + 1.0, ANSWERED)] * MIN_REQUESTS

    def test_no_refusals(self):
        self.assertEqual(self.check(self.answered), [])

    def test_a_refusal_without_a_fault(self):
        refused = [(CALM_SINCE, OVER_QUOTA)]
        self.assertEqual(self.check(self.answered + refused), [MODEST])

    def test_refusals_during_a_fault_and_for_other_reasons(self):
        others = [(CALM_SINCE - 0.1, OVER_QUOTA), (CALM_SINCE, NOT_RUN)]
        self.assertEqual(self.check(self.answered + others), [])

    def test_too_few_requests(self):
        """A caller that has stopped does not count as one that is not refused."""
        self.assertEqual(self.check(self.answered[1:]), [MODEST])

    def test_an_organisation_beyond_its_quota_that_is_not_refused(self):
        """The bound alone would hold if its callers sent too little."""
        self.assertEqual(self.check(self.answered, [(CALM_SINCE, ANSWERED)]), [GREEDY])


class ShareTests(unittest.TestCase):
    """Guards against an organisation that is hardly served at all."""

    def check(self, **counts):
        """Return the places of violations.

        Parameters
        ----------
        counts : dict of tuple of int
            Requests served, and refused for other reasons than a quota, of each
            organisation.
        """
        answers = []
        for name, (served, refused) in counts.items():
            answers += [(name, 1.0, ANSWERED)] * served + [
                (name, 1.0, NOT_RUN)
            ] * refused
        return list_places(check_shares(answers, 0.0, 2.0, "in all"))

    def test_equal_shares(self):
        self.assertEqual(self.check(a=(30, 70), b=(300, 700)), [])

    def test_shares_about_a_quarter_of_the_overall_share(self):
        # The overall shares are 0.484 and 0.483.
        self.assertEqual(self.check(a=(13, 87), b=(520, 480)), [])
        self.assertEqual(self.check(a=(12, 88), b=(520, 480)), ["a"])

    def test_the_largest_organisation_starves(self):
        self.assertEqual(self.check(a=(50, 0), b=(5, 95)), ["b"])

    def test_too_few_requests_to_judge(self):
        self.assertEqual(self.check(a=(0, MIN_REQUESTS - 1), b=(500, 0)), [])
        self.assertEqual(self.check(a=(0, MIN_REQUESTS), b=(500, 0)), ["a"])

    def test_nothing_served(self):
        self.assertTrue(self.check(a=(0, 100)))
        self.assertTrue(self.check())

    def test_requests_without_an_answer_count_as_not_served(self):
        answers = [("a", 1.0, None)] * 50 + [("b", 1.0, ANSWERED)] * 50
        self.assertEqual(list_places(check_shares(answers, 0.0, 2.0, "")), ["a"])

    def test_refusals_for_a_quota_or_key_are_not_counted(self):
        for status in (OVER_QUOTA, UNAUTHENTICATED):
            answers = [("a", 1.0, status)] * 900 + [("a", 1.0, ANSWERED)] * 30
            answers += [("b", 1.0, ANSWERED)] * 100
            self.assertEqual(list(check_shares(answers, 0.0, 2.0, "")), [])

    def test_requests_at_other_times_are_not_counted(self):
        answers = [("a", at, NOT_RUN) for at in (0.9, 2.0)] * 100
        answers += [("b", 1.0, ANSWERED)] * 100
        self.assertEqual(list(check_shares(answers, 1.0, 2.0, "")), [])
