"""Registry of benchmarks."""

import importlib

from hingesill_core.registry import Registry

__all__ = ["BENCHES"]

BENCHES = Registry("bench")
MODULES = (
    "added_latency",
    "control_cost",
    "organisation_changes",
    "probe_cost",
    "propagation",
    "routing",
    "start",
)


def register_lazily(module):
    """Register a benchmark by name; its module is imported when it runs."""

    @BENCHES.register(module.replace("_", "-"))
    def run():
        importlib.import_module(f"bench.{module}").run()


for name in MODULES:
    register_lazily(name)
