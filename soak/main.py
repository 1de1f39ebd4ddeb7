"""Run seeds of the soak: ``python -m soak.main --seeds=50`` or ``--seed=7``."""

import random
import sys
import tempfile
import time
from collections import Counter

import fire

from matrix.evidence import Evidence, Violation
from matrix.promises import PROMISES
from soak.faults import CONCURRENT_FAULTS, FAULTS
from soak.report import Finding, choose_seeds, report_seeds
from soak.scene import Scene

__all__ = ["main", "run_seed"]

FAULTS_PER_SEED = 6
INITIAL_PAUSE_SECONDS = 0.5
RECOVERY_SECONDS = 2.0
# Share of faults with which a concurrent fault of each kind starts.
CONCURRENT_SHARE = 0.3
CHECKED = (
    "whole own answer",
    "not run did not run",
    "not repeatable at most once",
    "answered ran",
)
# Seeds that failed before are run in every soak; each has the reason of its failure.
REGRESSIONS = {
    30634: "the soak's fault: a planned stop was waited for while the node was paused",
}
# Concurrent faults that existed when these seeds failed: with others, the seeds would
# give other faults.
REGRESSION_FAULTS = ("limits",)


def run_seed(seed, mutation="", names=None):
    """Run one seed, optionally with a mutation; return its Finding.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    mutation : str
        Rule that the nodes violate; see `matrix.mutant`.
    names : list of str or None
        Faults to choose from; all if None.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        concurrent = {} if names else create_random_sources(seed)
        scene = Scene(folder, seed, mutation, "suspensions" in concurrent)
        try:
            scene.start()
            time.sleep(INITIAL_PAUSE_SECONDS)
            faults = run_faults(scene, rng, names or FAULTS.list_names(), concurrent)
            time.sleep(RECOVERY_SECONDS)
            return evaluate(scene, seed, faults)
        finally:
            scene.close()


def create_random_sources(seed):
    """Return a random source for each kind of concurrent fault."""
    names = REGRESSION_FAULTS if seed in REGRESSIONS else CONCURRENT_FAULTS.list_names()
    return {name: random.Random(f"{name} of {seed}") for name in names}


def run_faults(scene, rng, known, concurrent):
    """Run a series of overlapping faults; return their names.

    Parameters
    ----------
    scene : Scene
        Scene in which the faults are injected.
    rng : random.Random
        Random source that chooses the faults.
    known : list of str
        Names of the faults to choose from.
    concurrent : dict of random.Random
        Random sources that decide when a concurrent fault starts, by the names of
        faults of `CONCURRENT_FAULTS`.
    """
    names = []
    ends = []
    for _ in range(FAULTS_PER_SEED):
        name = rng.choice(known)
        names.append(name)
        ends.append(FAULTS.get(name)(scene, rng))
        for concurrent_name, source in concurrent.items():
            if source.random() < CONCURRENT_SHARE:
                names.append(concurrent_name)
                ends.append(CONCURRENT_FAULTS.get(concurrent_name)(scene, source))
        time.sleep(rng.uniform(0.1, 0.8))
        while len(ends) > 2 or (ends and rng.random() < 0.4):
            ends.pop(rng.randrange(len(ends)))()
    for end in ends:
        end()
    return names


def evaluate(scene, seed, faults):
    """Compare the responses that callers received with the endpoints' records."""
    for caller in scene.callers:
        caller.stop()
    calls = [call for caller in scene.callers for call in caller.calls]
    ran = Counter()
    for endpoint in scene.fleet.endpoints:
        ran.update(scene.fleet.read_record(endpoint)["ran"])
    evidence = Evidence(calls=calls, ran=ran)
    violations = [v for name in CHECKED for v in PROMISES.get(name)(evidence)]
    violations += check_end(scene)
    return Finding(seed, faults, len(calls), violations)


def check_end(scene):
    """Yield a violation for each unclean planned stop and for lost service."""
    for code in scene.exit_codes:
        if code != 0:
            yield Violation("node", f"a planned stop exited with status {code}")
    for caller in scene.callers:
        if caller.calls and caller.calls[-1].outcome == "cut":
            call = caller.calls[-1]
            yield Violation(
                call.request_id, "connection still cut after the last fault"
            )
    last = [caller.calls[-5:] for caller in scene.callers]
    if not any(call.outcome == "answered" for calls in last for call in calls):
        yield Violation("fleet", "no request is answered after the last fault")


def main(seeds=0, seed=None, first=None, mutation=""):
    """Run seeds and print their findings.

    Parameters
    ----------
    seeds : int
        Number of new seeds.
    seed : int
        Single seed to run.
    first : int
        First of the new seeds; random if not given.
    mutation : str
        Rule that the nodes violate; see `matrix.mutant`.
    """
    chosen = choose_seeds(REGRESSIONS, seeds, seed, first)
    failed = report_seeds(chosen, lambda number: run_seed(number, mutation))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main, serialize=lambda result: "")
