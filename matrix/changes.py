"""Stage of the configuration matrix: changes of the configuration."""

import time
import uuid
from dataclasses import dataclass, field

import yaml

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.client import CallFailed, Client
from hingesill_core.configuration.files import load_declarations
from hingesill_node.store.consul import ConsulStore
from matrix.evidence import Evidence
from standins.fleet import wait_until

__all__ = ["CENTRES", "ChangeRecord", "ChangeStage", "IN_FORCE_SECONDS"]

IN_FORCE_SECONDS = 11.0
REPEAT_SECONDS = 12.0
CENTRES = ("lsn-a", "lsn-a", "lsn-a", "gva-a")


@dataclass
class ChangeRecord:
    """Configuration change with its outcome.

    Attributes
    ----------
    operation : str
        Id of the operation.
    outcomes : list of int
        Outcomes reported to the operator, in order.
    seconds : float or None
        Time from the last answer until the change was in force everywhere; None if
        it never was.
    went_back : list of str
        Nodes that held an older revision after a newer one.
    appeared : bool
        Whether the change is in force in the end.
    entries : int
        Number of times that the change appears in the change log.
    document : bytes
        Requested declaration.
    expected : int
        Version that the operator expected to replace.
    """

    operation: str
    outcomes: list = field(default_factory=list)
    seconds: float | None = None
    went_back: list = field(default_factory=list)
    appeared: bool = False
    entries: int = 0
    document: bytes = b""
    expected: int = 0

    def list_faults(self):
        """Yield a description of each violation of the promise."""
        for name in self.went_back:
            yield f"{name} went back to an older revision"
        if self.entries > 1:
            yield f"took effect {self.entries} times"
        final = self.outcomes[-1] if self.outcomes else None
        if final == pb.ACCEPTED and not self.appeared:
            yield "accepted, but not in force"
        if final == pb.ACCEPTED and self.seconds is None:
            yield f"not in force everywhere within {IN_FORCE_SECONDS} s"
        if final in (pb.UNAVAILABLE, pb.CONFLICT) and self.appeared:
            yield "refused, but in force"


class ChangeStage:
    """Four nodes in two data centres, one of which has a single node.

    Parameters
    ----------
    fleet : Fleet
        Starts the processes.
    mutation : str
        Mutation of the nodes' code.
    """

    def __init__(self, fleet, mutation=""):
        self.fleet = fleet
        self.mutation = mutation
        self.number = 0
        self.timeout_ms = 1000
        fleet.start_platform()
        self.endpoints = fleet.start_endpoints(2, 2.0)
        self.nodes = [self.start_node(centre) for centre in CENTRES]
        self.evidence = Evidence()
        first = self.change(self.nodes[0])
        self.watch(first)
        if first.seconds is None and not mutation:
            raise RuntimeError("the first configuration is not in force")

    def start_node(self, centre, wait=True):
        """Start another node."""
        self.number += 1
        return self.fleet.start_node(
            f"c{self.number}", centre, wait, self.mutation, balancer_lag_s=0.2
        )

    def write_document(self):
        """Return the next declaration as JSON, with a unique timeout."""
        self.timeout_ms += 1
        content = {
            "service": "arena",
            "endpoints": [
                {"address": address, "data_centre": "lsn-a"}
                for address in self.endpoints
            ],
            "routes": [
                {
                    "method": "GET",
                    "path": "/arena",
                    "repeat": "repeatable",
                    "timeout_ms": self.timeout_ms,
                }
            ],
        }
        file = self.fleet.folder / "change.yaml"
        file.write_text(yaml.safe_dump(content))
        declarations, _ = load_declarations(file)
        return declarations[0].model_dump_json().encode()

    def change(self, node, record=None, document=None, expected=None):
        """Request a change from a node and return its record with the outcome added."""
        record = record or ChangeRecord(uuid.uuid4().hex)
        record.document = document or self.write_document()
        if expected is None:
            expected = self.read_version(node)
        record.expected = expected
        change = pb.Change(
            service="arena", document=record.document, expected_version=expected
        )
        request = pb.ApplyRequest(
            operation_id=record.operation, author="matrix", changes=[change]
        )
        reply = Client(node.control).call("Apply", request, 9.0)
        failed = isinstance(reply, CallFailed)
        record.outcomes.append(pb.UNKNOWN if failed else reply.outcome)
        return record

    def repeat_until_known(self, record):
        """Repeat a change of unknown outcome, by its id, until it is known."""
        deadline = time.monotonic() + REPEAT_SECONDS
        while record.outcomes[-1] == pb.UNKNOWN and time.monotonic() < deadline:
            time.sleep(0.3)
            for node in self.list_running():
                self.change(node, record, record.document, record.expected)
                if record.outcomes[-1] != pb.UNKNOWN:
                    break

    def list_running(self):
        """Return the nodes whose process runs."""
        return [node for node in self.nodes if node.process.poll() is None]

    def read_version(self, node):
        """Return the version of the service that a node holds."""
        reply = Client(node.control).call("Get", pb.GetRequest(), 2.0)
        if isinstance(reply, CallFailed) or not reply.documents:
            return 0
        return reply.documents[0].version

    def read_held(self, node):
        """Return the revision and document that a node holds, or None."""
        reply = Client(node.control).call("Get", pb.GetRequest(), 2.0)
        if isinstance(reply, CallFailed):
            return None
        document = reply.documents[0].document if reply.documents else b""
        return reply.revision, document

    def watch(self, record):
        """Wait until a change is in force everywhere or the time limit has passed."""
        self.evidence.changes.append(record)
        if record.outcomes[-1] != pb.ACCEPTED:
            time.sleep(0.5)
            held = [self.read_held(node) for node in self.list_running()]
            record.appeared = any(h and h[1] == record.document for h in held)
            record.entries = self.count_entries(record.operation)
            return
        started = time.monotonic()
        highest = {}
        while time.monotonic() - started < IN_FORCE_SECONDS:
            if self.is_everywhere(record, highest):
                record.seconds = time.monotonic() - started
                record.appeared = True
                break
            time.sleep(0.05)
        record.entries = self.count_entries(record.operation)

    def is_everywhere(self, record, highest):
        """Return whether all running nodes hold a change; record reverted nodes."""
        all_hold = True
        for node in self.list_running():
            held = self.read_held(node)
            if held is None:
                all_hold = False
                continue
            if held[0] < highest.get(node.name, 0):
                record.went_back.append(node.name)
            highest[node.name] = max(highest.get(node.name, 0), held[0])
            all_hold = all_hold and held[1] == record.document
        return all_hold

    def count_entries(self, operation):
        """Return the number of times that the change log's tail has an operation."""
        store = ConsulStore(self.fleet.store)
        answer = store.get("hingesill/log/tail")
        data = getattr(answer, "data", b"")
        return data.count(operation.encode())

    def find_node(self, relay):
        """Return a running node of the first data centre with the given relay role."""
        for node in self.list_running():
            if node.data_centre != CENTRES[0]:
                continue
            reply = Client(node.control).call("Status", pb.StatusRequest(), 2.0)
            if not isinstance(reply, CallFailed) and reply.self.relay == relay:
                return node
        return self.list_running()[0]

    def run(self, fault, step):
        """Run one scenario and return its evidence."""
        self.evidence = Evidence()
        try:
            step(self, fault)
        finally:
            fault.end(self)
        self.restore()
        return self.evidence

    def restore(self):
        """Restore four running nodes that hold the same configuration."""
        self.fleet.set_store_faults()
        for index, node in enumerate(self.nodes):
            if node.process.poll() is not None:
                self.fleet.forget(node)
                self.nodes[index] = self.start_node(node.data_centre)
        for node in self.nodes:
            self.fleet.wait_ready(node)
        wait_until(self.have_converged, 15.0, "agreement of the nodes")

    def have_converged(self):
        """Return whether all nodes hold the same revision and document."""
        held = [self.read_held(node) for node in self.nodes]
        return None not in held and len(set(held)) == 1
