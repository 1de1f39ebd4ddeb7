"""Run two nodes under load and stop one gracefully; exit with 0 if all checks hold."""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from demo.load import Caller, count_outcomes
from standins.fleet import Fleet, wait_until

__all__ = ["main"]

REQUESTS = [
    ("GET", "/arena/boards/7", True),
    ("POST", "/ledger/moves", False),
    ("GET", "/arena/clocks/7", True),
    ("GET", "/records/ratings/9", True),
]
CALLERS = 6
LOAD_SECONDS = 2.0
STOP_SECONDS = 15.0


def run_demo(folder, checks):
    """Run the demonstration; store the result of each check in ``checks``."""
    with Fleet(folder) as fleet:
        fleet.start_platform()
        declarations = fleet.write_example("zugzwang")
        first = fleet.start_node("node-1", "lsn-a")
        second = fleet.start_node("node-2", "gva-a")
        applied = fleet.run_cli(first, "apply", "-f", declarations)
        print(applied.stdout + applied.stderr)
        checks["the configuration was accepted"] = applied.returncode == 0
        waited = fleet.run_cli(first, "status", "--wait=10")
        print(waited.stdout + waited.stderr)
        checks["the configuration is in force on both nodes"] = waited.returncode == 0
        calls = run_load(fleet, first, second, checks)
        report(calls)
        check_promises(fleet, calls, checks)


def run_load(fleet, first, second, checks):
    """Send requests through both nodes, and stop one of them."""
    usable = [first.address, second.address]
    callers = [Caller(lambda: usable, REQUESTS).start() for _ in range(CALLERS)]
    time.sleep(LOAD_SECONDS)
    print("stopping node-2 gracefully")
    second.process.terminate()
    wait_until(
        lambda: not second.is_ready(),
        5.0,
        "the stopping node reports that it is not ready",
    )
    usable.remove(second.address)
    code = second.process.wait(STOP_SECONDS)
    checks["the stopped node exited with status 0"] = code == 0
    time.sleep(LOAD_SECONDS)
    for caller in callers:
        caller.stop()
    counters = fleet.run_cli(first, "status").stdout
    print(counters)
    return [call for caller in callers for call in caller.calls]


def report(calls):
    """Print the outcomes and latencies of the calls."""
    for outcome, count in sorted(count_outcomes(calls).items()):
        print(f"  {outcome}: {count}")
    seconds = sorted(call.seconds for call in calls)
    for share in (50, 99):
        value = seconds[min(len(seconds) - 1, len(seconds) * share // 100)]
        print(f"  {share} in 100 within {value * 1000:.1f} ms")


def check_promises(fleet, calls, checks):
    """Compare the responses that callers received with the endpoints' records."""
    ran = Counter()
    for endpoint in fleet.endpoints:
        ran.update(fleet.read_record(endpoint)["ran"])
    checks["more than 100 requests were sent"] = len(calls) > 100
    checks["no connection was cut"] = all(c.outcome != "cut" for c in calls)
    checks["every response was complete and matched its request"] = all(
        c.whole for c in calls
    )
    checks["no non-repeatable request ran twice"] = all(
        ran[c.request_id] <= 1 for c in calls if not c.repeatable
    )
    checks["no request reported as not run was run"] = all(
        ran[c.request_id] == 0 for c in calls if c.outcome == "not-run"
    )
    checks["every answered request was run"] = all(
        ran[c.request_id] >= 1 for c in calls if c.outcome == "answered"
    )


def main():
    """Run the demonstration and print the checks."""
    checks = {}
    with tempfile.TemporaryDirectory() as folder:
        run_demo(Path(folder), checks)
    for name, passed in checks.items():
        print(f"{'held  ' if passed else 'FAILED'} {name}")
    failed = sum(not passed for passed in checks.values())
    print(f"{len(checks) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
