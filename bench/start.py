"""CPU time of a start on the platform, from source files and from a bundle."""

import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

__all__ = ["run"]

ROOT = Path(__file__).parent.parent
ROUNDS = 9
EMPTY_PROGRAM = "pass"
SOURCE_START = "import adapter.start"
BUNDLE_START = """
import gc
gc.disable()
from hingesill_node.bundle import open_bundle
assert not open_bundle({path!r})
import adapter.start
"""


def measure(code):
    """Return the CPU seconds of a new interpreter that runs the code."""
    before = os.times()
    environ = {
        **os.environ,
        "PYTHONPATH": str(ROOT / "platform"),
        "EVENTLET_NO_GREENDNS": "yes",
    }
    subprocess.run([sys.executable, "-c", code], check=True, env=environ)
    after = os.times()
    cpu_user = after.children_user - before.children_user
    return cpu_user + after.children_system - before.children_system


def run():
    """Write a bundle, measure the variants alternately and print the medians."""
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/start.bundle"
        environ = {**os.environ, "PYTHONPATH": str(ROOT / "platform")}
        writer = [sys.executable, str(ROOT / "deploy" / "bundle.py"), path]
        subprocess.run(writer, check=True, env=environ)
        codes = {
            "the interpreter alone": EMPTY_PROGRAM,
            "from its sources": SOURCE_START,
            "from one file": BUNDLE_START.format(path=path),
        }
        times = {name: [] for name in codes}
        for _ in range(ROUNDS):
            for name, code in codes.items():
                times[name].append(measure(code))
    for name, values in times.items():
        low, high = min(values), max(values)
        median = statistics.median(values)
        print(f"{name:22} {median:.3f} s, {low:.3f} to {high:.3f}")
