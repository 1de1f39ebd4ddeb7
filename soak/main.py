"""Run seeds of the soak: ``python -m soak.main --seeds=50`` or ``--seed=7``."""

import json
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from subprocess import TimeoutExpired

import fire

from demo.load import Caller
from matrix.evidence import Evidence, Violation
from matrix.promises import PROMISES
from soak.faults import CONCURRENT_FAULTS, FAULTS, stop_nodes_in_series
from soak.incompletecaller import check_incomplete
from soak.organisations import (
    GREEDY,
    KEYS,
    LEAVING,
    MODEST,
    QUOTAS,
    STEADY,
    check_keys,
)
from soak.pipelining import check_sent
from soak.quotajudges import (
    UNAUTHENTICATED,
    check_bounds,
    check_refusals,
    check_shares,
)
from soak.report import Finding, choose_seeds, report_seeds
from soak.scene import REQUESTS, Scene

__all__ = ["main", "run_seed"]

# Folder for the logs of seeds that failed; git ignores it.
LOGS = Path(__file__).parent.parent / "target"
FAULTS_PER_SEED = 6
INITIAL_PAUSE_SECONDS = 0.5
RECOVERY_SECONDS = 2.0
# Seconds after the recovery until requests far below a quota must be admitted, and for
# which this is judged. Lists of nodes change within 2 s, a new coordinator then waits
# for 4 s.
QUOTA_RECOVERY_SECONDS = 5.0
CALM_SECONDS = 6.0
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


def run_seed(seed, mutation="", names=None, is_calm_judged=True, has_stops=True):
    """Run one seed, optionally with a mutation; return its Finding.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    mutation : str
        Rule that the nodes violate; see `matrix.mutant`.
    names : list of str or None
        Faults to choose from; all if None.
    is_calm_judged : bool
        Whether quotas and keys are judged for a time without faults as well.
    has_stops : bool
        Whether all nodes are stopped in turn after the faults.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        concurrent = {} if names else create_random_sources(seed)
        scene = Scene(folder, seed, mutation, "suspensions" in concurrent)
        faults = []
        try:
            scene.start()
            time.sleep(INITIAL_PAUSE_SECONDS)
            faults = run_faults(scene, rng, names or FAULTS.list_names(), concurrent)
            if has_stops:
                faults.append("nodes stopped in series")
                stop_nodes_in_series(scene, random.Random(f"stops of {seed}"))
            # The time without faults is judged by the rates of the other callers.
            scene.stop_pipelining_callers()
            time.sleep(RECOVERY_SECONDS)
            calm_since = time.monotonic() + QUOTA_RECOVERY_SECONDS
            if is_calm_judged:
                time.sleep(QUOTA_RECOVERY_SECONDS + CALM_SECONDS)
            finding = evaluate(scene, seed, faults)
            if is_calm_judged:
                finding.violations.extend(check_calm(scene, calm_since))
                finding.violations.extend(check_removal(scene))
            if finding.violations and not mutation:
                keep_logs(scene, seed)
            return finding
        except (TimeoutError, TimeoutExpired) as error:
            if mutation:
                raise
            keep_logs(scene, seed)
            return Finding(seed, faults, 0, [Violation("fleet", str(error))])
        finally:
            scene.close()


def keep_logs(scene, seed):
    """Copy the logs of a seed that failed, with the requests that endpoints ran."""
    kept = LOGS / f"own-soak-{seed}"
    shutil.copytree(scene.fleet.folder, kept, dirs_exist_ok=True)
    requests = json.dumps(scene.fleet.read_requests())
    (kept / "requests.json").write_text(requests)
    print(f"logs of seed {seed}: {kept.relative_to(LOGS.parent)}")


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
    scene.stop_callers()
    calls = [call for caller in scene.callers for call in caller.calls]
    ran = Counter()
    for endpoint in scene.fleet.endpoints:
        ran.update(scene.fleet.read_record(endpoint)["ran"])
    evidence = Evidence(calls=calls, ran=ran)
    violations = [v for name in CHECKED for v in PROMISES.get(name)(evidence)]
    violations += check_incomplete(scene.incomplete_caller.request_ids, ran)
    unplanned = {address for address, _ in scene.unplanned}
    violations += check_sent(scene.list_sent(), ran, unplanned)
    violations += check_end(scene)
    requests = scene.fleet.read_requests()
    violations += check_keys(calls, requests)
    arrivals = [(organisation, at) for _, organisation, _, at in requests]
    violations += check_bounds(arrivals, QUOTAS)
    if scene.overload == "refuse-early":
        violations += check_shares(list_answers(scene), 0.0, time.monotonic(), "in all")
    return Finding(seed, faults, len(calls), violations)


def list_answers(scene):
    """Return organisation, start time and status of each call with a valid key."""
    names = {key: name for name, key in KEYS.items()}
    return [
        (names[call.key], call.started, call.status)
        for caller in scene.callers
        for call in caller.calls
        if call.key in names
    ]


def check_calm(scene, calm_since):
    """Yield violations of quotas in the time without faults."""
    yield from check_refusals(list_answers(scene), calm_since, MODEST, GREEDY)


def check_removal(scene):
    """Yield violations after an organisation was removed, at each node."""
    if not scene.remove_organisation(LEAVING):
        yield Violation("fleet", f"the removal of {LEAVING!r} is not in force")
    for name in (LEAVING, STEADY):
        caller = Caller(lambda: scene.usable, REQUESTS, key=KEYS[name])
        for address in scene.usable:
            call = caller.send(address, *REQUESTS[0])
            if (call.status == UNAUTHENTICATED) != (name == LEAVING):
                what = f"answered {call.status} to {name!r} after {LEAVING!r} left"
                yield Violation(address, what)


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
