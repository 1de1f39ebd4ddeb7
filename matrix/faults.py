"""Faults of the request matrix, injected into a stage and removed again."""

import signal
import socket
import time

from hingesill_core.registry import Registry
from matrix.stage import SERVICE_MS

__all__ = ["FAULTS", "Fault", "Pair"]

FAULTS = Registry("fault")
FREEZE_SECONDS = 0.8


class Fault:
    """Base class of faults, without any effect.

    Attributes
    ----------
    cuts : bool
        Whether the fault closes connections of callers.
    passes : bool
        Whether the fault can be removed during a scenario.
    """

    cuts = False
    passes = True

    def begin(self, stage):
        """Inject the fault."""

    def end(self, stage):
        """Remove the fault."""


class EndpointFault(Fault):
    """Fault settings of the stand-in endpoints."""

    settings = {}
    everywhere = False

    def begin(self, stage):
        """Set the fault on one endpoint or on all."""
        put = stage.set_all if self.everywhere else stage.set_one
        put(**self.settings)

    def end(self, stage):
        """Reset the fault settings."""
        stage.set_all()


def register_endpoint_fault(name, everywhere=False, cuts=False, **settings):
    """Register a fault of endpoints."""
    members = {"settings": settings, "everywhere": everywhere, "cuts": cuts}
    FAULTS.register(name)(type("EndpointFaultOf", (EndpointFault,), members))


register_endpoint_fault("endpoint slow", service_ms=SERVICE_MS * 20)
register_endpoint_fault("endpoint hung", hang=True)
register_endpoint_fault("endpoint resets before the answer", reset_before=True)
register_endpoint_fault("all reset before the answer", True, reset_before=True)
register_endpoint_fault(
    "endpoint resets in the answer", cuts=True, reset_after=True, body_bytes=200_000
)
register_endpoint_fault("endpoint fails fast", fail_fast=True)
register_endpoint_fault("all fail fast", True, fail_fast=True)
register_endpoint_fault("endpoint answers short", short=True)
register_endpoint_fault("endpoint answers late", late_ms=900)
register_endpoint_fault("endpoint drained by itself", drain=True)
register_endpoint_fault("endpoint cold", cold=True, service_ms=SERVICE_MS * 3)
register_endpoint_fault("endpoint lies about its load", lie_running=0, fail_fast=True)
register_endpoint_fault("endpoint starts again", away_s=0.3)
register_endpoint_fault("all start again", True, away_s=0.2)
register_endpoint_fault("endpoint limited", limit=2)
register_endpoint_fault("all limited", True, limit=1)
register_endpoint_fault("endpoint sheds", shed_above=-1)
register_endpoint_fault("all shed", True, shed_above=-1)
register_endpoint_fault("endpoint asks for rests", shed_above=-1, rest_s=0.5)
register_endpoint_fault("all ask for rests", True, shed_above=-1, rest_s=0.5)


@FAULTS.register("none")
class NoFault(Fault):
    """Control case without a fault."""


@FAULTS.register("caller gone")
class CallerGone(Fault):
    """Callers that close their connection while their request runs."""

    head = (
        b"POST /arena/games HTTP/1.1\r\nHost: a\r\nHingesill-Request-Id: %s\r\n"
        b"Content-Length: 4\r\n\r\n"
    )
    body = b"e2e4"

    def begin(self, stage):
        """Send requests and close each connection at once."""
        for address in list(stage.usable):
            for number in range(5):
                name = f"gone-{time.monotonic_ns()}-{number}"
                stage.evidence.excused.add(name)
                send_and_leave(address, self.head % name.encode() + self.body)


@FAULTS.register("caller half-sent")
class CallerHalfSent(CallerGone):
    """Callers that close their connection in the middle of the request body."""

    body = b"e2"


def send_and_leave(address, data):
    """Send bytes on a new connection and close it."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=2) as sock:
            sock.sendall(data)
            time.sleep(0.003)
    except OSError:
        return


@FAULTS.register("node killed")
class NodeKilled(Fault):
    """Kill of the second node without a shutdown."""

    cuts = True
    passes = False

    def begin(self, stage):
        """Kill the process; the platform's balancer detects it slightly later."""
        stage.second.process.kill()
        stage.second.process.wait()
        time.sleep(0.1)
        if stage.second.address in stage.usable:
            stage.usable.remove(stage.second.address)


@FAULTS.register("node frozen and woken")
class NodeFrozen(Fault):
    """Suspension of the second node's process for a short time."""

    def begin(self, stage):
        """Suspend the process and resume it."""
        if stage.second.process.poll() is not None:
            return
        stage.second.process.send_signal(signal.SIGSTOP)
        if stage.second.address in stage.usable and len(stage.usable) > 1:
            stage.usable.remove(stage.second.address)
        time.sleep(FREEZE_SECONDS)
        stage.second.process.send_signal(signal.SIGCONT)
        if stage.second.address not in stage.usable:
            stage.usable.append(stage.second.address)


class NodePartitioned(Fault):
    """Partition of the second node from all endpoints."""

    mode = ""

    def begin(self, stage):
        """Partition the node."""
        stage.second.partition.cut(stage.endpoints, self.mode)

    def end(self, stage):
        """Restore its paths."""
        stage.second.partition.restore()


def register_partition(name, mode):
    """Register a kind of partition; see `standins.partition.MODES`."""
    FAULTS.register(name)(type("PartitionOf", (NodePartitioned,), {"mode": mode}))


register_partition("node partitioned silently", "silent")
register_partition("node partitioned with resets", "reset")
register_partition("node partitioned from new connections", "kept")


class StoreFault(Fault):
    """Fault settings of the stand-in store."""

    settings = {}

    def begin(self, stage):
        """Apply the fault settings."""
        stage.fleet.set_store_faults(**self.settings)

    def end(self, stage):
        """Reset the fault settings."""
        stage.fleet.set_store_faults()


def register_store_fault(name, **settings):
    """Register a fault of the store."""
    FAULTS.register(name)(type("StoreFaultOf", (StoreFault,), {"settings": settings}))


register_store_fault("store down", down=True)
register_store_fault("store slow", slow_s=1.0)
register_store_fault("store loses answers", lose_answers=5)
register_store_fault("store drops writes", drop_writes=5)


class Pair(Fault):
    """Two simultaneous faults."""

    names = ()

    def __init__(self):
        self.faults = [FAULTS.get(name)() for name in self.names]
        self.cuts = any(fault.cuts for fault in self.faults)
        self.passes = all(fault.passes for fault in self.faults)

    def begin(self, stage):
        """Inject both faults."""
        for fault in self.faults:
            fault.begin(stage)

    def end(self, stage):
        """Remove both faults."""
        for fault in self.faults:
            fault.end(stage)


def register_pair(*names):
    """Register a pair of simultaneous faults."""
    FAULTS.register(" and ".join(names))(type("PairOf", (Pair,), {"names": names}))


register_pair("store down", "endpoint hung")
register_pair("store down", "node killed")
register_pair("store down", "endpoint drained by itself")
register_pair("all reset before the answer", "caller gone")
register_pair("node partitioned silently", "store down")
register_pair("node partitioned with resets", "caller gone")
register_pair("node partitioned with resets", "all reset before the answer")
register_pair("node partitioned with resets", "node frozen and woken")
