"""Backends send some answers twice: does a refusal of a move stay true?"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from scene import TROUBLE, Client, Scene, now, run_case  # noqa: E402

SEED = 61
NODES = 4
# Tiny services: one backend each, which reports no load and queues four requests.
SERVICES = 10
BACKENDS = 1
QUEUE = 4
# As `garble` with how = "extra late": share = 0.6 of the backends, x = 0.03 of their
# answers, for_s = 5.0, again and again with a pause between.
GARBLED_SERVICES = 6
SURPLUS_SHARE = 0.03
SURPLUS_SECONDS = 5.0
PAUSE_SECONDS = 1.0
CLIENTS = 40
REST_SECONDS = 0.7
SECONDS = 92.0
WORK_MS = (60, 120)
BUDGET_MS = 2500
PROMISES = (408, 421, 429, 503)


def build_route(number):
    """Return the route of a service."""
    return {
        "host": "a.example",
        "path_prefix": f"/move{number}/",
        "kind": "unsafe",
        "service": f"ledger{number}",
        "timeout_ms": 2500,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
    }


async def act(client, rng, results, until):
    """Send moves to one service on a kept connection until a time."""
    service = client.number % SERVICES
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    while now() < until:
        path = f"/move{service}/{rng.randint(*WORK_MS)}-400"
        result = await client.request("POST", path, "unsafe", BUDGET_MS, b"m" * 200)
        results.append(result)
        await asyncio.sleep(rng.expovariate(1 / REST_SECONDS))


async def play(scene):
    """Run the traffic; return the results."""
    rng = random.Random(SEED)
    results = []
    until = now() + SECONDS
    balancer = asyncio.ensure_future(scene.balance())
    clients = [Client(scene, number) for number in range(CLIENTS * SERVICES)]
    await asyncio.gather(*(act(c, rng, results, until) for c in clients))
    await asyncio.sleep(2.0)
    balancer.cancel()
    return results


def main():
    """Play the case; return the exit code."""
    services = {f"ledger{number}": BACKENDS for number in range(SERVICES)}
    routes = {f"move{number}": build_route(number) for number in range(SERVICES)}
    options = {"queue": QUEUE, "reports_load": False}
    surplus = {
        "surplus": SURPLUS_SHARE if TROUBLE else 0.0,
        "surplus_seconds": SURPLUS_SECONDS,
        "pause_seconds": PAUSE_SECONDS,
    }
    garbled = list(services)[:GARBLED_SERVICES]
    special = {f"i-{service}-0": surplus for service in garbled}
    scene = Scene(FOLDER, services, NODES, routes, options=options, special=special)
    try:
        results = asyncio.run(play(scene))
        runs = scene.read_runs()
        broken = [
            result
            for result in results
            if result.status in PROMISES
            and any(note[2] == "start" for note in runs.get(result.attempt, []))
        ]
        answered = sum(result.status == 200 for result in results)
        refused = sum(result.status in PROMISES for result in results)
        print(f"{len(results)} moves, {answered} answered with 200, {refused} refused")
        print(f"{len(broken)} moves were refused as not run, and have run")
        for result in broken:
            scene.note(f"REFUSED {result.attempt}")
            notes = [
                f"{at:.3f} {instance} {what}"
                for at, instance, what, _ in runs[result.attempt]
            ]
            print(f"sent {result.sent:.3f} {result.describe()}; {'; '.join(notes)}")
        scene.write_record(results)
        is_served = answered >= 0.5 * len(results) and len(results) > CLIENTS
        return 1 if broken else 0 if is_served else 2
    finally:
        scene.close()


if __name__ == "__main__":
    run_case(main)
