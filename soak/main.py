"""Run seeds of the soak: ``python -m soak.main --seeds=50`` or ``--seed=7``."""

import random
import sys
import tempfile
import time
from collections import Counter

import fire

from matrix.evidence import Evidence, Violation
from matrix.promises import PROMISES
from soak.faults import BESIDES, FAULTS
from soak.report import Finding, choose_seeds, report_seeds
from soak.scene import Scene

__all__ = ["main", "run_seed"]

SERIES = 6
FIRST_PAUSE = 0.5
REST_SECONDS = 2.0
# Share of faults beside which another one of each kind begins.
BESIDE_SHARE = 0.3
CHECKED = (
    "whole own answer",
    "not run did not run",
    "not repeatable at most once",
    "answered ran",
)
# Seeds that failed once are run with every soak; a line says why they failed.
REGRESSIONS = {
    30634: "the soak's fault: a planned stop was waited for while the node was paused",
}
# What was drawn beside others when these failed; they play the same for ever.
KEPT_BESIDES = ("limits",)


def run_seed(seed, mutation="", names=None):
    """Run one seed, maybe with a rule left out; return its Finding.

    Parameters
    ----------
    seed : int
        Of all choices.
    mutation : str
        A rule that nodes leave out; see `matrix.mutant`.
    names : list of str or None
        Faults to choose from; all if None.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        besides = {} if names else draw_besides(seed)
        scene = Scene(folder, seed, mutation, "suspensions" in besides)
        try:
            scene.start()
            time.sleep(FIRST_PAUSE)
            faults = play_faults(scene, rng, names or FAULTS.list_names(), besides)
            time.sleep(REST_SECONDS)
            return judge(scene, seed, faults)
        finally:
            scene.close()


def draw_besides(seed):
    """Return the source of luck of each kind of fault that is drawn beside others."""
    names = KEPT_BESIDES if seed in REGRESSIONS else BESIDES.list_names()
    return {name: random.Random(f"{name} of {seed}") for name in names}


def play_faults(scene, rng, known, besides):
    """Begin faults one after another, overlapping; return their names.

    Parameters
    ----------
    scene : Scene
        Where.
    rng : random.Random
        Draws the faults.
    known : list of str
        To choose from.
    besides : dict of random.Random
        Draw, by the names of faults of `BESIDES`, when one begins beside another.
    """
    names = []
    ends = []
    for _ in range(SERIES):
        name = rng.choice(known)
        names.append(name)
        ends.append(FAULTS.get(name)(scene, rng))
        for beside, luck in besides.items():
            if luck.random() < BESIDE_SHARE:
                names.append(beside)
                ends.append(BESIDES.get(beside)(scene, luck))
        time.sleep(rng.uniform(0.1, 0.8))
        while len(ends) > 2 or (ends and rng.random() < 0.4):
            ends.pop(rng.randrange(len(ends)))()
    for end in ends:
        end()
    return names


def judge(scene, seed, faults):
    """Compare what callers were told with what endpoints ran."""
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
    """Check that planned stops were clean and that all is served again."""
    for code in scene.exit_codes:
        if code != 0:
            yield Violation("node", f"a planned stop ended with {code}")
    for caller in scene.callers:
        if caller.calls and caller.calls[-1].outcome == "cut":
            call = caller.calls[-1]
            yield Violation(call.request_id, "still cut after the last fault")
    last = [caller.calls[-5:] for caller in scene.callers]
    if not any(call.outcome == "answered" for calls in last for call in calls):
        yield Violation("fleet", "nothing is answered after the last fault")


def main(seeds=0, seed=None, first=None, mutation=""):
    """Run seeds and print what they showed.

    Parameters
    ----------
    seeds : int
        How many fresh ones.
    seed : int
        Just this one.
    first : int
        Where the fresh ones begin; drawn if not given.
    mutation : str
        A rule that nodes leave out; see `matrix.mutant`.
    """
    chosen = choose_seeds(REGRESSIONS, seeds, seed, first)
    failed = report_seeds(chosen, lambda number: run_seed(number, mutation))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main, serialize=lambda result: "")
