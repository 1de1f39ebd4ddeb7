"""Two outages of the store in a row: do tenants get more than their quota?

A trial of an entry (issue 51), not a case; see REPORT.md.
"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parents[1] / "standins"))

from scene import TROUBLE, Client, Scene, now, run_case  # noqa: E402

SEED = 61
NODES = 6
TENANTS = 3
RATE_PER_S, BURST = 60.0, 20.0
# The bound of QUOTA: quota_window_s = 5, quota_overshoot = 0.1, quota_slack = 20.
WINDOW_SECONDS = 5.0
BOUND = (RATE_PER_S * WINDOW_SECONDS + BURST) * 1.1 + 20
# Each tenant asks twice its rate, evenly over the nodes.
CLIENTS = 4 * NODES
WARM_SECONDS = 10.0
# As `platform_down` with how = "busy lapse", for_s = 4.5, then `platform_down` with
# how = "nodes reset", share = 0.35, for_s = 9.0.
OUTAGE_SECONDS = 4.5
CUT_NODES = 2
CUT_SECONDS = 9.0
AFTER_SECONDS = 8.0
ROUTES = {
    "move": {
        "host": "a.example",
        "path_prefix": "/move/",
        "kind": "unsafe",
        "service": "ledger",
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
    },
}


async def act(client, node, rng, results, until):
    """Send moves to one node until a time."""
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    while now() < until:
        if client.writer is None:
            await client.connect(node)
        path = "/move/20-100"
        results.append(await client.request("POST", path, "unsafe", 2000, b"m"))
        await asyncio.sleep(rng.expovariate(2 * RATE_PER_S / CLIENTS))


async def disturb(scene, rng):
    """Play the two outages."""
    await asyncio.sleep(WARM_SECONDS)
    await asyncio.to_thread(scene.set_store, "down=1&lapse=1")
    await asyncio.sleep(OUTAGE_SECONDS)
    scene.cut_from_store(rng.sample(range(NODES), CUT_NODES))
    await asyncio.to_thread(scene.set_store, "down=0")
    await asyncio.sleep(CUT_SECONDS)
    scene.cut_from_store([])


async def play(scene):
    """Run the traffic and the outages; return the results by tenant."""
    rng = random.Random(SEED)
    until = now() + WARM_SECONDS + OUTAGE_SECONDS + CUT_SECONDS + AFTER_SECONDS
    results = {name: [] for name in scene.tenants}
    tasks = []
    for name in scene.tenants:
        headers = f"Authorization: Bearer key-{name}\r\n"
        for number in range(CLIENTS):
            client = Client(scene, len(tasks), headers=headers)
            node = scene.nodes[number % NODES]
            task = act(client, node, rng, results[name], until)
            tasks.append(asyncio.ensure_future(task))
    if TROUBLE:
        await disturb(scene, rng)
    await asyncio.gather(*tasks)
    return results


def count_most(times):
    """Return the most arrivals in any window."""
    times = sorted(times)
    most = first = 0
    for index, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        most = max(most, index - first + 1)
    return most


def main():
    """Play the trial; return the exit code."""
    tenants = {
        f"tenant{number}": {
            "api_keys": [f"key-tenant{number}"],
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
        for number in range(TENANTS)
    }
    scene = Scene(FOLDER, {"ledger": 16}, NODES, ROUTES, tenants=tenants)
    try:
        results = asyncio.run(play(scene))
        runs = scene.read_runs()
        most = {
            name: count_most(
                note[0]
                for result in own
                for note in runs.get(result.attempt, [])
                if note[2] == "start"
            )
            for name, own in results.items()
        }
        print(f"most runs in {WINDOW_SECONDS:g} s: {most}; the bound is {BOUND:g}")
        scene.write_record([result for own in results.values() for result in own])
        if min(most.values()) < 0.9 * RATE_PER_S * WINDOW_SECONDS:
            return 2
        return 1 if max(most.values()) > BOUND else 0
    finally:
        scene.close()


if __name__ == "__main__":
    run_case(main)
