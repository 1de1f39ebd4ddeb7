"""Checks of the own mode: operators' commands, change log and snapshot."""

import sys

import urllib3
import yaml

from adapter.tests.platformscene import call
from mixed.checks import require
from mixed.logs import check_commands, check_logs
from mixed.scene import WAIT_SECONDS
from standins.fleet import Fleet, wait_until

__all__ = ["check_own_data", "check_own_mode"]

SERVED, EMPTY = "arena", "ledger"
# Changes after which a node has sealed segments and written a snapshot, and a few more.
CHANGES = 512 + 8
SNAPSHOT_KEY = "hingesill/snapshot/head"
# Applies two files in turn; one process, as starting one takes longer than a change.
APPLY_IN_TURN = """
import runpy, sys
count, node, *files = sys.argv[1:]
for number in range(int(count)):
    sys.argv = ["hingesill", "apply", "-f", files[number % 2], node]
    try:
        runpy.run_module("hingesill_cli.main", run_name="__main__")
    except SystemExit as ended:
        if ended.code:
            raise
"""


class BuildFleet(Fleet):
    """A Fleet of which each node has a build."""

    def start_build(self, build, name):
        """Start a node of a build; return it once it is ready."""
        return self.start_node(
            name,
            program=build.list_program("hingesill_node.main"),
            environment=build.build_environment(),
        )

    def stop(self, node):
        """Stop a node in its planned way."""
        node.process.terminate()
        code = node.process.wait(WAIT_SECONDS)
        require(code == 0, f"the planned stop of {node.name} ended with {code}")
        self.forget(node)

    def write_declaration(self, service, endpoints=(), timeout=1000):
        """Write a service's declaration; return its file."""
        content = {
            "service": service,
            "endpoints": [
                {"address": address, "data_centre": "lsn-a"} for address in endpoints
            ],
            "routes": [{"method": "GET", "path": f"/{service}", "timeout_ms": timeout}],
        }
        file = self.folder / f"{service}-{timeout}.yaml"
        file.write_text(yaml.safe_dump(content))
        return file

    def has_snapshot(self):
        """Tell whether the store holds a snapshot."""
        url = f"{self.store}/v1/kv/{SNAPSHOT_KEY}"
        return urllib3.request("GET", url, retries=False).status == 200


def read_state(build, node):
    """Return what is in force at a node, and how it answers on each route."""
    held = build.run_cli("get", f"--node={node.control}")
    headers = {"Hingesill-Request-Id": f"sent-to-{node.name}"}
    statuses = [
        call(node.address, "GET", f"/{name}", None, headers)[0]
        for name in (SERVED, EMPTY, "none")
    ]
    return held, statuses


def read_revision(state):
    """Return the line of a state that names the revision."""
    return state[0].splitlines()[0]


def require_same(states):
    """Require that states are equal and have the routes; return the revision."""
    first = states[0]
    require(all(state == first for state in states), f"they differ: {states}")
    require(first[1] == [200, 503, 404], f"statuses {first[1]}")
    return read_revision(first)


def check_own_mode(checks, older, newer, folder):
    """Check two nodes on one store, one of each build, then the builds exchanged."""
    folder.mkdir()
    with BuildFleet(folder) as fleet:
        with checks.check(
            "own mode: changes through each are in force at both"
        ) as seen:
            fleet.start_platform()
            state = apply_through_both(fleet, older, newer)
            seen.append(require_same([state]))
        check_commands(
            checks,
            "own mode",
            EMPTY,
            [(folder / "n1.log", older, newer), (folder / "n2.log", newer, older)],
        )
        with checks.check(
            "own mode: the same stands with the builds exchanged"
        ) as seen:
            for node in list(fleet.nodes.values()):
                fleet.stop(node)
            builds = (newer, older)
            nodes = [fleet.start_build(b, f"after-{b.name}") for b in builds]
            states = [read_state(b, node) for b, node in zip(builds, nodes)]
            seen.append(require_same([state, *states]))
    check_logs(checks, "own mode", folder)


def apply_through_both(fleet, older, newer):
    """Apply a change at each node, with the other build; return the state of both."""
    first, second = fleet.start_build(older, "n1"), fleet.start_build(newer, "n2")
    served = fleet.write_declaration(SERVED, fleet.start_endpoints(1))
    empty = fleet.write_declaration(EMPTY)
    newer.run_cli("apply", "-f", served, f"--node={first.control}")
    newer.run_cli("status", f"--wait={WAIT_SECONDS}", f"--node={first.control}")
    older.run_cli("apply", "-f", empty, f"--node={second.control}")
    older.run_cli("status", f"--wait={WAIT_SECONDS}", f"--node={second.control}")
    states = [
        read_state(build, node)
        for build, node in ((newer, first), (older, first), (older, second))
    ]
    require_same(states)
    return states[0]


def check_own_data(checks, title, writer, reader, folder):
    """Check that a node goes on with the stored state of the other build.

    Notes
    -----
    The store holds a snapshot too, but a node reads that only where the segments of
    the change log before it are gone, so that this does not show that it can.
    """
    title = f"own mode, {title}"
    folder.mkdir()
    with BuildFleet(folder) as fleet:
        with checks.check(f"{title}: revision and routes") as seen:
            fleet.start_platform()
            node = fleet.start_build(writer, "writer")
            write_snapshot(fleet, writer, node)
            before = read_state(writer, node)
            fleet.stop(node)
            node = fleet.start_build(reader, "reader")
            after = read_state(reader, node)
            seen.append(f"{require_same([before, after])}, read from the change log")
        with checks.check(f"{title}: a further change is accepted") as seen:
            file = fleet.write_declaration(EMPTY, timeout=3000)
            reader.run_cli("apply", "-f", file, f"--node={node.control}")
            seen.append(read_revision(read_state(reader, node)))
    check_logs(checks, title, folder)


def write_snapshot(fleet, build, node):
    """Apply changes until the node has written a snapshot."""
    target = f"--node={node.control}"
    endpoints = fleet.start_endpoints(1)
    files = [fleet.write_declaration(SERVED, endpoints, ms) for ms in (1000, 2000)]
    build.run_cli("apply", "-f", fleet.write_declaration(EMPTY), target)
    build.run(
        [sys.executable, "-c", APPLY_IN_TURN, str(CHANGES), target, *map(str, files)]
    )
    wait_until(fleet.has_snapshot, WAIT_SECONDS, "read from the change log")
