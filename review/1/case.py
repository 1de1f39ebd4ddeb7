"""Connections are reset while clients send: does a backend run a part of a request?"""

import asyncio
import hashlib
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from link import Link  # noqa: E402
from scene import TROUBLE, Client, Scene, now, run_case  # noqa: E402

SEED = 61
CLIENTS = 150
# Seconds between an answer and the client's next request.
RESTS = (0.5, 1.5)
SECONDS = 30.0
# Connections of one node of three are reset, and of these this share, as in
# `reset_conns` of the site file: share = 0.35, x = 0.55.
RESET_SHARE = 0.55
RESET_EVERY_SECONDS = 2.0
# A cookie makes the head longer than one segment; max_header_bytes is 16384.
COOKIE_BYTES = 4000
BODY_BYTES = 1200
BUDGET_MS = 2500
HEADERS = (
    "User-Agent: mobile\r\nAccept: */*\r\n"
    f"Cookie: session={'c' * COOKIE_BYTES}\r\n"
    "Content-Type: application/json\r\n"
)
ROUTES = {
    "move": {
        "host": "a.example",
        "path_prefix": "/move/",
        "kind": "unsafe",
        "service": "ledger",
        "timeout_ms": 2500,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
    },
}


async def act(client, rng, sent, results, until):
    """Send moves on a kept connection until a time."""
    await asyncio.sleep(rng.uniform(0.0, RESTS[1]))
    while now() < until:
        body = rng.randbytes(BODY_BYTES // 2).hex().encode()
        path = f"/move/{rng.randint(100, 140)}-400"
        attempt = f"{client.number:04d}{client.count + 1:04d}"
        sent[attempt] = describe("POST", path, body)
        result = await client.request("POST", path, "unsafe", BUDGET_MS, body)
        results.append(result)
        await asyncio.sleep(rng.uniform(*RESTS))


def describe(method, path, body):
    """Return what a backend notes of a request that reaches it whole."""
    digest = hashlib.sha256(body).hexdigest()[:16]
    return f"{method} {path} {len(body)} {digest}"


async def reset_links(scene, links, rng, until):
    """Reset connections of one node at a time, as an unsteady network does."""
    while now() + RESET_EVERY_SECONDS < until:
        await asyncio.sleep(RESET_EVERY_SECONDS)
        node = rng.choice(scene.nodes)
        count = links[node.name].reset(RESET_SHARE, rng)
        scene.note(f"{count} connections to {node.name} were reset")


async def play(scene):
    """Run the traffic and the resets; return what was sent and the results."""
    rng = random.Random(SEED)
    sent, results = {}, []
    links = {node.name: Link(node.front) for node in scene.nodes}
    for link in links.values():
        await link.start()
    addresses = {name: link.address for name, link in links.items()}
    balancer = asyncio.ensure_future(scene.balance())
    until = now() + SECONDS
    clients = [
        Client(scene, number, headers=HEADERS, links=addresses)
        for number in range(CLIENTS)
    ]
    tasks = [asyncio.ensure_future(act(c, rng, sent, results, until)) for c in clients]
    if TROUBLE:
        await reset_links(scene, links, rng, until)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    balancer.cancel()
    return sent, results


def list_changed(scene, sent):
    """Yield a text for each run of a request that its client did not send so."""
    for attempt, notes in scene.read_runs().items():
        for _, instance, what, received in notes:
            if what == "start" and received != sent.get(attempt):
                yield (
                    f"{instance} ran {attempt} as '{received}',"
                    f" sent as '{sent.get(attempt)}'"
                )


def main():
    """Play the case; return the exit code."""
    scene = Scene(FOLDER, {"ledger": 8}, 3, ROUTES)
    try:
        sent, results = asyncio.run(play(scene))
        changed = list(list_changed(scene, sent))
        for text in changed:
            scene.note(f"UNASKED {text}")
        answered = sum(result.status == 200 for result in results)
        print(f"{len(results)} requests, {answered} answered with 200")
        print(f"{len(changed)} runs of a request that nobody sent")
        for text in changed[:5]:
            print(text)
        scene.write_record(results)
        is_served = answered >= 0.5 * len(results) and len(results) > CLIENTS
        return 1 if changed else 0 if is_served else 2
    finally:
        scene.close()


if __name__ == "__main__":
    run_case(main)
