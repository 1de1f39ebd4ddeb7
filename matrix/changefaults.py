"""Faults of the configuration matrix: of the store, relays and followers."""

import signal

from hingesill_core.registry import Registry

__all__ = ["CHANGE_FAULTS", "ChangeFault"]

CHANGE_FAULTS = Registry("fault of changes")


class ChangeFault:
    """Base class of temporary faults of the store or of a node."""

    def begin(self, stage):
        """Inject the fault."""

    def end(self, stage):
        """Remove the fault."""


@CHANGE_FAULTS.register("none")
class NoFault(ChangeFault):
    """Control case without a fault."""


def register_store_fault(name, **settings):
    """Register a fault of the store."""

    class StoreFault(ChangeFault):
        def begin(self, stage):
            stage.fleet.set_store_faults(**settings)

        def end(self, stage):
            stage.fleet.set_store_faults()

    CHANGE_FAULTS.register(name)(StoreFault)


register_store_fault("store down", down=True)
register_store_fault("store slow", slow_s=0.7)
register_store_fault("store loses answers", lose_answers=2)
register_store_fault("store loses all answers", lose_answers=1000)
register_store_fault("store drops writes", drop_writes=2)


def register_node_fault(name, relay, signal_number, resumes):
    """Register a fault of a relay or a follower."""

    class NodeFault(ChangeFault):
        node = None

        def begin(self, stage):
            self.node = stage.find_node(relay)
            self.node.process.send_signal(signal_number)
            if not resumes:
                self.node.process.wait()

        def end(self, stage):
            if resumes and self.node is not None:
                self.node.process.send_signal(signal.SIGCONT)

    CHANGE_FAULTS.register(name)(NodeFault)


register_node_fault("relay killed", True, signal.SIGKILL, False)
register_node_fault("relay frozen and woken", True, signal.SIGSTOP, True)
register_node_fault("follower killed", False, signal.SIGKILL, False)
register_node_fault("follower frozen and woken", False, signal.SIGSTOP, True)


@CHANGE_FAULTS.register("relay killed and store slow")
class RelayAndStore(ChangeFault):
    """Killed relay and slow store at the same time."""

    def begin(self, stage):
        """Inject both faults."""
        stage.find_node(True).process.kill()
        stage.fleet.set_store_faults(slow_s=0.5)

    def end(self, stage):
        """Remove the fault of the store."""
        stage.fleet.set_store_faults()
