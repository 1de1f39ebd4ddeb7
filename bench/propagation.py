"""Time from acceptance of a change to its use at every node, also under faults."""

import json
import signal
import sys
import tempfile
import time
from pathlib import Path

import psutil

from bench.declarations import build_document, change_services
from bench.nodelog import read_in_force
from bench.openloop import compute_quantile
from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.client import CallFailed, Client
from standins.fleet import Fleet, wait_until

__all__ = ["run"]

SIZES = ((18, 4), (120, 8))
QUIET_CHANGES = 20
PAUSE_SECONDS = 0.25
FAULT_CHANGES = 8
SUSPEND_SECONDS = 6.0
OUTAGE_SECONDS = 8.0
START_BATCH_SIZE = 12
SETTLE_SECONDS = 13.0


class Run:
    """Fleet and the changes made on it.

    Parameters
    ----------
    fleet : Fleet
        Starts the nodes.
    count, centres : int
        Number of nodes and of data centres.
    """

    def __init__(self, fleet, count, centres):
        self.fleet = fleet
        self.versions = {}
        self.logs = {}
        self.timeout_ms = 1000
        self.phases = {}
        fleet.start_platform()
        for start in range(0, count, START_BATCH_SIZE):
            numbers = range(start, min(count, start + START_BATCH_SIZE))
            nodes = [self.start_node(number, centres) for number in numbers]
            for node in nodes:
                fleet.wait_ready(node)
        time.sleep(4.0)  # Time for every node to receive the full node list.

    def start_node(self, number, centres):
        """Start one node."""
        centre = f"dc-{number % centres}"
        node = self.fleet.start_node(f"p{number}", centre, wait=False)
        self.logs[node.name] = node.log
        return node

    def list_running(self):
        """Return the running nodes."""
        return [n for n in self.fleet.nodes.values() if n.process.poll() is None]

    def change(self, node):
        """Make one change and return its revision."""
        self.timeout_ms += 1
        document = build_document(1, 10, self.timeout_ms)
        return change_services(node, [document], self.versions)

    def make_changes(self, phase, count):
        """Make changes at several nodes in turn and record their revisions."""
        running = self.list_running()
        revisions = self.phases.setdefault(phase, ([], []))
        revisions[1][:] = [node.name for node in running]
        for number in range(count):
            node = running[number * 7 % len(running)]
            revisions[0].append(self.change(node))
            time.sleep(PAUSE_SECONDS)

    def find_relay(self):
        """Return a running relay."""
        for node in self.list_running():
            reply = Client(node.control).call("Status", pb.StatusRequest(), 2.0)
            if not isinstance(reply, CallFailed) and reply.self.relay:
                return node
        raise LookupError("no relay")

    def kill_relay(self):
        """Kill a relay, then make changes."""
        relay = self.find_relay()
        relay.process.kill()
        relay.process.wait()
        self.make_changes("relay killed", FAULT_CHANGES)

    def freeze_relay(self):
        """Suspend a relay while changes are made, then resume it."""
        relay = self.find_relay()
        relay.process.send_signal(signal.SIGSTOP)
        running = [n for n in self.list_running() if n.name != relay.name]
        revisions = self.phases.setdefault("relay frozen", ([], []))
        revisions[1][:] = [node.name for node in running]
        end = time.monotonic() + SUSPEND_SECONDS
        while time.monotonic() < end:
            revisions[0].append(self.change(running[len(revisions[0]) % len(running)]))
            time.sleep(PAUSE_SECONDS * 3)
        relay.process.send_signal(signal.SIGCONT)
        wait_until(relay.is_ready, 10.0, "the woken relay")

    def run_store_outage(self):
        """Make the store unavailable for a time; make changes once it is back."""
        self.fleet.set_store_faults(down=True)
        time.sleep(OUTAGE_SECONDS)
        self.fleet.set_store_faults()
        node = self.list_running()[0]
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                self.change(node)
                break
            except RuntimeError:
                time.sleep(0.3)
        self.make_changes("after a store outage", FAULT_CHANGES)

    def slow_store(self):
        """Make changes while each call to the store is slow."""
        self.fleet.set_store_faults(slow_s=0.4)
        self.make_changes("store slow", FAULT_CHANGES)
        self.fleet.set_store_faults()

    def count_bytes(self):
        """Return the bytes exchanged with peers by node."""
        counted = {}
        for node in self.list_running():
            reply = Client(node.control).call("Status", pb.StatusRequest(), 3.0)
            if not isinstance(reply, CallFailed):
                counted[node.name] = reply.self.counters["peer_bytes"]
        return counted


def count_calls(fleet):
    """Return the total number of calls counted by the store."""
    return sum(fleet.count_store_calls().values())


def measure(count, centres):
    """Run all phases at one fleet size and return its row of results."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        run = Run(fleet, count, centres)
        run.change(run.list_running()[0])
        time.sleep(1.0)
        started, calls, sent = time.monotonic(), count_calls(fleet), run.count_bytes()
        run.make_changes("quiet", QUIET_CHANGES)
        seconds = time.monotonic() - started
        calls = (count_calls(fleet) - calls) / seconds
        after = run.count_bytes()
        rates = [(after[name] - sent.get(name, 0)) / seconds for name in after]
        memory = [
            psutil.Process(n.process.pid).memory_info().rss for n in run.list_running()
        ]
        run.kill_relay()
        run.freeze_relay()
        run.run_store_outage()
        run.slow_store()
        time.sleep(SETTLE_SECONDS)
        in_force = read_in_force(run.logs)
    return summarise(run, in_force, count, calls, rates, memory)


def summarise(run, in_force, count, calls, rates, memory):
    """Return the results of one fleet size."""
    phases = {}
    for phase, (revisions, names) in run.phases.items():
        seconds = [s for r in revisions for s in in_force.measure(r, names)]
        last = [max(in_force.measure(r, names)) for r in revisions]
        phases[phase] = {
            "in_force_p50_s": round(compute_quantile(seconds, 0.5), 3),
            "in_force_max_s": round(max(last), 3),
            "changes": len(revisions),
        }
    return {
        "nodes": count,
        "in_force_p50_s": phases["quiet"]["in_force_p50_s"],
        "in_force_max_s": phases["quiet"]["in_force_max_s"],
        "store_calls_per_s": round(calls, 1),
        "bytes_per_s_per_node_max": round(max(rates)),
        "changes_per_s": round(1 / PAUSE_SECONDS, 1),
        "reverts": in_force.reverts,
        "rss_mb_max": round(max(memory) / 1e6),
        "phases": phases,
    }


def run():
    """Run the benchmark and print the summary as JSON."""
    rows = []
    sizes = SIZES[:1] if "quick" in sys.argv else SIZES
    for count, centres in sizes:
        rows.append(measure(count, centres))
        print(rows[-1], flush=True)
    print(json.dumps({**rows[0], "sizes": rows}))
