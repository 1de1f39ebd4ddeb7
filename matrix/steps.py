"""The steps at which a fault begins; each is a function of stage and fault."""

import time

from hingesill_core.registry import Registry
from matrix.stage import WARM_SECONDS

__all__ = ["STEPS"]

STEPS = Registry("step")
LOAD_SECONDS = 0.7


def start(callers):
    """Let all callers begin."""
    for caller in callers:
        caller.start()


@STEPS.register("before arrival")
def begin_before(stage, fault, callers):
    """The fault is there when requests arrive."""
    fault.begin(stage)
    start(callers)
    time.sleep(LOAD_SECONDS)


@STEPS.register("while in flight")
def begin_in_flight(stage, fault, callers):
    """The fault begins while requests are routed, held, sent and answered."""
    start(callers)
    time.sleep(WARM_SECONDS)
    fault.begin(stage)
    time.sleep(LOAD_SECONDS)


@STEPS.register("after it has passed")
def begin_and_end(stage, fault, callers):
    """The fault begins and ends while requests go on."""
    start(callers)
    time.sleep(WARM_SECONDS)
    fault.begin(stage)
    time.sleep(LOAD_SECONDS / 2)
    fault.end(stage)
    time.sleep(LOAD_SECONDS / 2)


@STEPS.register("during a planned stop")
def begin_during_stop(stage, fault, callers):
    """A node is stopped in a planned way while the fault is there."""
    start(callers)
    time.sleep(WARM_SECONDS)
    fault.begin(stage)
    stage.stop_node()
    time.sleep(WARM_SECONDS)


@STEPS.register("during a drain")
def begin_during_drain(stage, fault, callers):
    """An endpoint is told to leave while the fault is there."""
    start(callers)
    time.sleep(WARM_SECONDS)
    fault.begin(stage)
    stage.drain_endpoint()
