"""Steps at which a fault begins, as functions of stage, fault and callers."""

import time

from hingesill_core.registry import Registry
from matrix.stage import WARM_UP_SECONDS

__all__ = ["STEPS"]

STEPS = Registry("step")
LOAD_SECONDS = 0.7


def start(callers):
    """Start all callers."""
    for caller in callers:
        caller.start()


@STEPS.register("before arrival")
def begin_before(stage, fault, callers):
    """Inject the fault before requests arrive."""
    fault.begin(stage)
    start(callers)
    time.sleep(LOAD_SECONDS)


@STEPS.register("while in flight")
def begin_in_flight(stage, fault, callers):
    """Inject the fault while requests are routed, queued, sent and answered."""
    start(callers)
    time.sleep(WARM_UP_SECONDS)
    fault.begin(stage)
    time.sleep(LOAD_SECONDS)


@STEPS.register("after it has passed")
def begin_and_end(stage, fault, callers):
    """Inject and remove the fault while requests continue."""
    start(callers)
    time.sleep(WARM_UP_SECONDS)
    fault.begin(stage)
    time.sleep(LOAD_SECONDS / 2)
    fault.end(stage)
    time.sleep(LOAD_SECONDS / 2)


@STEPS.register("during a planned stop")
def begin_during_stop(stage, fault, callers):
    """Shut a node down gracefully while the fault is active."""
    start(callers)
    time.sleep(WARM_UP_SECONDS)
    fault.begin(stage)
    stage.stop_node()
    time.sleep(WARM_UP_SECONDS)


@STEPS.register("during a drain")
def begin_during_drain(stage, fault, callers):
    """Drain an endpoint while the fault is active."""
    start(callers)
    time.sleep(WARM_UP_SECONDS)
    fault.begin(stage)
    stage.drain_endpoint()
