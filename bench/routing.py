"""Comparison of routing policies on real processes with noisy neighbours.

All policies run alternately on the same nodes and endpoints, with the same arrivals and
noise settings. Arguments: ``zugzwang`` selects that example only, ``quick`` one example
and one load, optionally followed by the variants to run.
"""

import json
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from bench.ideal import compute_ideal
from bench.openloop import compute_quantile
from bench.worker import start_workers
from hingesill_core.configuration.files import load_declarations
from standins.fleet import EXAMPLES, Fleet, wait_until

__all__ = ["run"]

SERVICE_MS = 30.0
SLOTS = 3
DATA_CENTRE = "lsn-a"  # All on one: loopback has no distances.
LOADS = (0.4, 0.6, 0.8)
ROUNDS = 1
ROUND_SECONDS = 6.0
WORKERS = 2
NOISE = {"noise_period_s": 3.0, "noise_length_s": 0.3, "noise_factor": 6.0}
UNLIMITED = 100
NO_EXTRA_SENDS = {"hedge_share": 0.0, "retry_share": 0.0}
VARIANTS = {
    "random": {"policy": "random", "places": UNLIMITED, "sends": NO_EXTRA_SENDS},
    "round_robin": {
        "policy": "round_robin",
        "places": UNLIMITED,
        "sends": NO_EXTRA_SENDS,
    },
    "least_in_flight_of_two": {
        "policy": "least_in_flight_of_two",
        "places": UNLIMITED,
        "sends": NO_EXTRA_SENDS,
    },
    "chosen": {"policy": "expected_wait"},
}


@dataclass(frozen=True)
class Example:
    """Service of an example and the number of nodes in its fleet."""

    name: str
    service: str
    nodes: int
    requests: tuple


ROUTING_EXAMPLES = (
    Example(
        "zugzwang",
        "arena",
        15,
        (("GET", "/arena/boards/7", 8), ("POST", "/arena/games", 2)),
    ),
    Example(
        "harvest-log",
        "plots",
        13,
        (("GET", "/plots/7", 8), ("PUT", "/plots/7", 2)),
    ),
)


@dataclass
class Tally:
    """Results of one variant at one load."""

    seconds: list = field(default_factory=list)
    by_method: dict = field(default_factory=dict)
    requests: int = 0
    failed: int = 0
    reasons: Counter = field(default_factory=Counter)
    sends: int = 0
    probes: int = 0
    busy: float = 0.0

    def summarise(self, capacity_seconds):
        """Return the row of results to print; times in ms."""
        times = {
            name: round(compute_quantile(self.seconds, share) * 1000, 1)
            for name, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999))
        }
        for method, seconds in sorted(self.by_method.items()):
            value = compute_quantile(seconds, 0.99) * 1000
            times[f"p99_{method}"] = round(value, 1)
        return {
            **times,
            "failed": self.failed,
            "reasons": dict(self.reasons),
            "requests": self.requests,
            "sent_per_request": round(self.sends / max(1, self.requests), 3),
            "probes_per_s": round(self.probes / (ROUNDS * ROUND_SECONDS), 2),
            "measuring_share": round(self.probes * 0.006 / capacity_seconds, 5),
        }


def load_example(example):
    """Return the declaration of the example's service as a mapping."""
    declarations, _ = load_declarations(EXAMPLES / example.name)
    for declaration in declarations:
        if declaration.service == example.service:
            return declaration.model_dump(mode="json")
    raise LookupError(example.service)


def apply_variant(fleet, content, variant):
    """Apply a variant and wait until it is in force at every node."""
    node = next(iter(fleet.nodes.values()))
    file = fleet.folder / "service.yaml"
    file.write_text(yaml.safe_dump({**content, **VARIANTS[variant]}))
    applied = fleet.run_cli(node, "apply", "-f", file)
    if applied.returncode:
        raise RuntimeError(applied.stdout + applied.stderr)
    fleet.run_cli(node, "status", "--wait=10")


def read_counts(fleet):
    """Return the number of requests that endpoints ran or refused, and of probes."""
    records = [fleet.read_record(endpoint) for endpoint in fleet.endpoints]
    sends = sum(sum(r["ran"].values()) + r["refused"] for r in records)
    return sends, sum(r["probes"] for r in records)


def run_round(fleet, workers, example, load, noise, number, tally):
    """Run one round with the variant that is in force."""
    for endpoint in fleet.endpoints:
        fleet.set_faults(endpoint, service_ms=SERVICE_MS, seed=number, **noise)
    before = read_counts(fleet)
    capacity = len(fleet.endpoints) * SLOTS / (SERVICE_MS / 1000)
    addresses = [node.address for node in fleet.nodes.values()]
    rows = workers.run(
        number, load * capacity, ROUND_SECONDS, addresses, example.requests
    )
    wait_idle(fleet)
    after = read_counts(fleet)
    tally.requests += len(rows)
    tally.failed += sum(row[2] != 200 for row in rows)
    tally.reasons.update(row[4] or str(row[2]) for row in rows if row[2] != 200)
    for row in rows:
        if row[2] == 200:
            tally.by_method.setdefault(row[0], []).append(row[3])
    tally.seconds += [row[3] for row in rows if row[2] == 200]
    tally.sends += after[0] - before[0]
    tally.probes += after[1] - before[1]


def wait_idle(fleet):
    """Wait until all endpoints are idle, so that rounds do not overlap."""

    def is_idle():
        return not any(fleet.read_record(e)["running"] for e in fleet.endpoints)

    wait_until(is_idle, 20.0, "idle endpoints")


def compute_ideal_row(fleet, load, noise):
    """Return the latency quantiles of the ideal queue in ms."""
    capacity = len(fleet.endpoints) * SLOTS / (SERVICE_MS / 1000)
    rng = random.Random(7)
    arrivals = []
    at = 0.0
    while at < ROUNDS * ROUND_SECONDS:
        at += rng.expovariate(load * capacity)
        arrivals.append(at)
    seconds = compute_ideal(
        arrivals, len(fleet.endpoints), SLOTS, SERVICE_MS / 1000, noise
    )
    names = (("p50", 0.5), ("p99", 0.99), ("p999", 0.999))
    return {n: round(compute_quantile(seconds, s) * 1000, 1) for n, s in names}


def run_example(example, loads, variants, results):
    """Run all variants of one example alternately."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        content = load_example(example)
        fleet.start_platform()
        count = len(content["endpoints"])
        addresses = fleet.start_endpoints(count, SERVICE_MS, per_process=2)
        for endpoint, address in zip(content["endpoints"], addresses):
            endpoint["address"] = address
            endpoint["data_centre"] = DATA_CENTRE
        for number in range(example.nodes):
            fleet.start_node(f"n{number}", DATA_CENTRE, wait=False, fleet_limit=18)
        for node in fleet.nodes.values():
            fleet.wait_ready(node)
        with start_workers(WORKERS) as workers:
            for load, noise in loads:
                tallies = {variant: Tally() for variant in variants}
                for number in range(ROUNDS):
                    for variant, tally in tallies.items():
                        apply_variant(fleet, content, variant)
                        run_round(fleet, workers, example, load, noise, number, tally)
                report(fleet, example, load, noise, tallies, results)


def report(fleet, example, load, noise, tallies, results):
    """Print the rows of one load and add them to the results."""
    capacity_seconds = len(fleet.endpoints) * SLOTS * ROUNDS * ROUND_SECONDS
    condition = "noisy" if noise else "quiet"
    rows = {v: t.summarise(capacity_seconds) for v, t in tallies.items()}
    rows["ideal"] = compute_ideal_row(fleet, load, noise)
    for variant, row in rows.items():
        print(example.name, load, condition, variant, row, flush=True)
    key = f"{example.name} {int(load * 100)}% {condition}"
    results[key] = rows


def run():
    """Run the benchmark and print the summary as JSON."""
    results = {}
    loads = [(load, NOISE) for load in LOADS] + [(0.6, {})]
    examples = ROUTING_EXAMPLES
    variants = VARIANTS
    if "zugzwang" in sys.argv:
        examples = ROUTING_EXAMPLES[:1]
    if "quick" in sys.argv:
        loads, examples = [(0.6, NOISE)], ROUTING_EXAMPLES[:1]
        variants = sys.argv[sys.argv.index("quick") + 1 :] or VARIANTS
    for example in examples:
        run_example(example, loads, variants, results)
    print(json.dumps(results))
