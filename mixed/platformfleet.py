"""Checks of the platform program: a fleet of both builds, and stored data."""

import time

from adapter.tests.load import Load
from adapter.tests.platformscene import SERVICE, call, read_events, wait_until
from mixed.checks import require
from mixed.logs import check_commands, check_logs
from mixed.scene import WAIT_SECONDS, MixedScene

__all__ = ["check_mixed_fleet", "check_stored_data"]

PROFILE_STORED = 4005
LIMIT_STARTED = 4014
# Rate limit of each endpoint in requests per second; the constants below define the
# accepted excess, see test_endpoint_limits.py.
LIMIT = 3.0
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
# Requests per second to the nodes of one build.
RATE = 50.0
# Time in seconds for crashed endpoints to restart.
RESTART_SECONDS = 3.0


def run_scene(checks, title, folder, builds, run_checks):
    """Start a scene, run checks in it, and check its logs."""
    scene = None
    with checks.check(f"{title}: all nodes become ready") as seen:
        scene = MixedScene(folder, builds)
        seen.append(" ".join(node.build.name for node in scene.nodes))
    if scene is not None:
        try:
            run_checks(scene)
        finally:
            scene.close()
    check_logs(checks, title, folder)


def check_mixed_fleet(checks, older, newer, folder):
    """Check three nodes of each build; each relay has followers of both builds."""
    title = "mixed fleet"
    builds = [older, newer, newer, older, older, newer]

    def run_checks(scene):
        check_ready_fleet(checks, title, scene, older, newer)

    run_scene(checks, title, folder, builds, run_checks)


def check_ready_fleet(checks, title, scene, older, newer):
    """Check a ready fleet of both builds."""
    with checks.check(f"{title}: a new configuration is served by all nodes") as seen:
        scene.wait_in_force(scene.declare_next())
        seen.append(f"r{scene.version}")
    with checks.check(f"{title}: observations of services are stored") as seen:
        check_profile(scene, seen)
    for sender, receiver in ((older, newer), (newer, older)):
        name = f"{title}: {receiver.name} applies what {sender.name} quarantined"
        with checks.check(name) as seen:
            check_quarantine(scene, sender, receiver, seen)
    with checks.check(f"{title}: limits of endpoints are known and respected") as seen:
        check_limits(scene, (older, newer), seen)
    with checks.check(f"{title}: all nodes decode each other's datagrams") as seen:
        counts = scene.require_decoded()
        require(all(counts), f"datagrams received on limits and on crashes: {counts}")
        seen.append(f"{counts[0]} on limits, {counts[1]} on crashes")
    logs = [
        (scene.list_nodes(writer)[0].log, writer, reader)
        for writer, reader in ((older, newer), (newer, older))
    ]
    check_commands(checks, title, SERVICE, logs)


def check_profile(scene, seen):
    """Check that relays of both builds store the nodes' observations."""
    load = Load(scene.nodes)
    try:
        for relay in scene.nodes[:2]:
            what = f"the profile of {relay.name} ({relay.build.name})"
            wait_until(lambda: read_events(relay, PROFILE_STORED), WAIT_SECONDS, what)
            seen.append(f"{relay.build.name} wrote it")
    finally:
        load.stop()
    require(scene.has_item("hingesill/profile"), "the store has no profile")


def check_quarantine(scene, sender, receiver, seen):
    """Check that nodes of one build apply quarantines found by the other build."""
    path = f"/r0/crash-{sender.name}"
    found = scene.quarantine(scene.list_nodes(sender), path)
    nodes = scene.list_nodes(receiver)
    for node in nodes:
        what = f"the quarantine at {node.name} ({receiver.name})"
        wait_until(lambda: found <= node.list_quarantines().keys(), WAIT_SECONDS, what)
    sources = sorted(
        {node.list_quarantines()[name] for node in nodes for name in found}
    )
    require(
        sources != ["store"],
        "no node received the quarantine by gossip, only from the store",
    )
    scene.require_refused(nodes, path)
    scene.wait_stored(found)
    crashes = len(scene.crashing.ended_at)
    seen.append(f"{crashes} endpoint crashes so far, sources {sources}, in the store")


def check_limits(scene, builds, seen):
    """Check that all nodes know the limits, and that both builds respect them."""
    time.sleep(RESTART_SECONDS)
    loads = [Load(scene.list_nodes(build), RATE) for build in builds]
    try:
        for address in scene.endpoints:
            call(address, "PUT", "/standin/limit", str(LIMIT).encode())
        time.sleep(CONTACT_SECONDS)
        since = time.monotonic()
        time.sleep(WINDOW_SECONDS)
        until = time.monotonic()
        for node in scene.nodes:
            what = f"a limit at {node.name} ({node.build.name})"
            wait_until(lambda: read_events(node, LIMIT_STARTED), WAIT_SECONDS, what)
    finally:
        for load in loads:
            load.stop()
        for address in scene.endpoints:
            call(address, "PUT", "/standin/limit", b"")
    for build, load in zip(builds, loads):
        answers = [a for a in load.answers if since <= a[0] < until]
        served = sum(answer[1] == 200 for answer in answers)
        seen.append(f"{build.name} {served} of {len(answers)} requests served")
        require(served, f"{build.name} served no request within the limits")
    for address in scene.endpoints:
        ran = sum(since <= at < until for _, at in scene.read_record(address))
        require(
            ran <= ALLOWED, f"{address} got {ran} requests, {ALLOWED:.0f} are allowed"
        )


def check_stored_data(checks, title, writer, reader, folder):
    """Check that nodes of one build continue with store and files of the other."""
    title = f"platform, {title}"

    def run_checks(scene):
        check_replaced_nodes(checks, title, scene, reader)

    run_scene(checks, title, folder, [writer] * 4, run_checks)


def check_replaced_nodes(checks, title, scene, reader):
    """Replace the nodes of a scene by nodes of another build, and compare them."""
    path = "/r0/crash"
    found = set()
    with checks.check(
        f"{title}: configuration, profile and quarantine are stored"
    ) as seen:
        scene.wait_in_force(scene.declare_next())
        check_profile(scene, seen)
        found = scene.quarantine(scene.nodes, path)
        scene.wait_stored(found)
        seen.append(f"{len(found)} fingerprints")
    with checks.check(f"{title}: {reader.name} starts with the stored data") as seen:
        scene.replace(reader)
        seen.append(f"{len(scene.nodes)} planned stops with status 0, all ready")
    with checks.check(f"{title}: all entries of the store can be decoded") as seen:
        scene.require_decoded()
        seen.append("by the metrics of all nodes")
    with checks.check(f"{title}: the same configuration is served") as seen:
        statuses = [node.ask(scene.version) for node in scene.nodes]
        require(statuses == [200] * len(statuses), f"statuses {statuses}")
        seen.append(f"r{scene.version}")
    with checks.check(f"{title}: the quarantined request is still refused") as seen:
        require(found, "no request was quarantined before")
        scene.require_refused(scene.nodes, path)
        seen.append("by all nodes, and no endpoint crashed")
    with checks.check(f"{title}: a further configuration is served") as seen:
        scene.wait_in_force(scene.declare_next())
        seen.append(f"r{scene.version}")
