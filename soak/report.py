"""What the seeds of a soak showed, printed and counted."""

import random
from dataclasses import dataclass

__all__ = ["Finding", "choose_seeds", "report_seeds"]

MOST_PRINTED = 5


@dataclass(frozen=True)
class Finding:
    """What one seed showed.

    Parameters
    ----------
    seed : int
        It repeats the choice of faults, not their exact times.
    faults : list of str
        In order.
    calls : int
        Requests sent.
    violations : list of Violation
        Promises that were broken.
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
        Seeds that failed once; they come first.
    seeds : int
        How many fresh ones.
    seed : int or None
        Just this one.
    first : int or None
        Where the fresh ones begin; drawn if not given.
    """
    if seed is not None:
        return [seed]
    start = random.randrange(10**6) if first is None else first
    return [*regressions, *range(start, start + seeds)]


def report_seeds(chosen, run_seed):
    """Run seeds, print what they showed; return how many failed."""
    failed = 0
    for number in chosen:
        finding = run_seed(number)
        failed += bool(finding.violations)
        state = "FAILED" if finding.violations else "held  "
        print(f"{state} seed {number}: {finding.calls} calls, {finding.faults}")
        for violation in finding.violations[:MOST_PRINTED]:
            print(f"    {violation.place}: {violation.what}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return failed
