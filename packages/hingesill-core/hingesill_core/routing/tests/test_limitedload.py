"""Simulation of callers while some endpoints report rate limits, without a network."""

import unittest
from bisect import bisect_left

from msgspec.structs import replace

from hingesill_core.routing.tests.loadsimulation import Simulation
from hingesill_core.routing.tests.test_heavyload import CALM
from hingesill_core.routing.tests.workloads import FaultPeriod

SEEDS = (1, 2, 3)
LIMIT = 1.0
# A fifth of the endpoints report a limit.
NEEDY = FaultPeriod(0.0, 60.0, last=0.2, limit=LIMIT)
LIMITED_ENDPOINTS = 24
# Time from which all nodes know the limits, in seconds.
KNOWN_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def measure(load, seed):
    """Run a simulation; return it and the share of requests in time."""
    simulation = Simulation(load, seed)
    requests = [r for r in simulation.run() if r.sent_at >= KNOWN_SECONDS]
    return simulation, sum(r.is_in_time() for r in requests) / len(requests)


def count_max_arrivals(times):
    """Return the maximum of arrivals in a window once the limits are known."""
    times = [at for at in times if at >= KNOWN_SECONDS]
    ends = [bisect_left(times, at + WINDOW_SECONDS) for at in times]
    return max((end - begin for begin, end in enumerate(ends)), default=0)


class UnlimitedEndpointTests(unittest.TestCase):
    """Unlimited endpoints serve as well as without the limited ones.

    The share in time with 24 of 120 endpoints at a limit of 1 a second is 0.996 and
    0.999, with the other 96 alone 0.993 and 0.993, with 120 unlimited endpoints 0.998
    and 0.997: 350 requests a second to 18 nodes, two simulations each.
    """

    def test_callers_are_served_as_by_unlimited_endpoints_alone(self):
        load = replace(CALM, nodes=18)
        alone = replace(load, endpoints=120 - LIMITED_ENDPOINTS)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation, in_time = measure(replace(load, spells=(NEEDY,)), seed)
                _, without = measure(alone, seed)
                self.assertGreater(in_time, without - 0.01)
                self.assert_limits_apply(simulation)

    def assert_limits_apply(self, simulation):
        limited = list(simulation.endpoints.values())[:LIMITED_ENDPOINTS]
        max_arrivals = max(
            count_max_arrivals(endpoint.arrivals) for endpoint in limited
        )
        self.assertLessEqual(max_arrivals, 1.25 * LIMIT * WINDOW_SECONDS + 5)
