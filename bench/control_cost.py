"""Control plane cost of a node: memory, CPU time and bytes, extrapolated linearly.

The target size, 30,000 endpoints in 1,400 services, is declared on real processes in
steps. Changes are made much faster than the target of 60,000 per day, and the cost per
change is scaled to the target rate.
"""

import json
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from bench.declarations import build_document, change_services
from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.client import Client
from standins.fleet import Fleet, wait_until

__all__ = ["run"]

SERVICES = 1400
ENDPOINTS = 30_000
STEPS = (0, 350, 700, 1400)
BATCH = 175
CHANGES_PER_DAY = 60_000
DAY_SECONDS = 86_400
CHANGE_RATE = 10.0
CHANGE_SECONDS = 10.0
IDLE_SECONDS = 10.0
FOLLOWERS = 8
BESIDE_SERVICES = 10


@dataclass(frozen=True)
class Cost:
    """Cumulative resource use of a process."""

    cpu_seconds: float
    peer_bytes: int
    store_calls: int


class Meter:
    """Meter of the resource use of one node's process."""

    def __init__(self, node):
        self.node = node
        self.process = psutil.Process(node.process.pid)

    def read(self):
        """Return the cumulative cost so far."""
        times = self.process.cpu_times()
        reply = Client(self.node.control).call("Status", pb.StatusRequest(), 5.0)
        counters = reply.self.counters
        calls = sum(v for k, v in counters.items() if k.startswith("store_calls"))
        return Cost(times.user + times.system, counters["peer_bytes"], calls)

    def read_mb(self):
        """Return the resident memory in MB."""
        return round(self.process.memory_info().rss / 1e6, 1)


def subtract(after, before, seconds):
    """Return the rates between two costs: percent of a core, bytes/s, calls/s."""
    return {
        "cpu_percent": round(
            100 * (after.cpu_seconds - before.cpu_seconds) / seconds, 2
        ),
        "bytes_per_s": round((after.peer_bytes - before.peer_bytes) / seconds),
        "store_calls_per_s": round(
            (after.store_calls - before.store_calls) / seconds, 2
        ),
    }


def measure_rates(meters, seconds, work):
    """Return the rates of all meters while the work runs."""
    before = {name: meter.read() for name, meter in meters.items()}
    started = time.monotonic()
    work(seconds)
    elapsed = time.monotonic() - started
    after = {name: meter.read() for name, meter in meters.items()}
    return {name: subtract(after[name], before[name], elapsed) for name in meters}


def declare_services(node, versions, start, end):
    """Declare the services with numbers from start to end."""
    for first in range(start, end, BATCH):
        numbers = range(first, min(end, first + BATCH))
        documents = [
            build_document(n, ENDPOINTS // SERVICES + (n % 7 < 3)) for n in numbers
        ]
        change_services(node, documents, versions)


def use_all_services(node):
    """Make a node create its routing state for every service."""
    client = Client(node.control)
    for number in range(SERVICES):
        path = f"/service-{number}/reads"
        client.call("Explain", pb.ExplainRequest(method="GET", path=path), 5.0)


def name_meters(accepting, others, beside):
    """Return the meters of all nodes, named by role."""
    meters = {"accepting": Meter(accepting), "beside": Meter(beside)}
    for node in others:
        reply = Client(node.control).call("Status", pb.StatusRequest(), 5.0)
        role = "relay" if reply.self.relay else "follower"
        meters[f"{role} {node.name}"] = Meter(node)
    return meters


def make_changes(node, versions):
    """Return a function that makes changes at the benchmark's rate."""

    def work(seconds):
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            started = time.monotonic()
            number += 1
            document = build_document(number % SERVICES, 21, 2000 + number)
            change_services(node, [document], versions)
            time.sleep(max(0, 1 / CHANGE_RATE - (time.monotonic() - started)))

    return work


def extrapolate(idle, busy, rate):
    """Return the cost at the target rate: idle cost plus cost per change times rate."""
    daily = CHANGES_PER_DAY / DAY_SECONDS
    result = {}
    for key in ("cpu_percent", "bytes_per_s"):
        slope = (busy[key] - idle[key]) / rate
        result[key] = round(idle[key] + slope * daily, 2)
        result[f"{key}_a_change"] = round(slope, 3)
    return result


def run():
    """Run the benchmark and print the summary as JSON."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_platform()
        entries = [fleet.start_node(f"e{i}") for i in range(2)]
        followers = [fleet.start_node(f"f{i}") for i in range(FOLLOWERS)]
        names = ",".join(f"service-{number}" for number in range(BESIDE_SERVICES))
        beside = fleet.start_node("beside", services=names)
        entry = Meter(entries[0])
        memory = {}
        versions = {}
        done = 0
        for step in STEPS:
            declare_services(entries[0], versions, done, step)
            done = step
            time.sleep(2.0)
            memory[step] = {
                "entry": entry.read_mb(),
                "follower": Meter(followers[-1]).read_mb(),
                "beside": Meter(beside).read_mb(),
            }
            print(step, memory[step], flush=True)
        meters = name_meters(entries[1], [entries[0], *followers], beside)
        idle = measure_rates(meters, IDLE_SECONDS, time.sleep)
        busy = measure_rates(meters, CHANGE_SECONDS, make_changes(entries[1], versions))
        wait_until(lambda: entries[0].is_ready(), 5.0, "readiness")
        at_size = {
            name: extrapolate(idle[name], busy[name], CHANGE_RATE) for name in meters
        }
        for name in meters:
            print(name, "idle", idle[name], "busy", busy[name], "size", at_size[name])
        use_all_services(entries[0])
        used = entry.read_mb()
    report(memory, used, at_size)


def find_maximum(at_size, role, key):
    """Return the maximum of a value over the nodes of a role."""
    return max(row[key] for name, row in at_size.items() if name.startswith(role))


def report(memory, used, at_size):
    """Print the summary as JSON."""
    summary = {
        "rss_mb_idle": memory[0]["entry"],
        "rss_mb_at_30000": memory[SERVICES]["entry"],
        "rss_mb_at_30000_all_in_use": used,
        "rss_mb_beside_endpoint": memory[SERVICES]["beside"],
        "cpu_percent_at_size": find_maximum(at_size, "relay", "cpu_percent"),
        "bytes_per_s_at_size": find_maximum(at_size, "relay", "bytes_per_s"),
        "cpu_percent_follower": find_maximum(at_size, "follower", "cpu_percent"),
        "cpu_percent_accepting_all": at_size["accepting"]["cpu_percent"],
        "cpu_percent_beside_endpoint": at_size["beside"]["cpu_percent"],
        "bytes_per_s_beside_endpoint": at_size["beside"]["bytes_per_s"],
        "memory": memory,
        "at_size": at_size,
    }
    print(json.dumps(summary))
