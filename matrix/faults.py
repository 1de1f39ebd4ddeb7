"""The faults: each begins and ends on a stage."""

import signal
import socket
import time

from hingesill_core.registry import Registry
from matrix.stage import SERVICE_MS

__all__ = ["FAULTS", "Fault", "Pair"]

FAULTS = Registry("fault")
FREEZE_SECONDS = 0.8


class Fault:
    """A fault that does nothing; the others override its two methods.

    Attributes
    ----------
    cuts : bool
        It ends connections of callers by itself.
    passes : bool
        It can end, so that there is a time after it.
    """

    cuts = False
    passes = True

    def begin(self, stage):
        """Let the fault begin."""

    def end(self, stage):
        """Let the fault end."""


class EndpointFault(Fault):
    """Faults of endpoints, as the stand-in knows them."""

    settings = {}
    everywhere = False

    def begin(self, stage):
        """Set the fault on one endpoint or on all."""
        put = stage.set_all if self.everywhere else stage.set_one
        put(**self.settings)

    def end(self, stage):
        """Take the fault back."""
        stage.set_all()


def register_endpoint_fault(name, everywhere=False, cuts=False, **settings):
    """Enter a fault of endpoints."""
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
    """Nothing happens."""


@FAULTS.register("caller gone")
class CallerGone(Fault):
    """Callers that close their connection while their request runs."""

    head = (
        b"POST /arena/games HTTP/1.1\r\nHost: a\r\nHingesill-Request-Id: %s\r\n"
        b"Content-Length: 4\r\n\r\n"
    )
    body = b"e2e4"

    def begin(self, stage):
        """Send requests and leave at once."""
        for address in list(stage.usable):
            for number in range(5):
                name = f"gone-{time.monotonic_ns()}-{number}"
                stage.evidence.excused.add(name)
                send_and_leave(address, self.head % name.encode() + self.body)


@FAULTS.register("caller half-sent")
class CallerHalfSent(CallerGone):
    """Callers that leave in the middle of their body."""

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
    """The second node ends without any notice."""

    cuts = True
    passes = False

    def begin(self, stage):
        """End the process; the platform's balancer notices a little later."""
        stage.second.process.kill()
        stage.second.process.wait()
        time.sleep(0.1)
        if stage.second.address in stage.usable:
            stage.usable.remove(stage.second.address)


@FAULTS.register("node frozen and woken")
class NodeFrozen(Fault):
    """The second node does nothing for a while and then goes on."""

    def begin(self, stage):
        """Freeze the process for a while."""
        if stage.second.process.poll() is not None:
            return
        stage.second.process.send_signal(signal.SIGSTOP)
        if stage.second.address in stage.usable and len(stage.usable) > 1:
            stage.usable.remove(stage.second.address)
        time.sleep(FREEZE_SECONDS)
        stage.second.process.send_signal(signal.SIGCONT)
        if stage.second.address not in stage.usable:
            stage.usable.append(stage.second.address)


class StoreFault(Fault):
    """Faults of the store, as the stand-in knows them."""

    settings = {}

    def begin(self, stage):
        """Set the fault."""
        stage.fleet.set_store_faults(**self.settings)

    def end(self, stage):
        """Take the fault back."""
        stage.fleet.set_store_faults()


def register_store_fault(name, **settings):
    """Enter a fault of the store."""
    FAULTS.register(name)(type("StoreFaultOf", (StoreFault,), {"settings": settings}))


register_store_fault("store down", down=True)
register_store_fault("store slow", slow_s=1.0)
register_store_fault("store loses answers", lose_answers=5)
register_store_fault("store drops writes", drop_writes=5)


class Pair(Fault):
    """Two faults at once."""

    names = ()

    def __init__(self):
        self.faults = [FAULTS.get(name)() for name in self.names]
        self.cuts = any(fault.cuts for fault in self.faults)
        self.passes = all(fault.passes for fault in self.faults)

    def begin(self, stage):
        """Let both begin."""
        for fault in self.faults:
            fault.begin(stage)

    def end(self, stage):
        """Let both end."""
        for fault in self.faults:
            fault.end(stage)


def register_pair(*names):
    """Enter two faults at once."""
    FAULTS.register(" and ".join(names))(type("PairOf", (Pair,), {"names": names}))


register_pair("store down", "endpoint hung")
register_pair("store down", "node killed")
register_pair("store down", "endpoint drained by itself")
register_pair("all reset before the answer", "caller gone")
