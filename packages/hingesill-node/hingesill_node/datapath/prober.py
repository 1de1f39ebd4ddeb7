"""Sends probes: only with a share, only within the pace, only where they tell."""

import eventlet

from hingesill_core.probing.proberate import ProbeRateLimiter, compute_probe_rate
from hingesill_core.probing.probetarget import choose_probe_target
from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_node.clocks import read_boot_time
from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.datapath.messages import LiveSend
from hingesill_node.datapath.transport import TRANSPORT_ERRORS, read_result
from hingesill_node.datapath.wire import OwnFormat

__all__ = ["Prober"]

ROUND_SECONDS = 0.25
ANSWER_SECONDS = 1.0


class Prober:
    """Probes the services that this node serves.

    Parameters
    ----------
    blackboard : Blackboard
        Its ``probe_share`` is the share held, or None.
    runners : RunnerTable
        The services.
    counters : Counters
        Gets ``probes``.
    """

    def __init__(self, blackboard, runners, counters):
        self.blackboard = blackboard
        self.runners = runners
        self.counters = counters
        self.wire = OwnFormat()
        self._pacers = {}

    def run(self):
        """Work until the process ends."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            if self.blackboard.probe_share is not None:
                self._probe_services()

    def _probe_services(self):
        for name, runner in list(self.runners.runners.items()):
            service = runner.dispatcher.service
            slots = sum(endpoint.slots for endpoint in service.endpoints)
            pace = compute_probe_rate(service.probes, slots)
            if pace is None:
                continue
            address = choose_probe_target(runner.dispatcher, runner.clock())
            if address is not None and self._is_due(name, pace):
                eventlet.spawn(self._probe, name, runner, address, pace)

    def _is_due(self, name, pace):
        """Tell whether a probe is likely to be allowed, before connecting."""
        pacer = self._pacers.setdefault(name, ProbeRateLimiter())
        share = self.blackboard.probe_share
        now = read_boot_time()
        return now >= max(pacer.next_at, share.acquired_at + pace.interval)

    def _probe(self, name, runner, address, pace):
        connection = EndpointConnection(address)
        try:
            connection.open()
            connection.set_time_limit(ANSWER_SECONDS)
            result = self._send(name, runner, address, pace, connection)
        except ConnectFailed:
            result = SendResult(SendStatus.CONNECT_FAILED)
        except TRANSPORT_ERRORS:
            result = SendResult(SendStatus.LOST)
        finally:
            connection.close()
        if result is not None:
            runner.dispatcher.record_probe(address, result, runner.clock())

    def _send(self, name, runner, address, pace, connection):
        """Send and return what came, or None if the budget does not allow it.

        The share, the pace and whether the endpoint asked for a rest are checked after
        the connection is open, right before the request leaves.
        """
        service = runner.dispatcher.service
        connection.collect()
        connection.begin("GET", service.probes.path)
        connection.putheader("Host", address)
        connection.endheaders()
        share = self.blackboard.probe_share
        pacer = self._pacers[name]
        state = runner.dispatcher.states.get(address)
        if state is None or state.availability.is_backing_off(runner.clock()):
            return None
        if share is None or not pacer.take(share, pace, read_boot_time()):
            return None
        connection.flush()
        self.counters.add("probes", name)
        in_flight = runner.count_in_flight(address) + 1
        live = LiveSend(None, None, connection)
        return read_result(live, runner.clock(), in_flight, self.wire, "")
