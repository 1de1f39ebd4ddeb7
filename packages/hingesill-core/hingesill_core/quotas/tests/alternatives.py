"""Prints the figures of docs/design/quotas.md.

Run with ``python -m hingesill_core.quotas.tests.alternatives``.
"""

from math import inf

from hingesill_core.quotas import client, coordinator
from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus
from hingesill_core.quotas.tests.quotasimulation import QuotaSimulation, compute_bound
from hingesill_core.quotas.tokenbucket import TokenBucket

__all__ = ["main"]

# Nodes, rate, burst, load as a multiple of the rate, share of the first node.
CASES = [
    (107, 164, 164, 0.1, 0.0),
    (107, 164, 164, 0.9, 0.0),
    (107, 164, 164, 5.0, 0.0),
    (300, 164, 164, 0.9, 0.9),
    (107, 5, 5, 0.9, 0.0),
    (107, 5, 5, 5.0, 0.0),
    (107, 1000, 500, 0.9, 0.0),
    (107, 1000, 500, 2.0, 0.0),
    (1100, 164, 164, 0.9, 0.0),
]
SECONDS = 15


class EqualShare:
    """A token bucket of one node with an equal share of the quota."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, max(1.0, burst)
        self.bucket = TokenBucket(self.burst, 0.0)

    def acquire(self, name, now):
        """Decide as FleetQuotas does."""
        self.bucket.fill(self.rate, self.burst, now)
        if self.bucket.take(1):
            return client.ADMITTED
        return QuotaDecision(QuotaStatus.REFUSED, 1.0)

    def run_round(self, now):
        """Do nothing."""

    def is_idle(self, now):
        """Return True, as there is nothing to do."""
        return True


def simulate(kind, nodes, rate, burst, load, first_node_share):
    """Return a line of figures of one case."""
    simulation = QuotaSimulation(nodes, rate, burst)
    if kind == "equal shares":
        for node in simulation.nodes.values():
            node.quotas = EqualShare(rate / nodes, burst / nodes)
    simulation.run_until(20.0)
    simulation.datagrams = 0

    def choose():
        if simulation.rng.random() < first_node_share:
            return simulation.addresses[0]
        return simulation.rng.choice(simulation.addresses)

    simulation.load(load * rate, SECONDS, choose)
    waits = simulation.waits
    waited = sum(wait > 0 for wait in waits) / len(waits)
    return (
        f"{simulation.measure_admitted():.3f} admitted, "
        f"{simulation.find_max_window_count()} of {compute_bound(rate, burst):.0f}, "
        f"{simulation.datagrams / nodes / SECONDS:.2f} datagrams, "
        f"{waited:.2f} waited, "
        f"{1000 * max(waits + simulation.refusals):.1f} ms"
    )


def simulate_loss(rate):
    """Return the share admitted in each second after the loss of a coordinator."""
    simulation = QuotaSimulation(107, rate, rate)
    simulation.run_until(20.0)
    simulation.load(0.9 * rate, 5)
    begin = simulation.now
    node = simulation.find_coordinator()
    node.is_alive = False
    others = [a for a in simulation.addresses if a != node.address]
    simulation.addresses = others
    simulation.after(2.0, simulation.set_nodes, others)
    simulation.load(0.9 * rate, 10)
    shares = [simulation.measure_admitted(begin + n, begin + n + 1) for n in range(10)]
    return " ".join(f"{share:.2f}" for share in shares)


def main():
    """Print all figures."""
    for case in CASES:
        for kind in ("equal shares", "single tokens", "leases"):
            least = inf if kind == "single tokens" else 2.5
            client.MIN_LEASE_DEMAND = coordinator.MIN_LEASE_DEMAND = least
            print(*case, kind, simulate(kind, *case), sep="; ")
    for rate in (5, 164, 1000):
        print(f"rate {rate}, coordinator lost:", simulate_loss(rate))


if __name__ == "__main__":
    main()
