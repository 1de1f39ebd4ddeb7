"""Processor time of a start on the platform: from its sources and from one file."""

import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

__all__ = ["run"]

ROOT = Path(__file__).parent.parent
PAIRS = 9
INTERPRETER = "pass"
SOURCES = "import adapter.start"
BUNDLE = """
import gc
gc.disable()
from hingesill_node.bundle import open_bundle
assert not open_bundle({path!r})
import adapter.start
"""


def measure(code):
    """Return the processor seconds of a fresh interpreter that runs some code."""
    before = os.times()
    environ = {
        **os.environ,
        "PYTHONPATH": str(ROOT / "platform"),
        "EVENTLET_NO_GREENDNS": "yes",
    }
    subprocess.run([sys.executable, "-c", code], check=True, env=environ)
    after = os.times()
    spent = after.children_user - before.children_user
    return spent + after.children_system - before.children_system


def run():
    """Write a bundle, then measure in turn and print the medians."""
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/start.bundle"
        environ = {**os.environ, "PYTHONPATH": str(ROOT / "platform")}
        writer = [sys.executable, str(ROOT / "deploy" / "bundle.py"), path]
        subprocess.run(writer, check=True, env=environ)
        codes = {
            "the interpreter alone": INTERPRETER,
            "from its sources": SOURCES,
            "from one file": BUNDLE.format(path=path),
        }
        times = {name: [] for name in codes}
        for _ in range(PAIRS):
            for name, code in codes.items():
                times[name].append(measure(code))
    for name, values in times.items():
        low, high = min(values), max(values)
        middle = statistics.median(values)
        print(f"{name:22} {middle:.3f} s, {low:.3f} to {high:.3f}")
