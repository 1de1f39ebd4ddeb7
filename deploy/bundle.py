"""Write the bundle of all modules loaded at a node's start; see deploy/build.sh."""

import sys

import adapter.start  # noqa: F401, imports all modules of a start
from hingesill_node.bundle import write_bundle

# Modules that libraries import eagerly but a node rarely or never uses; asyncio alone
# takes a sixth of a start's processor time (``python3 -X importtime``).
DEFERRED_MODULES = frozenset(
    {"asyncio", "html", "linecache", "mimetypes", "platform", "shutil"}
)


def main():
    """Write the bundle to the path in the first argument."""
    path = sys.argv[1]
    modules = [module for name, module in sorted(sys.modules.items()) if module]
    count = write_bundle(path, modules, DEFERRED_MODULES)
    print(f"{path}: {count} modules")


if __name__ == "__main__":
    main()
