"""Answers of backends are lost by resets while requests look for a second backend."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.backend import Backend  # noqa: E402
from kit3.http import build_answer  # noqa: E402
from kit3.scene import call, main, new_attempt  # noqa: E402

# Whether the script brings its disruption about.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BACKENDS = 10
SLOTS = 3
# Share of the backends, share of their answers, and length: below the largest dose of
# `answer_lost` with `how = "reset"` in the site file.
SHARE, LOST, LOST_SECONDS = 0.6, 0.15, 4.0
LOST_AT = tuple(range(8, 98, 5))
LOAD_SECONDS = 100.0
PER_SECOND = 130.0
# Work of most requests, and of the share that has more to read.
WORK_SECONDS, LONG_WORK_SECONDS, LONG_SHARE = 0.1, 0.3, 0.4
NODES = 3
TIMEOUT_MS = 2000
DEADLINE_MS = 4000
# "0.5 s after that point"
SLACK_SECONDS = 0.5
SEAL = ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
BODY = b"b" * 400
# Share of the answers that a backend loses.
LOSSES = {}


async def work(backend, head, body, writer):
    """Run a request and send its answer, or lose it by a reset."""
    is_long = random.random() < LONG_SHARE
    await asyncio.sleep(LONG_WORK_SECONDS if is_long else WORK_SECONDS)
    attempt = head.get("x-attempt-id")
    if random.random() < LOSSES.get(backend, 0.0):
        backend.record("lost", backend.identity, attempt)
        writer.transport.abort()
        raise ConnectionResetError
    load = f"{backend.running - 1},{backend.waiting},{backend.slots}"
    fields = [("X-Attempt-Id", attempt), SEAL, ("X-Server-Load", load)]
    writer.write(build_answer(200, "OK", fields, BODY))


async def trouble(scene, backends):
    """Let backends lose answers, several times."""
    began = time.monotonic()
    for at in LOST_AT:
        await asyncio.sleep(began + at - time.monotonic())
        chosen = random.sample(backends, round(SHARE * BACKENDS))
        scene.record("answers are lost at", *(b.identity for b in chosen))
        for backend in chosen:
            LOSSES[backend] = LOST
        await asyncio.sleep(LOST_SECONDS)
        LOSSES.clear()
        scene.record("no more answers are lost")


async def request(scene, results):
    """Send one request; the client leaves at its own deadline."""
    attempt = new_attempt()
    node = random.choice(scene.nodes)
    scene.record("sent", attempt, "to", node.name)
    headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": DEADLINE_MS}
    seconds = DEADLINE_MS / 1000
    answer = await call(
        node.front, "GET", f"/rating/{attempt}", headers, seconds=seconds
    )
    scene.record("end", attempt, answer.status, answer.error, f"{answer.seconds:.3f}")
    results.append(answer)


async def run(scene):
    """Return whether the rule was broken."""
    route = {
        "host": "a.example",
        "path_prefix": "/rating/",
        "service": "records",
        "kind": "safe",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 400,
        "priority": 2,
        "max_attempts": 2,
    }
    service = {"health_path": "/health", "max_connections": 260}
    backends = [
        Backend(scene.store, "records", f"z{1 + n % 2}", work, scene.record, SLOTS)
        for n in range(BACKENDS)
    ]
    for backend in backends:
        await backend.start()
    scene.declare(1, {"rating": route}, {"records": service})
    await scene.start(NODES)
    results, tasks = [], []
    if HAS_TROUBLE:
        tasks.append(asyncio.create_task(trouble(scene, backends)))
    began = time.monotonic()
    while time.monotonic() - began < LOAD_SECONDS:
        tasks.append(asyncio.create_task(request(scene, results)))
        await asyncio.sleep(random.expovariate(PER_SECOND))
    await asyncio.gather(*tasks)
    timeout = TIMEOUT_MS / 1000
    beyond = [answer for answer in results if answer.seconds > timeout]
    hung = [answer for answer in beyond if answer.seconds > timeout + SLACK_SECONDS]
    never = [answer for answer in hung if answer.error == "none in time"]
    served = sum(answer.status == 200 for answer in results)
    scene.record.say(
        f"{len(results)} requests, {served} served; {len(beyond)} ran beyond"
        f" {TIMEOUT_MS} ms, {len(hung)} had no final answer 0.5 s later,"
        f" {len(never)} none until the client left after {DEADLINE_MS} ms"
    )
    return len(hung) >= 8 and 4 * len(hung) > len(beyond)


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent, HAS_TROUBLE)
