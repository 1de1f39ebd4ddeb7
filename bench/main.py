"""Run a benchmark by name: ``make bench NAME=added-latency``."""

import sys

from bench.registry import BENCHES

__all__ = ["main"]


def main():
    """Run the benchmark that the first argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    bench = BENCHES.get(name)
    if bench is None:
        print(f"no bench {name!r}; there are {', '.join(BENCHES.list_names())}")
        return 2
    bench()
    return 0


if __name__ == "__main__":
    sys.exit(main())
