"""Probe rate compared with the budget under load peaks, node faults and an outage."""

import json
import random
import signal
import tempfile
import time
from pathlib import Path

import yaml

from bench.worker import start_workers
from hingesill_core.probing.probeshare import PROBE_SHARE_TTL_SECONDS
from standins.fleet import Fleet

__all__ = ["run"]

NODES = 8
ENDPOINTS = 8
PER_SECOND = 3.0
WINDOW = 10.0
SERVICE_MS = 6.0
REQUESTS = (("GET", "/arena/boards/1", 8), ("POST", "/arena/games", 2))
BASE_RATE, PEAK_RATE = 30, 600
BASE_SECONDS, PEAK_SECONDS = 20.0, 12.0


def build_declaration(endpoints):
    """Return the declaration of the service."""
    return {
        "service": "arena",
        "endpoints": [{"address": e, "data_centre": "lsn-a"} for e in endpoints],
        "routes": [
            {"method": "GET", "path": "/arena/boards", "repeat": "repeatable"},
            {"method": "POST", "path": "/arena/games"},
        ],
        "probes": {
            "per_second": PER_SECOND,
            "window_s": WINDOW,
            "capacity_share": 0.1,
        },
    }


def read_probe_times(fleet):
    """Return the sorted times of all probes."""
    times = [
        at
        for endpoint in fleet.endpoints
        for at in fleet.read_record(endpoint)["probe_times"]
    ]
    return sorted(times)


def find_largest_window(times):
    """Return the maximum number of probes in any window."""
    return max(
        (sum(at < start + WINDOW for at in times[i:]) for i, start in enumerate(times)),
        default=0,
    )


def replace_node(fleet, victim, number):
    """Kill a node and start another."""
    victim.process.kill()
    victim.process.wait()
    fleet.forget(victim)
    fleet.start_node(f"q{number}")


def run_phases(fleet, workers, rng, phases):
    """Run all phases and record the start time of each."""

    def load(rate, seconds):
        addresses = [
            n.address for n in fleet.nodes.values() if n.process.poll() is None
        ]
        return workers.run(rng.random(), rate, seconds, addresses, REQUESTS)

    phases["calm"] = time.monotonic()
    load(BASE_RATE, BASE_SECONDS)
    phases["rush"] = time.monotonic()
    load(PEAK_RATE, PEAK_SECONDS)
    phases["replacements"] = time.monotonic()
    for number in range(6):
        victims = [n for n in fleet.nodes.values() if n.process.poll() is None]
        replace_node(fleet, rng.choice(victims), number)
        load(BASE_RATE, 3.0)
    phases["frozen holders"] = time.monotonic()
    frozen = list(fleet.nodes.values())[: NODES // 2]
    for node in frozen:
        node.process.send_signal(signal.SIGSTOP)
    for node in frozen:
        fleet.nodes.pop(node.name)
    load(BASE_RATE, PROBE_SHARE_TTL_SECONDS + 6.0)
    for node in frozen:
        node.process.send_signal(signal.SIGCONT)
        fleet.nodes[node.name] = node
    load(BASE_RATE, 8.0)
    phases["store outage"] = time.monotonic()
    fleet.set_store_faults(down=True)
    load(BASE_RATE, PROBE_SHARE_TTL_SECONDS + 8.0)
    fleet.set_store_faults()
    phases["store back"] = time.monotonic()
    load(BASE_RATE, 14.0)
    phases["end"] = time.monotonic()


def run():
    """Run the benchmark and print the summary as JSON."""
    rng = random.Random(3)
    phases = {}
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_platform()
        fleet.start_endpoints(ENDPOINTS, SERVICE_MS)
        nodes = [fleet.start_node(f"n{number}") for number in range(NODES)]
        file = Path(folder) / "arena.yaml"
        file.write_text(yaml.safe_dump(build_declaration(fleet.endpoints)))
        fleet.run_cli(nodes[0], "apply", "-f", file)
        with start_workers(1) as workers:
            run_phases(fleet, workers, rng, phases)
        times = read_probe_times(fleet)
    report(times, phases)


def report(times, phases):
    """Print the rows of all phases and the summary as JSON."""
    starts = list(phases.items())
    rows = {}
    for (name, start), (_, end) in zip(starts, starts[1:]):
        within = [at for at in times if start <= at < end]
        rows[name] = {
            "probes": len(within),
            "probes_per_s": round(len(within) / (end - start), 2),
            "largest_window": find_largest_window(within),
        }
        print(name, rows[name])
    largest = find_largest_window(times)
    summary = {
        "budget_a_window": PER_SECOND * WINDOW,
        "largest_window": largest,
        "over_budget": largest > PER_SECOND * WINDOW,
        "phases": rows,
    }
    print(json.dumps(summary))
