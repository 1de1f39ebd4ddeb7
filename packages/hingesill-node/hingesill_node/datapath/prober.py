"""Probing of endpoints.

A probe needs a probe share and is limited by its service's probe rate. It is sent only
where the node's own traffic yields no information.
"""

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

CHECK_INTERVAL_SECONDS = 0.25
RESPONSE_TIMEOUT_SECONDS = 1.0


class Prober:
    """Probes the services that this node serves.

    Parameters
    ----------
    blackboard : Blackboard
        Its ``probe_share`` is the node's current share, or None.
    runners : RunnerTable
        The services.
    counters : Counters
        Counts ``probes``.
    """

    def __init__(self, blackboard, runners, counters):
        self.blackboard = blackboard
        self.runners = runners
        self.counters = counters
        self.wire = OwnFormat()
        self._rate_limiters = {}

    def run(self):
        """Probe until the process ends."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_SECONDS)
            if self.blackboard.probe_share is not None:
                self._probe_services()

    def _probe_services(self):
        for name, runner in list(self.runners.runners.items()):
            service = runner.dispatcher.service
            slots = sum(endpoint.slots for endpoint in service.endpoints)
            rate = compute_probe_rate(service.probes, slots)
            if rate is None:
                continue
            address = choose_probe_target(runner.dispatcher, runner.clock())
            if address is not None and self._is_due(name, rate):
                eventlet.spawn(self._probe, name, runner, address, rate)

    def _is_due(self, name, rate):
        """Return whether a probe is likely to be allowed, before connecting."""
        rate_limiter = self._rate_limiters.setdefault(name, ProbeRateLimiter())
        share = self.blackboard.probe_share
        now = read_boot_time()
        return now >= max(rate_limiter.next_at, share.acquired_at + rate.interval)

    def _probe(self, name, runner, address, rate):
        connection = EndpointConnection(address)
        try:
            connection.open()
            connection.set_time_limit(RESPONSE_TIMEOUT_SECONDS)
            result = self._send(name, runner, address, rate, connection)
        except ConnectFailed:
            result = SendResult(SendStatus.CONNECT_FAILED)
        except TRANSPORT_ERRORS:
            result = SendResult(SendStatus.LOST)
        finally:
            connection.close()
        if result is not None:
            runner.dispatcher.record_probe(address, result, runner.clock())

    def _send(self, name, runner, address, rate, connection):
        """Send a probe; return its result, or None if it is not allowed.

        The share, the rate and the endpoint's back-off are checked after the connection
        is open, right before the request is sent.
        """
        service = runner.dispatcher.service
        connection.collect()
        connection.begin("GET", service.probes.path)
        connection.putheader("Host", address)
        connection.endheaders()
        share = self.blackboard.probe_share
        rate_limiter = self._rate_limiters[name]
        state = runner.dispatcher.states.get(address)
        if state is None or state.availability.is_backing_off(runner.clock()):
            return None
        if share is None or not rate_limiter.try_acquire(share, rate, read_boot_time()):
            return None
        connection.flush()
        self.counters.add("probes", name)
        in_flight = runner.count_in_flight(address) + 1
        live = LiveSend(None, None, connection)
        return read_result(
            live, runner.clock(), in_flight, self.wire, "", RESPONSE_TIMEOUT_SECONDS
        )
