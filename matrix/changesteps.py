"""Steps of the configuration matrix: accept, race, spread, restart and drain."""

import time

import psutil

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.client import CallFailed, Client
from hingesill_core.registry import Registry
from matrix.changes import IN_FORCE_SECONDS
from matrix.evidence import DrainRecord
from standins.fleet import wait_until

__all__ = ["CHANGE_STEPS"]

CHANGE_STEPS = Registry("step of changes")
FAULT_SECONDS = 1.5


@CHANGE_STEPS.register("accept")
def accept_during(stage, fault):
    """Request a change while the fault is active."""
    fault.begin(stage)
    running = [n for n in stage.list_running() if is_awake(n)]
    record = stage.change(running[-1])
    fault.end(stage)
    stage.repeat_until_known(record)
    stage.watch(record)


@CHANGE_STEPS.register("race")
def race_during(stage, fault):
    """Request two changes of the same version while the fault is active."""
    fault.begin(stage)
    running = [n for n in stage.list_running() if is_awake(n)]
    version = stage.read_version(running[0])
    records = [
        stage.change(node, None, None, version) for node in (running[0], running[-1])
    ]
    fault.end(stage)
    for record in records:
        stage.repeat_until_known(record)
    accepted = [record for record in records if record.outcomes[-1] == pb.ACCEPTED]
    for record in accepted[:1]:
        stage.watch(record)
    if len(accepted) > 1:
        accepted[1].outcomes.append(pb.ACCEPTED)
        stage.evidence.changes.append(accepted[1])  # Both accepted: a violation.


@CHANGE_STEPS.register("spread")
def spread_during(stage, fault):
    """Inject the fault right after a change was accepted."""
    running = stage.list_running()
    record = stage.change(running[-1])
    fault.begin(stage)
    time.sleep(FAULT_SECONDS)
    fault.end(stage)
    stage.watch(record)


@CHANGE_STEPS.register("restart")
def restart_during(stage, fault):
    """Replace a node while the fault is active."""
    record = stage.change(stage.nodes[0])
    stage.watch(record)
    fault.begin(stage)
    victim = next(
        (n for n in stage.list_running()[1:] if is_awake(n)), stage.list_running()[0]
    )
    victim.process.kill()
    victim.process.wait()
    stage.fleet.forget(victim)
    index = stage.nodes.index(victim)
    fresh = stage.nodes[index] = stage.start_node(victim.data_centre, wait=False)
    wait_until(fresh.is_ready, IN_FORCE_SECONDS, "readiness of the new node")
    held = stage.read_held(fresh)
    if held is None or held[1] != record.document:
        record.went_back.append(f"{fresh.name}, ready with {held and held[0]},")
    fault.end(stage)
    stage.evidence.changes[-1:] = []
    stage.watch(record)


@CHANGE_STEPS.register("drain")
def drain_during(stage, fault):
    """Drain an endpoint while the fault is active."""
    fault.begin(stage)
    running = [n for n in stage.list_running() if is_awake(n)]
    endpoint = stage.endpoints[0]
    request = pb.DrainRequest(service="arena", endpoint=endpoint)
    Client(running[-1].control).call("Drain", request, 4.0)
    is_drained = wait_for_drain(stage, endpoint)
    fault.end(stage)
    stage.evidence.drain = DrainRecord(endpoint, 0, 0 if is_drained else 1)
    request.cancel = True
    Client(running[-1].control).call("Drain", request, 4.0)


def wait_for_drain(stage, endpoint):
    """Return whether all awake nodes learn of the drain within four seconds."""
    deadline = time.monotonic() + 4.0
    while time.monotonic() < deadline:
        nodes = [node for node in stage.list_running() if is_awake(node)]
        if all(knows_drain(node, endpoint) for node in nodes):
            return True
        time.sleep(0.05)
    return False


def knows_drain(node, endpoint):
    """Return whether a node sends no new requests to an endpoint."""
    request = pb.ExplainRequest(method="GET", path="/arena")
    reply = Client(node.control).call("Explain", request, 2.0)
    if isinstance(reply, CallFailed):
        return False
    return any(c.endpoint == endpoint and not c.eligible for c in reply.candidates)


def is_awake(node):
    """Return whether a node's process is neither terminated nor suspended."""
    if node.process.poll() is not None:
        return False
    return psutil.Process(node.process.pid).status() != psutil.STATUS_STOPPED
