"""Writes the bundle of all modules that a node's start loads; see deploy/build.sh."""

import sys

import adapter.start  # noqa: F401, loads what a start loads
from hingesill_node.bundle import write_bundle

# Libraries import these at once and use them seldom or never in a node; asyncio alone
# is a sixth of a start's processor time (``python3 -X importtime``).
LATE = frozenset({"asyncio", "html", "linecache", "mimetypes", "platform", "shutil"})


def main():
    """Write the bundle that the first argument names."""
    path = sys.argv[1]
    modules = [module for name, module in sorted(sys.modules.items()) if module]
    count = write_bundle(path, modules, LATE)
    print(f"{path}: {count} modules")


if __name__ == "__main__":
    main()
