"""Table of what callers get under overload, by kind and organisation.

Run as ``python -m hingesill_core.routing.tests.overloadtable [CASE ...]``.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from msgspec.structs import replace

from hingesill_core.configuration.services import Route, SendBudget
from hingesill_core.organisations.organisation import Organisation
from hingesill_core.routing.tests.loadsimulation import Simulation
from hingesill_core.routing.tests.workloads import FaultPeriod, Kind, Workload

__all__ = ["BEGIN", "CASES", "KINDS", "FAIR", "measure", "simulate"]


def build_kind(path, share, work, limit, target, value, late, repeatable, rank):
    """Return the Kind of a route."""
    route = Route("arena", "", path, repeatable, True, limit, target=target, rank=rank)
    return Kind(route, share, work, limit, value, late)


KINDS = (
    build_kind("lookup", 0.4, 0.2, 4.0, 0.5, 0.94, 0.094, True, 2),
    build_kind("order", 0.2, 0.26, 6.0, 1.2, 0.94, 0.14, False, 2),
    build_kind("transfer", 0.2, 0.14, 3.0, 0.4, 2.8, 0.28, False, 2),
    build_kind("fetch", 0.2, 0.08, 2.0, 0.25, 3.6, 0.14, True, 0),
)
LARGE = Organisation("large")
SMALL = [Organisation(f"small{number}") for number in range(8)]
ORGANISATIONS = {LARGE: 0.3} | {small: 0.7 / 8 for small in SMALL}
# 30 endpoints, three in ten of them slow at any time, are nearly full.
USUAL = Workload(
    107,
    30,
    KINDS,
    185.0,
    16.0,
    sends=SendBudget(0.0, 0.15, 60.0),
    organisations=ORGANISATIONS,
    slow_share=0.3,
    # The nodes' services share a budget, and the others need less of it.
    query_rate=108.0,
)
# Requirement 17: nine organisations of which one sends twice what all can be served.
ONE_KIND = Kind(Route("arena", "", "work", True, True, 4.0, target=0.5), 1.0, 0.2, 4.0)
FAIR = Workload(
    8,
    4,
    (ONE_KIND,),
    152.0,
    20.0,
    sends=SendBudget(0.0, 0.15, 20.0),
    full_slots_factor=1.0,
    organisations={LARGE: 120 / 152} | {small: 4 / 152 for small in SMALL},
)
CASES = {
    "usual": USUAL,
    "burst1.5": replace(USUAL, bursts=((6.0, 11.0, 1.5),)),
    "burst1.7": replace(USUAL, bursts=((6.0, 11.0, 1.7),)),
    "long2": replace(USUAL, bursts=((4.0, 16.0, 2.0),)),
    "kind2.5": replace(USUAL, surges=((6.0, 12.0, 2.5, KINDS[0]),)),
    "kind3": replace(USUAL, surges=((6.0, 12.0, 3.0, KINDS[1]),)),
    "organisation5": replace(USUAL, surges=((6.0, 12.0, 5.0, LARGE),)),
    "shed": replace(USUAL, spells=(FaultPeriod(5.0, 13.0, shed=0.55),)),
    "halfshed": replace(USUAL, spells=(FaultPeriod(5.0, 13.0, 0, 0.5, shed=0.55),)),
    "outage": replace(USUAL, outages=((6.0, 7.3),)),
    "nodes40": replace(USUAL, nodes=40, bursts=((6.0, 11.0, 1.7),)),
    "nodes300": replace(USUAL, nodes=300, bursts=((6.0, 11.0, 1.7),)),
    "fair": FAIR,
    "fair107": replace(
        FAIR, nodes=107, endpoints=30, rate=950.0, sends=SendBudget(0.0, 0.15, 60.0)
    ),
}
BEGIN = 4.0
AT_ONCE_SECONDS = 0.02


def simulate(workload, seed=1):
    """Return the requests from the time at which nodes know the usual latencies."""
    requests = Simulation(workload, seed).run()
    return [request for request in requests if request.sent_at >= BEGIN]


def measure(requests):
    """Return what callers got, as shares of the requests.

    Returns
    -------
    tuple of float
        Share of the value; requests in time, late, unserved, refused at once, refused
        after a wait and refused again; the longest time for which a tenth of the
        refused attempts was held, in seconds.
    """
    count = max(1, len(requests))
    held = sorted(seconds for r in requests for seconds in r.refusals)
    answered = sum(r.answered_at is not None for r in requests)
    in_time = sum(r.is_in_time() for r in requests)
    return (
        sum(r.get_value() for r in requests) / sum(r.kind.value for r in requests),
        in_time / count,
        (answered - in_time) / count,
        1 - answered / count,
        sum(seconds <= AT_ONCE_SECONDS for seconds in held) / count,
        sum(seconds > AT_ONCE_SECONDS for seconds in held) / count,
        sum(len(r.refusals) > 1 for r in requests) / count,
        held[int(0.9 * len(held))] if held else 0.0,
    )


def print_row(name, requests):
    """Print a line of the table."""
    print(f"{name:28}" + "".join(f"{x:9.3f}" for x in measure(requests)), flush=True)


def run_case(item):
    """Return the requests of a case with a seed, with or without early refusal."""
    (name, early), seed = item
    return simulate(replace(CASES[name], early_refusal=early), seed)


def main(names, seeds=(1,)):
    """Print the table."""
    columns = "value in-time late unserved at-once waited again held90".split()
    print(" " * 28 + "".join(f"{column:>9}" for column in columns))
    is_detailed = "-v" in names
    modes = (False, True) if "-b" in names else (True,)
    names = [name for name in names if name[0] != "-"] or list(CASES)
    keys = list(product(names, modes))
    items = list(product(keys, seeds))
    with ProcessPoolExecutor(4) as pool:
        results = iter(pool.map(run_case, items))
        total = 0.0
        for name, early in keys:
            requests = [r for seed in seeds for r in next(results)]
            label = f"{name}{'' if early else ' (before)'}"
            print_row(label, requests)
            total += measure(requests)[0]
            groups = [("kind", r.kind.route.path, r) for r in requests] + [
                ("of", r.organisation.name.rstrip("0123456789"), r) for r in requests
            ]
            for group in sorted({item[:2] for item in groups}) if is_detailed else ():
                chosen = [item[2] for item in groups if item[:2] == group]
                print_row(f"    {group[1]}", chosen)
        print(f"mean value {total / len(keys):.4f}")


if __name__ == "__main__":
    main(sys.argv[1:])
