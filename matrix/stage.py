"""Stage of the request matrix: two nodes with three endpoints under load."""

import threading
import time
from collections import Counter

import yaml

from demo.load import Caller
from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.client import CallFailed, Client
from matrix.evidence import DrainRecord, Evidence
from standins.fleet import wait_until

__all__ = ["Stage"]

SERVICE_MS = 8.0
LIMIT_SECONDS = 0.6
CALLERS = 5
REQUESTS = [("GET", "/arena/boards/7", True), ("POST", "/arena/games", False)]
WARM_UP_SECONDS = 0.25
DRAIN_DELAY_SECONDS = 1.5
PROBES = {"per_second": 2.0, "window_s": 10.0, "capacity_share": 0.5}
PROBES_ALLOWED = 20
STOP_SECONDS = 20.0


class Stage:
    """Nodes, endpoints and callers, reused by consecutive scenarios.

    Parameters
    ----------
    fleet : Fleet
        Starts the processes.
    mutation : str
        Mutation of the nodes' code that shows that a checker can fail.
    """

    def __init__(self, fleet, mutation=""):
        self.fleet = fleet
        self.mutation = mutation
        self.number = 0
        self.evidence = Evidence()
        self.lock = threading.Lock()
        fleet.start_platform()
        self.endpoints = fleet.start_endpoints(3, SERVICE_MS, per_process=1)
        self.first = self.start_node()
        self.second = self.start_node()
        self.usable = [self.first.address, self.second.address]
        self.apply()

    def start_node(self):
        """Start another node."""
        self.number += 1
        return self.fleet.start_node(
            f"m{self.number}",
            mutation=self.mutation,
            can_cut=True,
            balancer_lag_s=0.3,
        )

    def apply(self):
        """Apply the stage's declaration and wait until it is in force."""
        routes = [
            {"method": "GET", "path": "/arena/boards", "repeat": "repeatable"},
            {"method": "POST", "path": "/arena/games"},
        ]
        content = {
            "service": "arena",
            "endpoints": [
                {"address": address, "data_centre": "lsn-a"}
                for address in self.endpoints
            ],
            "routes": [{**r, "timeout_ms": int(LIMIT_SECONDS * 1000)} for r in routes],
            "probes": PROBES,
        }
        file = self.fleet.folder / "stage.yaml"
        file.write_text(yaml.safe_dump(content))
        applied = self.fleet.run_cli(self.first, "apply", "-f", file)
        if applied.returncode:
            raise RuntimeError(applied.stdout + applied.stderr)
        waited = self.fleet.run_cli(self.first, "status", "--wait=10")
        if waited.returncode:
            raise RuntimeError(waited.stdout + waited.stderr)

    def run(self, fault, step):
        """Run one scenario and return its evidence."""
        self.evidence = Evidence(
            probe_budget=PROBES_ALLOWED,
            probe_window=PROBES["window_s"],
            cuts_expected=fault.cuts,
        )
        callers = [
            Caller(lambda: list(self.usable), REQUESTS, 0.002, LIMIT_SECONDS)
            for _ in range(CALLERS)
        ]
        before = self.read_runs()
        try:
            step(self, fault, callers)
        finally:
            for caller in callers:
                caller.stop()
            fault.end(self)
        self.collect(callers, before)
        self.restore()
        return self.evidence

    def read_runs(self):
        """Return the number of executions so far per request id."""
        ran = Counter()
        for endpoint in self.endpoints:
            ran.update(self.fleet.read_record(endpoint)["ran"])
        return ran

    def collect(self, callers, before):
        """Wait until the endpoints are idle and collect the records."""

        def is_idle():
            return not any(self.fleet.read_record(e)["running"] for e in self.endpoints)

        wait_until(is_idle, 40.0, "idle endpoints")
        self.evidence.calls += [call for caller in callers for call in caller.calls]
        self.evidence.ran = self.read_runs() - before
        for endpoint in self.endpoints:
            times = self.fleet.read_record(endpoint)["probe_times"]
            self.evidence.probe_times += times

    def restore(self):
        """Restore two running nodes and endpoints without faults."""
        for endpoint in self.endpoints:
            self.fleet.set_faults(endpoint, service_ms=SERVICE_MS)
        self.fleet.set_store_faults()
        for name in ("first", "second"):
            node = getattr(self, name)
            if node.process.poll() is not None:
                self.fleet.forget(node)
                setattr(self, name, self.start_node())
        self.usable[:] = [self.first.address, self.second.address]
        for node in (self.first, self.second):
            self.fleet.wait_ready(node)

    def set_all(self, **faults):
        """Set faults on every endpoint."""
        for endpoint in self.endpoints:
            self.fleet.set_faults(endpoint, **{"service_ms": SERVICE_MS, **faults})

    def set_one(self, **faults):
        """Set faults on the first endpoint."""
        faults = {"service_ms": SERVICE_MS, **faults}
        self.fleet.set_faults(self.endpoints[0], **faults)

    def stop_node(self):
        """Shut the second node down gracefully if it is running."""
        if self.second.process.poll() is not None:
            return
        self.second.process.terminate()
        wait_until(
            lambda: not self.second.is_ready(),
            5.0,
            "the node's not-ready status",
        )
        if self.second.address in self.usable:
            self.usable.remove(self.second.address)
        self.evidence.stopped = self.second.process.wait(STOP_SECONDS)

    def drain_endpoint(self):
        """Drain the last endpoint through the operators' API."""
        endpoint = self.endpoints[-1]
        request = pb.DrainRequest(service="arena", endpoint=endpoint)
        for node in (self.first, self.second):
            reply = Client(node.control).call("Drain", request, 3.0)
            if not isinstance(reply, CallFailed):
                break
        time.sleep(DRAIN_DELAY_SECONDS)
        before = sum(self.fleet.read_record(endpoint)["ran"].values())
        time.sleep(0.6)
        after = sum(self.fleet.read_record(endpoint)["ran"].values())
        self.evidence.drain = DrainRecord(endpoint, before, after)
        request.cancel = True
        for node in (self.first, self.second):
            Client(node.control).call("Drain", request, 3.0)
