"""Partitions of a simulated fleet in which nodes disagree on the coordinator.

``python -m hingesill_core.quotas.tests.partitions`` prints, for each case, the most
arrivals in a window as a share of the bound, and the arrivals per request that a bucket
of the fleet admits.
"""

import sys
from itertools import product
from multiprocessing import Pool

from msgspec import Struct

from hingesill_core.quotas.tests.quotasimulation import (
    NAME,
    QuotaSimulation,
    compute_bound,
)
from hingesill_core.ratelimits.coordinators import rank_coordinators

__all__ = [
    "CHANGED_SECONDS",
    "DIFFERENT_SECONDS",
    "PARTITIONS",
    "PARTITION_SECONDS",
    "Partition",
    "PartitionCase",
    "PartitionResult",
    "run_case",
]

LOAD_SECONDS = 5.0
# Time after the cut at which the node lists of the second part change, in seconds.
CHANGED_SECONDS = 0.7
RESTARTED_SECONDS = 1.7
PARTITION_SECONDS = 40.0
# Time after the cut from which the admitted requests count, in seconds.
SETTLED_SECONDS = 8.0
# Time for which lists differ, and for which an organisation is not used, in seconds.
DIFFERENT_SECONDS = 20.0
IDLE_SECONDS = 20.0
PARTITIONS = {}
PROCESSES = 4


class PartitionCase(Struct, frozen=True):
    """Parameters of a partition.

    Parameters
    ----------
    name : str
        Key of `PARTITIONS`.
    nodes : int
        Number of nodes.
    rate, burst : float
        Quota.
    share : float
        Share of the other nodes that is in each part.
    load : float
        Arriving requests as a multiple of the rate.
    seed : int
        Seed of all random choices.
    """

    name: str
    nodes: int = 107
    rate: float = 164
    burst: float = 164
    share: float = 0.125
    load: float = 3.0
    seed: int = 1


class PartitionResult(Struct, frozen=True):
    """What a fleet let through.

    Parameters
    ----------
    arrivals : float
        Most arrivals in a window as a share of the bound.
    admitted : float
        Arrivals per request that a bucket of the fleet admits.
    """

    arrivals: float
    admitted: float


class Partition:
    """Two parts that do not reach each other, and the rest, which reaches both.

    The coordinator is in the first part, and the node that follows it in the second.
    """

    def __init__(self, case):
        self.case = case
        self.simulation = QuotaSimulation(
            case.nodes, case.rate, case.burst, seed=case.seed
        )
        self.simulation.run_until(15.0 + case.burst / case.rate)
        addresses = self.simulation.addresses
        self.coordinator, self.following = rank_coordinators(NAME, addresses)
        rest = [a for a in addresses if a not in (self.coordinator, self.following)]
        self.simulation.rng.shuffle(rest)
        size = round(case.share * len(rest))
        self.first = {self.coordinator, *rest[:size]}
        self.second = {self.following, *rest[size : 2 * size]}
        self.others = [a for a in addresses if a != self.coordinator]
        self.callers = addresses
        self.begun_at = None

    def can_reach(self, sender, receiver):
        """Return whether a datagram arrives."""
        return not (
            (sender in self.first and receiver in self.second)
            or (sender in self.second and receiver in self.first)
        )

    def cut(self):
        """Begin the partition, and change the lists of the second part."""
        simulation = self.simulation
        simulation.can_reach = self.can_reach
        second = sorted(self.second)
        simulation.after(CHANGED_SECONDS, simulation.set_nodes, self.others, second)

    def run(self):
        """Load the fleet, and go on while the partition lasts."""
        self.load(LOAD_SECONDS)
        self.begun_at = self.simulation.now
        PARTITIONS[self.case.name](self)
        self.load(self.begun_at + PARTITION_SECONDS - self.simulation.now)

    def measure_admitted(self, since, until=PARTITION_SECONDS):
        """Return the arrivals per request that a bucket of the fleet admits.

        Parameters
        ----------
        since, until : float
            Seconds since the cut.
        """
        begun_at = self.begun_at
        return self.simulation.measure_admitted(begun_at + since, begun_at + until)

    def measure_arrivals(self):
        """Return the most arrivals in a window as a share of the bound."""
        bound = compute_bound(self.case.rate, self.case.burst)
        return self.simulation.find_max_window_count() / bound

    def load(self, seconds):
        """Submit requests to random callers' nodes for some time."""
        rng = self.simulation.rng
        rate = self.case.load * self.case.rate
        self.simulation.load(rate, seconds, lambda: rng.choice(self.callers))


def register(name):
    """Return a decorator that registers a function which begins a partition."""

    def decorate(begin):
        PARTITIONS[name] = begin
        return begin

    return decorate


@register("two parts reach the rest")
def begin_parts(partition):
    """The second part leaves the coordinator out of its lists."""
    partition.cut()


@register("the substitute restarts")
def begin_restart(partition):
    """The substitute never had the coordinator in its list."""
    partition.cut()
    simulation = partition.simulation
    arguments = (partition.following, partition.others)
    simulation.after(RESTARTED_SECONDS, simulation.start_node, *arguments)


@register("lists differ")
def begin_different_lists(partition):
    """Every second node that reaches both parts has left the coordinator out too."""
    partition.cut()
    simulation = partition.simulation
    parts = partition.first | partition.second
    among = [a for a in simulation.addresses if a not in parts][::2]
    simulation.after(CHANGED_SECONDS, simulation.set_nodes, partition.others, among)
    addresses = simulation.addresses
    simulation.after(DIFFERENT_SECONDS, simulation.set_nodes, addresses, among)


@register("an idle substitute restarts")
def begin_idle_restart(partition):
    """The organisation is used again when any pool of the substitute is full."""
    begin_restart(partition)
    partition.simulation.load(0, IDLE_SECONDS)


@register("an earlier node starts")
def begin_earlier_node(partition):
    """A node that comes before the coordinator starts in the second part."""
    partition.cut()
    simulation = partition.simulation
    addresses = simulation.addresses
    earlier = next(
        address
        for address in ((f"10.2.0.{n}", 80) for n in range(250, 0, -1))
        if rank_coordinators(NAME, [address, partition.coordinator])[0] == address
    )
    partition.second.add(earlier)
    known = [a for a in (*addresses, earlier) if a != partition.coordinator]
    complete = [*addresses, earlier]
    rest = [a for a in addresses if a not in partition.first | partition.second]
    simulation.after(RESTARTED_SECONDS, simulation.start_node, earlier, known)
    second = sorted(partition.second - {earlier})
    for nodes, among in ((known, second), (complete, rest)):
        simulation.after(RESTARTED_SECONDS + 0.5, simulation.set_nodes, nodes, among)


@register("a part is cut off")
def begin_cut(partition):
    """A part reaches nobody, and stays in the lists; it has no callers."""
    simulation = partition.simulation
    silent = partition.second
    partition.callers = [a for a in simulation.addresses if a not in silent]
    simulation.can_reach = lambda a, b: (a in silent) == (b in silent)


def run_case(case):
    """Return the PartitionResult of a PartitionCase."""
    partition = Partition(case)
    partition.run()
    return PartitionResult(
        partition.measure_arrivals(), partition.measure_admitted(SETTLED_SECONDS)
    )


def list_cases(names, loads, seeds):
    """Yield the cases to print."""
    quotas = [(18, 164, 5), (18, 164, 164), (40, 50, 50), (107, 164, 164)]
    quotas += [(107, 600, 600), (200, 164, 164)]
    shares = (0.0, 0.1, 0.2, 0.25, 0.3)
    for name, load, quota, share in product(names, loads, quotas, shares):
        for seed in range(1, seeds + 1):
            yield PartitionCase(name, *quota, share, load, seed)


def main(seeds="3", *names):
    """Print the results of all cases, or of the partitions with these names."""
    cases = list(list_cases(names or PARTITIONS, (0.8, 3.0), int(seeds)))
    print("partition, load, nodes, rate, burst, share in each part: arrivals; admitted")
    with Pool(PROCESSES) as pool:
        results = pool.imap(run_case, cases)
        for case, result in zip(cases, results):
            fields = (case.name, case.load, case.nodes, case.rate, case.burst)
            text = ", ".join(map(str, (*fields, case.share, case.seed)))
            print(f"{text}: {result.arrivals:.2f}; {result.admitted:.2f}", flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
