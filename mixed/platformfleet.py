"""Checks of the platform's program: a fleet of both builds, and stored data."""

import time

from adapter.tests.load import Load
from adapter.tests.platformscene import SERVICE, call, read_events, wait_until
from mixed.checks import require
from mixed.logs import check_commands, check_logs
from mixed.scene import WAIT_SECONDS, MixedScene

__all__ = ["check_mixed_fleet", "check_stored_data"]

PROFILE_KEPT = 4005
LIMIT_BEGUN = 4014
# Requests a second that each endpoint takes, and what counts as kept; see
# test_endpoint_limits.py.
LIMIT = 3.0
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
# Requests a second to the nodes of one build.
RATE = 50.0
# For endpoints that have ended to come back.
BACK_SECONDS = 3.0


def run_scene(checks, title, folder, builds, play):
    """Start a scene, do what is to be checked in it, and check its logs."""
    scene = None
    with checks.check(f"{title}: all nodes become ready") as seen:
        scene = MixedScene(folder, builds)
        seen.append(" ".join(node.build.name for node in scene.nodes))
    if scene is not None:
        try:
            play(scene)
        finally:
            scene.close()
    check_logs(checks, title, folder)


def check_mixed_fleet(checks, older, newer, folder):
    """Check six nodes, three of each build; each relay has followers of both."""
    title = "mixed fleet"
    builds = [older, newer, newer, older, older, newer]

    def play(scene):
        play_mixed_fleet(checks, title, scene, older, newer)

    run_scene(checks, title, folder, builds, play)


def play_mixed_fleet(checks, title, scene, older, newer):
    """Check what a ready fleet of both builds does."""
    with checks.check(f"{title}: a new configuration is served by all") as seen:
        scene.wait_in_force(scene.declare_next())
        seen.append(f"r{scene.version}")
    with checks.check(f"{title}: what was learnt of services is kept") as seen:
        check_profile(scene, seen)
    for sender, receiver in ((older, newer), (newer, older)):
        name = f"{title}: {receiver.name} holds back what {sender.name} found"
        with checks.check(name) as seen:
            check_hold(scene, sender, receiver, seen)
    with checks.check(f"{title}: limits of endpoints are known and kept") as seen:
        check_limits(scene, (older, newer), seen)
    with checks.check(f"{title}: all nodes read each other's datagrams") as seen:
        counts = scene.require_understood()
        require(all(counts), f"heard on limits and on crashes: {counts}")
        seen.append(f"{counts[0]} on limits, {counts[1]} on crashes")
    logs = [
        (scene.list_nodes(writer)[0].log, writer, reader)
        for writer, reader in ((older, newer), (newer, older))
    ]
    check_commands(checks, title, SERVICE, logs)


def check_profile(scene, seen):
    """Check that relays of both builds keep what nodes learnt in the store."""
    load = Load(scene.nodes)
    try:
        for relay in scene.nodes[:2]:
            what = f"the profile of {relay.name} ({relay.build.name})"
            wait_until(lambda: read_events(relay, PROFILE_KEPT), WAIT_SECONDS, what)
            seen.append(f"{relay.build.name} wrote it")
    finally:
        load.stop()
    require(scene.has_item("hingesill/profile"), "the store has no profile")


def check_hold(scene, sender, receiver, seen):
    """Check that nodes of one build refuse what endpoints ended under at the other."""
    path = f"/r0/crash-{sender.name}"
    found = scene.hold_back(scene.list_nodes(sender), path)
    nodes = scene.list_nodes(receiver)
    for node in nodes:
        what = f"the hold at {node.name} ({receiver.name})"
        wait_until(lambda: found <= node.list_holds().keys(), WAIT_SECONDS, what)
    sources = sorted({node.list_holds()[name] for node in nodes for name in found})
    require(sources != ["store"], "no node heard of it from others, just the store")
    scene.require_refused(nodes, path)
    scene.wait_stored(found)
    ends = len(scene.crashing.ended_at)
    seen.append(f"{ends} endpoints ended so far, sources {sources}, in the store")


def check_limits(scene, builds, seen):
    """Check that all nodes know limits, and both builds serve within them."""
    time.sleep(BACK_SECONDS)
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
            wait_until(lambda: read_events(node, LIMIT_BEGUN), WAIT_SECONDS, what)
    finally:
        for load in loads:
            load.stop()
        for address in scene.endpoints:
            call(address, "PUT", "/standin/limit", b"")
    for build, load in zip(builds, loads):
        answers = [a for a in load.answers if since <= a[0] < until]
        served = sum(answer[1] == 200 for answer in answers)
        seen.append(f"{build.name} {served} of {len(answers)} requests served")
        require(served, f"{build.name} served nothing within the limits")
    for address in scene.endpoints:
        ran = sum(since <= at < until for _, at in scene.read_record(address))
        require(ran <= ALLOWED, f"{address} got {ran}, {ALLOWED:.0f} are allowed")


def check_stored_data(checks, title, writer, reader, folder):
    """Check that nodes of one build go on with the store and files of the other."""
    title = f"platform, {title}"

    def play(scene):
        play_stored_data(checks, title, scene, reader)

    run_scene(checks, title, folder, [writer] * 4, play)


def play_stored_data(checks, title, scene, reader):
    """Replace the nodes of a scene by those of another build, and compare."""
    path = "/r0/crash"
    found = set()
    with checks.check(f"{title}: configuration, profile and hold are kept") as seen:
        scene.wait_in_force(scene.declare_next())
        check_profile(scene, seen)
        found = scene.hold_back(scene.nodes, path)
        scene.wait_stored(found)
        seen.append(f"{len(found)} fingerprints")
    with checks.check(f"{title}: {reader.name} starts on it") as seen:
        scene.replace(reader)
        seen.append(f"{len(scene.nodes)} planned stops with status 0, all ready")
    with checks.check(f"{title}: all entries of the store can be read") as seen:
        scene.require_understood()
        seen.append("as the metrics of all nodes show")
    with checks.check(f"{title}: the same configuration is served") as seen:
        statuses = [node.ask(scene.version) for node in scene.nodes]
        require(statuses == [200] * len(statuses), f"statuses {statuses}")
        seen.append(f"r{scene.version}")
    with checks.check(f"{title}: the held request is still refused") as seen:
        require(found, "nothing was held back before")
        scene.require_refused(scene.nodes, path)
        seen.append("by all nodes, and no endpoint ended")
    with checks.check(f"{title}: a further configuration is served") as seen:
        scene.wait_in_force(scene.declare_next())
        seen.append(f"r{scene.version}")
