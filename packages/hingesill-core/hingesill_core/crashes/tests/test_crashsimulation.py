"""Simulations of whole fleets, with requests that crash endpoints and random crashes.

A request that crashes every endpoint that runs it may be sent for 3 s after the third
crash, and three more times after that. A request that was at an endpoint which crashed
by chance may be refused for a moment, while few endpoints run, but its quarantine must
not be confirmed.
"""

import unittest

from hingesill_core.crashes.tests.crashsimulation import CrashSimulation

MAX_LATE_SENDS = 3
REPEATED = [f"a-hot{number}" for number in range(4)]


def simulate_repeats(nodes, endpoints, pause, names=1, seed=1, prepare=None, **options):
    """Run harmful requests beside harmless ones; return the simulation."""
    simulation = CrashSimulation(nodes, endpoints, seed, **options)
    until = 12 * pause + 12.0
    for number in range(names):
        simulation.repeat_harmful(f"a-bad{number}", 1.0, pause, until)
    simulation.add_load(40.0, until, REPEATED)
    if prepare is not None:
        prepare(simulation)
    simulation.run(until)
    return simulation


class RepeatTests(unittest.TestCase):
    def assert_quarantined(self, simulation, max_crashes=None):
        harmful = {name for _, name in simulation.crashes}
        for name in harmful:
            self.assertLessEqual(
                simulation.count_sends_after_crashes(name), MAX_LATE_SENDS, name
            )
        self.assertLessEqual(simulation.confirmed, harmful)
        if max_crashes is not None:
            self.assertLessEqual(len(simulation.crashes), max_crashes)

    def test_fleets_of_all_sizes(self):
        """Without a guard 28 to 37 endpoints crash with 13 nodes, and 97 with 95."""
        for nodes, endpoints in ((1, 3), (3, 3), (13, 7), (95, 30)):
            for pause in (0.3, 2.0, 10.0):
                with self.subTest(nodes=nodes, pause=pause):
                    self.assert_quarantined(
                        simulate_repeats(nodes, endpoints, pause), 8
                    )

    def test_1100_nodes(self):
        simulation = simulate_repeats(1100, 100, 0.5)
        self.assert_quarantined(simulation, 10)
        self.assertLess(simulation.datagrams / 1100, 100)

    def test_several_harmful_requests_at_once(self):
        for seed in range(3):
            self.assert_quarantined(
                simulate_repeats(13, 14, 1.0, names=4, seed=seed), 24
            )

    def test_lost_datagrams(self):
        self.assert_quarantined(simulate_repeats(95, 30, 0.5, loss=0.3), 10)

    def test_partition_of_the_nodes(self):
        for seed in range(3):
            simulation = simulate_repeats(
                13, 14, 1.0, seed=seed, prepare=lambda fleet: fleet.partition(6)
            )
            self.assert_quarantined(simulation, 10)

    def test_continuous_restarts_of_nodes(self):
        def restart(simulation):
            for number in range(100):
                simulation.schedule(number / 10, simulation.restart, number % 13)

        self.assert_quarantined(simulate_repeats(13, 14, 1.0, prepare=restart), 8)

    def test_other_endpoints_crash_meanwhile(self):
        def crash_others(simulation):
            for begin in (1.0, 5.0, 9.0):
                simulation.crash_endpoints(begin, 6, 0.05)

        for seed in range(3):
            self.assert_quarantined(
                simulate_repeats(13, 14, 1.0, seed=seed, prepare=crash_others)
            )


class RandomCrashTests(unittest.TestCase):
    """Endpoints crash one after the other or all at once, and again seconds later."""

    def test_no_quarantine_is_confirmed(self):
        for amount, endpoints, gap in ((10, 14, 0.05), (6, 7, 0.1), (14, 14, 0.0)):
            for seed in range(5):
                with self.subTest(amount=amount, gap=gap, seed=seed):
                    simulation = CrashSimulation(
                        13, endpoints, seed, restart_seconds=3.0
                    )
                    for begin in (2.0, 6.0, 10.0):
                        simulation.crash_endpoints(begin, amount, gap)
                    simulation.add_load(60.0, 16.0, REPEATED)
                    simulation.run(20.0)
                    self.assertEqual(simulation.confirmed, set())
                    refused = sum(simulation.refused.values())
                    self.assertLess(refused, 0.02 * simulation.attempts)
