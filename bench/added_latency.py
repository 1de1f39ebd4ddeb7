"""Latency that a node adds: the same requests sent directly and through a node.

Direct and indirect runs alternate so that both run under the same machine load.
"""

import json
import random
import tempfile
import time
from pathlib import Path

import psutil

from bench.openloop import Sender, compute_quantile, draw_arrivals, run_arrivals
from standins.fleet import Fleet

__all__ = ["run"]

RATES = (100, 300, 600)
NODE_COUNTS = (1, 3)
ROUNDS = 4
ROUND_SECONDS = 1.5
SERVICES = 1
REQUESTS = [("GET", "/boards/7", 8), ("POST", "/moves", 2)]
SATURATION_SECONDS = 3.0
SATURATION_CALLERS = 12


def write_declaration(fleet):
    """Write the declaration of a service with all endpoints; return the file."""
    lines = ["service: arena", "endpoints:"]
    lines += [f"- {{address: '{e}', data_centre: lsn-a}}" for e in fleet.endpoints]
    lines += ["routes:", "- {method: GET, path: /boards, repeat: repeatable}"]
    lines += ["- {method: POST, path: /moves}"]
    file = fleet.folder / "arena.yaml"
    file.write_text("\n".join(lines) + "\n")
    return file


def measure_pair(fleet, nodes, rate, rng):
    """Return direct and indirect latencies in ms, measured alternately."""
    times = {"direct": [], "indirect": []}
    targets = {"direct": fleet.endpoints, "indirect": [n.address for n in nodes]}
    senders = {kind: Sender() for kind in targets}
    for number in range(ROUNDS):
        for kind, addresses in targets.items():
            arrivals = draw_arrivals(rng, rate, ROUND_SECONDS, addresses, REQUESTS)
            samples = run_arrivals(arrivals, senders[kind])
            if number:
                times[kind] += [s.seconds * 1000 for s in samples if s.status == 200]
    for sender in senders.values():
        sender.close()
    return times


def measure_saturation(node):
    """Return a node's calls per CPU second and calls per second in a closed loop."""
    import eventlet

    process = psutil.Process(node.process.pid)
    sender = Sender()
    done = [0]
    end = time.monotonic() + SATURATION_SECONDS

    def call_repeatedly():
        from bench.openloop import Arrival

        arrival = Arrival(0.0, node.address, "GET", "/boards/7")
        while time.monotonic() < end:
            sender.open += 1
            sender.send(arrival, time.monotonic())
            done[0] += 1

    before = process.cpu_times()
    threads = [eventlet.spawn(call_repeatedly) for _ in range(SATURATION_CALLERS)]
    for thread in threads:
        thread.wait()
    after = process.cpu_times()
    cpu_seconds = after.user + after.system - before.user - before.system
    return done[0] / cpu_seconds, done[0] / SATURATION_SECONDS


def summarise(times):
    """Return the median and 99th percentile of direct and added latency."""
    direct, indirect = times["direct"], times["indirect"]
    result = {}
    for share in (0.5, 0.99):
        name = f"p{int(share * 100)}_ms"
        base = compute_quantile(direct, share)
        result[f"direct_{name}"] = round(base, 3)
        result[f"added_{name}"] = round(compute_quantile(indirect, share) - base, 3)
    return result


def run():
    """Run the benchmark and print the summary as JSON."""
    rng = random.Random(1)
    rows = []
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_platform()
        fleet.start_endpoints(4, 0.0, per_process=1)
        nodes = [fleet.start_node(f"n{i}") for i in range(max(NODE_COUNTS))]
        fleet.run_cli(nodes[0], "apply", "-f", write_declaration(fleet))
        fleet.run_cli(nodes[0], "status", "--wait=10")
        for count in NODE_COUNTS:
            for rate in RATES:
                row = summarise(measure_pair(fleet, nodes[:count], rate, rng))
                row = {"nodes": count, "rate": rate, **row}
                rows.append(row)
                print(row, flush=True)
        per_core, throughput = measure_saturation(nodes[0])
    first = rows[0]
    summary = {key: value for key, value in first.items() if key.endswith("_ms")}
    summary["calls_per_second_per_core"] = round(per_core)
    summary["calls_per_second_closed_loop"] = round(throughput)
    summary["rows"] = rows
    print(json.dumps(summary))
