"""Writes the bundle of all modules that a node's start loads; see deploy/build.sh."""

import sys

import adapter.start  # noqa: F401, loads what a start loads
from hingesill_node.bundle import write_bundle


def main():
    """Write the bundle that the first argument names."""
    path = sys.argv[1]
    modules = [module for name, module in sorted(sys.modules.items()) if module]
    count = write_bundle(path, modules)
    print(f"{path}: {count} modules")


if __name__ == "__main__":
    main()
