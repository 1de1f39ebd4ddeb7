"""Report of the findings of a soak's seeds."""

import random
from dataclasses import dataclass

__all__ = ["Finding", "choose_seeds", "report_seeds"]

MAX_PRINTED_VIOLATIONS = 5


@dataclass(frozen=True)
class Finding:
    """The result of one seed.

    Parameters
    ----------
    seed : int
        Seed that determines the faults, but not their exact times.
    faults : list of str
        Names of the faults, in order.
    calls : int
        Number of requests sent.
    violations : list of Violation
        Broken promises.
    """

    seed: int
    faults: list
    calls: int
    violations: list


def choose_seeds(regressions, seeds, seed, first=None):
    """Return the seeds to run.

    Parameters
    ----------
    regressions : iterable of int
        Seeds that failed before; they are run first.
    seeds : int
        Number of new seeds.
    seed : int or None
        Single seed to run.
    first : int or None
        First of the new seeds; random if not given.
    """
    if seed is not None:
        return [seed]
    start = random.randrange(10**6) if first is None else first
    return [*regressions, *range(start, start + seeds)]


def report_seeds(chosen, run_seed):
    """Run seeds and print their findings; return the number of failed seeds."""
    failed = 0
    for number in chosen:
        finding = run_seed(number)
        failed += bool(finding.violations)
        state = "FAILED" if finding.violations else "held  "
        print(f"{state} seed {number}: {finding.calls} calls, {finding.faults}")
        for violation in finding.violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"    {violation.place}: {violation.what}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return failed
