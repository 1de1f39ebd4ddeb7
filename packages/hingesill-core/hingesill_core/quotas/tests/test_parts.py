"""The parts of which quotas are made."""

import random
import unittest

import msgspec

from hingesill_core.organisations.organisation import Organisation
from hingesill_core.quotas.allowance import Allowance, compute_allowance
from hingesill_core.quotas.client import KEEP_SECONDS, QuotaClient
from hingesill_core.quotas.coordinator import TAKEOVER_SECONDS, QuotaCoordinator
from hingesill_core.quotas.decision import QuotaStatus
from hingesill_core.quotas.fleet import FleetQuotas
from hingesill_core.quotas.messages import (
    QuotaProbe,
    QuotaProbeReply,
    QuotaReply,
    QuotaReport,
)
from hingesill_core.quotas.placement import Placement
from hingesill_core.quotas.quorum import MAX_SAMPLE, ProbeOutcome, Quorum
from hingesill_core.ratelimits.coordinators import rank_coordinators

NODES = [(f"10.0.0.{n}", 80) for n in range(40)]


class AllowanceTests(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_tolerance(self):
        """One request for each of many nodes would exceed a small one."""
        for extra, nodes in ((23.0, 107), (118.0, 107), (620.0, 107), (620.0, 1)):
            total = sum(compute_allowance(extra, rank, nodes) for rank in range(nodes))
            self.assertLessEqual(total, 0.35 * extra)

    def test_no_window_has_more(self):
        """A token bucket would also let through what accrues within a window."""
        allowance = Allowance()
        times = [n / 10 for n in range(200) if allowance.admit(2, 5.0, n / 10)]
        self.assertEqual(len([at for at in times if 3.0 <= at <= 8.0]), 2)


class PlacementTests(unittest.TestCase):
    def test_updates_give_the_same_as_a_computation(self):
        rng = random.Random(1)
        own = NODES[0]
        nodes = set(NODES[:20])
        placement = Placement("acme", own, nodes)
        for _ in range(50):
            others = rng.sample(NODES[1:], rng.randrange(1, 39))
            after = {own, *others}
            placement.update(after - nodes, nodes - after, after)
            nodes = after
            expected = Placement("acme", own, nodes)
            self.assertEqual(placement.coordinator, expected.coordinator)
            self.assertEqual(placement.rank, expected.rank)
            first = rank_coordinators("acme", nodes)[0]
            self.assertEqual(placement.coordinator, first)


class QuorumTests(unittest.TestCase):
    def probe(self, others, accepting):
        quorum = Quorum(random.Random(1))
        quorum.set_nodes(others)
        for node, number in quorum.start_round(0.0):
            if node in accepting:
                quorum.record_answer(QuotaProbeReply(number, True), node, 0.005)
        return quorum

    def test_most_nodes_have_to_accept_the_node(self):
        for others in (NODES[:1], NODES[:2], NODES[:7], NODES):
            self.assertTrue(self.probe(others, others).is_confirmed(0.01))
            self.assertFalse(self.probe(others, ()).is_confirmed(0.01))

    def test_confirmation_ends_without_answers(self):
        quorum = self.probe(NODES, NODES)
        confirmed = []
        for now in (n / 10 for n in range(1, 30)):
            quorum.start_round(now)
            if quorum.is_confirmed(now):
                confirmed.append(now)
        self.assertGreaterEqual(max(confirmed), 0.5)
        self.assertLess(max(confirmed), 1.5)

    def test_nodes_that_have_started_are_probed_again(self):
        """Without it, a fleet that starts has no coordinator for up to 2 s."""
        quorum = self.probe(NODES, ())
        for round_ in (1, 2):
            now = round_ * 0.11
            for node, number in quorum.start_round(now):
                reply = QuotaProbeReply(number, round_ == 2)
                quorum.record_answer(reply, node, now + 0.005)
        self.assertTrue(quorum.is_confirmed(0.3))

    def test_number_of_probes_does_not_depend_on_the_fleet(self):
        self.assertEqual(len(self.probe(NODES, ()).pending), MAX_SAMPLE)


class ClientTests(unittest.TestCase):
    """Guards against reports that the coordinator drops as invalid."""

    def setUp(self):
        self.reports = []
        self.client = QuotaClient(
            "acme", random.Random(1), lambda report, now: self.reports.append(report)
        )
        self.client.configure(80.0, 5, 5.0, 6)
        self.client.set_coordinator(NODES[1])

    def test_request_without_a_token_that_no_endpoint_ran(self):
        """What it gives back was never taken from the coordinator."""
        for now in (0.0, 0.1):
            self.assertEqual(self.client.acquire(now).status, QuotaStatus.ADMITTED)
            self.client.give_back(now)
        self.client.run_round(0.1 + 2 * KEEP_SECONDS)
        self.client.report_lease(0.2 + 2 * KEEP_SECONDS)
        self.assertEqual(self.reports[-1].taken, 0.0)
        self.assertEqual(self.reports[-1].held, 0.0)

    def test_tokens_of_the_coordinator_return(self):
        self.assertEqual(self.client.acquire(0.0).status, QuotaStatus.ADMITTED)
        self.client.report_lease(0.0)
        reply = QuotaReply("acme", self.reports[-1].link, 1, tokens=3)
        self.assertTrue(self.client.handle_reply(reply, 0.01))
        self.client.run_round(0.01 + 2 * KEEP_SECONDS)
        self.client.report_lease(0.02 + 2 * KEEP_SECONDS)
        self.assertEqual(self.reports[-1].taken, 0.0)


class CoordinatorTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = QuotaCoordinator("acme", 100, 50, 75, -TAKEOVER_SECONDS, 0.0)
        self.coordinator.pool.level = 50.0

    def report(self, number, now, **fields):
        report = QuotaReport("acme", 1, number, **fields)
        return self.coordinator.handle_report(report, NODES[1], now)

    def test_tokens_of_a_lost_reply_return(self):
        self.report(1, 0.0, wanted=10)
        self.report(2, 0.1, wanted=0)
        self.assertAlmostEqual(self.coordinator.pool.level, 50.0)
        self.report(3, 1.1)
        self.assertGreater(self.coordinator.pool.level, 60.0)

    def test_repeated_and_late_reports_are_ignored(self):
        self.assertIsNotNone(self.report(2, 0.0, wanted=5))
        self.assertIsNone(self.report(2, 0.0, wanted=5))
        self.assertIsNone(self.report(1, 0.0, wanted=5))
        self.assertAlmostEqual(self.coordinator.pool.level, 45.0)

    def test_share_that_was_not_used_returns(self):
        self.coordinator.pool.level = 20.0
        share = self.report(1, 0.0, demand=80.0).share
        self.assertEqual(share, 96.0)
        self.report(2, 0.25, seen=1, share=share, taken=0.0, demand=80.0)
        self.assertAlmostEqual(self.coordinator.pool.level, 20 + 0.25 * 100)

    def test_lower_share_is_free_when_the_node_has_confirmed_it(self):
        """The reply may be lost, and the node uses the higher share further."""
        self.report(1, 0.0, demand=80.0)
        self.report(2, 0.1, seen=1, share=96.0, taken=9.6, demand=10.0)
        self.assertEqual(self.coordinator.reserved, 96.0)
        self.report(3, 0.2, seen=2, share=12.0, taken=18.0, demand=10.0)
        self.assertEqual(self.coordinator.reserved, 12.0)

    def test_silent_node_keeps_its_share_until_the_lease_ends(self):
        self.report(1, 0.0, demand=80.0)
        self.coordinator.run_round(2.9)
        self.assertEqual(self.coordinator.reserved, 96.0)
        self.coordinator.run_round(3.1)
        self.assertEqual(self.coordinator.reserved, 0.0)


class TakeoverTests(unittest.TestCase):
    """Guards against the whole rate beside unknown leases, or too late."""

    def setUp(self):
        self.coordinator = QuotaCoordinator(
            "acme",
            100,
            50,
            75,
            since=0.0,
            now=0.0,
            own=NODES[0],
            missing=NODES[1:4],
            listed_from=1.0,
            node_list=7,
        )

    def tell(self, node, now, node_list=7):
        report = QuotaReport("acme", 1, 1, node_list=node_list)
        return self.coordinator.handle_report(report, node, now)

    def test_all_nodes_with_equal_lists_have_told(self):
        for node in NODES[1:3]:
            self.tell(node, 0.1)
            self.assertTrue(self.coordinator.is_new(0.1))
        self.tell(NODES[3], 0.2)
        self.assertFalse(self.coordinator.is_new(0.2))

    def test_a_list_that_differs_may_have_other_nodes(self):
        """A node that starts as well may be known to only one of both."""
        for node, node_list in zip(NODES[1:4], (7, 7, 8)):
            self.tell(node, 0.1, node_list)
        self.assertEqual(self.coordinator.list_unknown(0.2), [NODES[3]])
        self.coordinator.run_round(0.9)
        self.assertTrue(self.coordinator.is_new(0.9))
        # It may have told before it knew that another node left.
        self.assertEqual(self.coordinator.list_unknown(1.0), [NODES[3]])
        self.coordinator.run_round(1.0)
        self.assertTrue(self.coordinator.is_new(1.0))
        report = QuotaReport("acme", 1, 2, node_list=8)
        self.coordinator.handle_report(report, NODES[3], 1.0)
        self.assertFalse(self.coordinator.is_new(1.0))

    def test_a_changed_list_is_compared_again(self):
        for node in NODES[1:3]:
            self.tell(node, 0.1)
        nodes = NODES[:5]
        self.coordinator.record_nodes({NODES[4]}, nodes, 9, 0.1)
        self.assertEqual(self.coordinator.list_unknown(0.2), NODES[1:5])

    def test_a_node_that_leaves_before_it_told_is_waited_for(self):
        """It may be cut off, and use its lease until that ends."""
        self.coordinator.record_nodes((), NODES[:3], 9, 0.1)
        for node in NODES[1:3]:
            self.tell(node, 0.2, 9)
        self.coordinator.run_round(3.9)
        self.assertTrue(self.coordinator.is_new(3.9))
        self.tell(NODES[3], 3.9, 9)
        self.assertFalse(self.coordinator.is_new(3.9))

    def test_a_list_without_other_nodes_may_be_incomplete(self):
        """Each of several starting nodes granted the whole rate to itself."""
        self.coordinator = QuotaCoordinator(
            "acme",
            100,
            50,
            75,
            since=0.0,
            now=0.0,
            own=NODES[0],
            missing=(),
            listed_from=1.0,
            node_list=7,
        )
        self.coordinator.run_round(0.1)
        self.assertTrue(self.coordinator.is_new(0.1))
        self.coordinator.record_nodes(NODES[1:2], NODES[:2], 8, 0.2)
        self.coordinator.run_round(0.3)
        self.assertTrue(self.coordinator.is_new(0.3))
        self.tell(NODES[1], 0.4, 8)
        self.assertFalse(self.coordinator.is_new(0.4))

    def test_a_lone_node_grants_its_rate_a_second_after_its_start(self):
        self.coordinator.record_nodes((), NODES[:1], 8, 0.2)
        self.coordinator.missing.clear()
        self.coordinator.run_round(0.9)
        self.assertTrue(self.coordinator.is_new(0.9))
        self.coordinator.run_round(1.0)
        self.assertFalse(self.coordinator.is_new(1.0))

    def test_a_report_during_a_change_of_the_fleet_is_no_telling(self):
        """Ordinary reports counted, while an earlier coordinator granted further."""
        for node in NODES[1:4]:
            self.tell(node, 0.1, 0)
        self.coordinator.run_round(2.0)
        self.assertTrue(self.coordinator.is_new(2.0))

    def test_callers_return_when_the_takeover_is_expected_to_end(self):
        """They returned after 20 ms, and were refused until they gave up."""
        report = QuotaReport("acme", 1, 1, wanted=5)
        reply = self.coordinator.handle_report(report, NODES[1], 0.4)
        self.assertAlmostEqual(reply.retry_after, 0.4)


class FleetTests(unittest.TestCase):
    def start(self, organisations, nodes=NODES):
        quotas = FleetQuotas(random.Random(1))
        quotas.configure(organisations, 0.0)
        quotas.set_nodes(NODES[0], nodes, 0.0)
        return quotas

    def test_without_quota_everything_is_admitted(self):
        for organisations in (None, {}, {"acme": Organisation("acme")}):
            quotas = self.start(organisations)
            status = quotas.acquire("acme", 1.0).status
            self.assertEqual(status, QuotaStatus.ADMITTED)
            self.assertTrue(quotas.is_idle(1.0))

    def test_waiting_requests_are_admitted_if_the_quota_ends(self):
        quotas = self.start({"acme": Organisation("acme", rate=5.0)})
        decisions = [quotas.acquire("acme", 1.0).status for _ in range(9)]
        waiting = decisions.count(QuotaStatus.WAITING)
        self.assertGreater(waiting, 0)
        quotas.configure({}, 1.0)
        self.assertEqual(len(quotas.resume("acme", 1.0)), waiting)

    def test_returned_token_serves_the_next_request(self):
        """A retry after a refusal by an endpoint must not wait again."""
        quotas = self.start({"acme": Organisation("acme", rate=5.0)}, ())
        self.assertEqual(quotas.acquire("acme", 0.5).status, QuotaStatus.ADMITTED)
        while quotas.acquire("acme", 0.5).status == QuotaStatus.ADMITTED:
            pass
        quotas.give_back("acme", 0.5)
        self.assertEqual(quotas.acquire("acme", 0.5).status, QuotaStatus.ADMITTED)

    def test_idle_organisations_keep_no_state(self):
        names = [f"o{n}" for n in range(200)]
        quotas = self.start({n: Organisation(n, rate=50.0) for n in names})
        for name in names:
            quotas.acquire(name, 1.0)
            quotas.resume(name, 1.02)
        for now in range(2, 30):
            quotas.run_round(float(now))
        self.assertTrue(quotas.is_idle(30.0))
        self.assertFalse(quotas._clients or quotas._placements)
        usage = quotas.usage["o1"]
        self.assertEqual(usage.used + usage.refused, 1)

    def test_changes_are_observed(self):
        changes = []
        quotas = self.start({"acme": Organisation("acme", rate=5.0)}, ())
        quotas.observe = changes.append
        for _ in range(50):
            quotas.acquire("acme", 0.5)
        for now in range(1, 10):
            quotas.run_round(float(now))
        kinds = [change.kind for change in changes]
        self.assertEqual(kinds, ["over-quota", "within-quota"])

    def test_lease_is_not_told_while_an_earlier_coordinator_may_allocate(self):
        """The new coordinator may have started too late to know the earlier one."""
        quotas = self.start({"acme": Organisation("acme", rate=5.0)})
        sent = []
        quotas.send = lambda node, message: sent.append(node)
        first, second = rank_coordinators("acme", NODES[1:])
        quotas.set_nodes(NODES[0], [n for n in NODES if n != first], 10.0)
        for now in (10.1, 12.0, 12.5):
            quotas.handle_message(QuotaProbe(0, "acme"), second, now)
            quotas.run_round(now)
            self.assertEqual(sent, [second] if now > 12.2 else [])

    def test_reports_say_that_leases_of_nodes_that_left_may_be_valid(self):
        """A coordinator that restarts doesn't know nodes that left before."""
        quotas = self.start({"acme": Organisation("acme", rate=5.0)})
        sent = []
        quotas.send = lambda node, message: sent.append(message)
        other = rank_coordinators("acme", NODES[1:])[-1]
        nodes = [node for node in NODES if node != other]
        for now, listed, is_known in (
            (10.0, nodes, False),
            (10.1, NODES, True),
            (10.2, nodes, False),
            (13.9, nodes, False),
            (14.3, nodes, True),
        ):
            with self.subTest(now=now):
                quotas.run_round(now)
                quotas.set_nodes(NODES[0], listed, now)
                client = quotas._get_client("acme")
                sent.clear()
                client.report_lease(now)
                expected = quotas.node_list if is_known else 0
                self.assertEqual(sent[-1].node_list, expected)

    def test_answers_say_since_when_a_node_is_listed(self):
        """A starting node, whose list is incomplete, must not empty any pool."""
        quotas = self.start({"acme": Organisation("acme", rate=5.0)})
        sent = []
        quotas.send = lambda node, message: sent.append(message)
        other = NODES[1]
        nodes = [node for node in NODES if node != other]
        before = 0
        for now, listed, seconds in (
            (0.1, nodes, 0.0),
            (0.5, NODES, 0.0),
            (10.0, nodes, 0.0),
            (20.0, NODES, 0.0),
            (23.5, NODES, 3.5),
            (150.0, NODES, 0.0),
        ):
            with self.subTest(now=now):
                # A longer gap between rounds would be taken for a suspension.
                for second in range(before, int(now) + 1):
                    quotas.run_round(float(second))
                before = int(now) + 1
                # The list was refreshed just before the change.
                quotas.set_nodes(NODES[0], quotas.nodes, now)
                quotas.set_nodes(NODES[0], listed, now)
                quotas.handle_message(QuotaProbe(7), other, now)
                reply = sent[-1]
                self.assertEqual(reply.is_accepted, other in listed)
                self.assertAlmostEqual(reply.listed_seconds, seconds, places=5)

    def test_nodes_of_a_list_that_was_not_refreshed_have_not_just_joined(self):
        """The coordinators began anew at the first requests of an idle fleet."""
        quotas = self.start({"acme": Organisation("acme", rate=5.0)}, NODES[2:])
        sent = []
        quotas.send = lambda node, message: sent.append(message)
        quotas.refresh_nodes = lambda: quotas.set_nodes(NODES[0], NODES, 10.001)
        for now in range(1, 10):
            quotas.run_round(float(now))
        quotas.acquire("acme", 10.0)
        quotas.handle_message(QuotaProbe(7), NODES[1], 10.1)
        replies = [m for m in sent if isinstance(m, QuotaProbeReply)]
        self.assertAlmostEqual(replies[-1].listed_seconds, 10.1)

    def test_pool_is_empty_after_an_absence_but_not_after_a_start(self):
        """A list has a node that started up to 2 s later."""
        for at, is_anew in ((2.0, False), (2.5, True), (50.0, True)):
            with self.subTest(listed_at=at):
                name = next(
                    name
                    for name in map(str, range(1000))
                    if rank_coordinators(name, NODES)[0] == NODES[0]
                )
                quotas = self.start({name: Organisation(name, rate=5.0)})
                for now in range(1, 51):
                    quotas.run_round(float(now))
                reply = QuotaProbeReply(0, True, 50.0 - at or 1e-6)
                quotas.handle_message(reply, NODES[1], 50.0)
                placement = quotas._get_placement(name)
                coordinator = quotas._create_coordinator(name, placement, 50.0)
                begun_at = coordinator.normal_from - TAKEOVER_SECONDS
                self.assertAlmostEqual(begun_at, at if is_anew else 0.0, places=5)

    def test_reports_that_find_a_rejection_query_no_leases_again(self):
        """Each report began anew and queried all nodes, which answer with reports."""
        name = next(
            name
            for name in map(str, range(1000))
            if rank_coordinators(name, NODES)[0] == NODES[0]
        )
        quotas = self.start({name: Organisation(name, rate=5.0)})
        sent = []
        quotas.send = lambda node, message: sent.append(message)
        quotas.quorum.outcomes = {
            node: ProbeOutcome(1.9, True, 1.9) for node in NODES[1:]
        }
        quotas.quorum.unconfirmed_since = 1.0
        for node in NODES[1:]:
            quotas.handle_message(QuotaReport(name, 1, 1), node, 2.0)
        queries = [m for m in sent if isinstance(m, QuotaProbe) and m.organisation]
        self.assertLess(len(queries), len(NODES))

    def test_a_coordinator_that_begins_anew_ends_its_own_lease(self):
        """The new one counted the leases of all other nodes only."""
        name = next(
            name
            for name in map(str, range(1000))
            if rank_coordinators(name, NODES)[0] == NODES[0]
        )
        for begin_anew in (
            lambda quotas: quotas._detect_absence(9.0, 10.0),
            lambda quotas: quotas._detect_rejection(10.0),
            lambda quotas: quotas.set_nodes(None, (), 10.0),
        ):
            quotas = self.start({name: Organisation(name, rate=5.0)})
            client = quotas._get_client(name)
            client._report(0, 9.9)
            reply = QuotaReply(name, client._link, client._number, 4.0, 1.2)
            client.handle_reply(reply, 9.9)
            quotas.quorum.unconfirmed_since = 9.0
            begin_anew(quotas)
            client._accrue(10.1)
            self.assertEqual(client._share, 0.0)

    def test_callers_are_sent_back_at_different_times(self):
        """All of them would return for the same token."""
        quotas = self.start({"acme": Organisation("acme", rate=5.0)}, ())
        decisions = [quotas.acquire("acme", 0.5) for _ in range(40)]
        waits = [d.retry_after for d in decisions if d.retry_after is not None]
        self.assertGreater(max(waits) - min(waits), 2.0)
        self.assertLessEqual(max(waits), 5.0)

    def test_lone_node_starts_without_a_full_pool(self):
        """Each node of a fleet that starts may know no other node at first."""
        quotas = self.start({"acme": Organisation("acme", rate=50, burst=500)}, ())
        decisions = [quotas.acquire("acme", 0.1).status for _ in range(500)]
        self.assertLess(decisions.count(QuotaStatus.ADMITTED), 60)


class MessageTests(unittest.TestCase):
    def test_messages_fit_into_a_datagram(self):
        name = "o" * 256
        largest = QuotaReport(
            name, 2**31, 10**9, 10**9, 1e9, 1e9, 1e9, 3.1, 1e9, 9999, 2**32
        )
        reply = QuotaReply(name, 2**31, 10**9, 1e9, 3.0, 9999, 0.1)
        for message in (largest, reply):
            self.assertLess(len(msgspec.json.encode(message)), 1400)
