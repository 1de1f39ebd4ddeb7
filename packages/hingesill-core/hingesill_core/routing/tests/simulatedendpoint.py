"""A simulated endpoint: its slots, its queue, and its faults."""

from random import Random

from hingesill_core.ratelimits.reportedlimits import NO_LIMIT, ParsedLimit
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_core.routing.tests.workloads import FaultPeriod

__all__ = ["DATA_CENTRES", "SLOTS", "SimulatedEndpoint"]

DATA_CENTRES = 6
SLOTS = 3
MAX_QUEUED = 6
# Standard deviation of the logarithm of service times.
LOG_STANDARD_DEVIATION = 0.3
# Factor of the service time in slow periods, their length, and the step at which the
# progress of work is computed.
SLOW_FACTOR = 4.0
SLOW_SECONDS = 0.3
SLOW_STEP_SECONDS = 0.02


class SimulatedEndpoint:
    """An endpoint with slots and a queue."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.number = number
        self.position = number / simulation.workload.endpoints
        self.identity = f"i{number:04}"
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.running = {}
        self.queue = []
        self.arrivals = []

    def find_fault_period(self):
        """Return the FaultPeriod that applies now, or None."""
        for fault in self.simulation.workload.spells:
            is_active = fault.begin <= self.simulation.now < fault.end
            if is_active and fault.first <= self.position < fault.last:
                return fault
        return None

    def report(self):
        """Return its load report."""
        taken = len(self.running) + len(self.queue)
        now = self.simulation.now
        return LoadReport(
            taken, now, 0, SLOTS, SLOW_FACTOR if self._is_slow(now) else 1.0
        )

    def _is_slow(self, now):
        """Return whether a neighbour on its VM slows it down."""
        share = self.simulation.workload.slow_share
        if not share:
            return False
        period = int(now / SLOW_SECONDS + self.position)
        return Random(self.number * 1009 + period).random() < share

    def _compute_duration(self, seconds):
        """Return the duration of work in seconds, including slow periods."""
        if not self.simulation.workload.slow_share:
            return seconds
        now = self.simulation.now
        while seconds > 0:
            factor = SLOW_FACTOR if self._is_slow(now) else 1.0
            step = min(SLOW_STEP_SECONDS, seconds * factor)
            seconds -= step / factor
            now += step
        return now - self.simulation.now

    def get_warm_in(self):
        """Return the seconds for which it remains cold."""
        fault = self.find_fault_period()
        return (
            fault.end - self.simulation.now if fault is not None and fault.cold else 0.0
        )

    def is_unhealthy(self):
        """Return whether it reports that it is unhealthy."""
        fault = self.find_fault_period()
        return fault is not None and fault.unhealthy

    def get_reported_limit(self):
        """Return the rate limit in its response headers."""
        fault = self.find_fault_period()
        return NO_LIMIT if fault is None else ParsedLimit(fault.limit)

    def arrive(self, node, send):
        """Accept or refuse a request."""
        self.arrivals.append(self.simulation.now)
        fault = self.find_fault_period()
        is_shed = fault is not None and self.simulation.rng.random() < fault.shed
        if fault is not None and fault.down:
            self._respond(node, send, SendStatus.LOST)
        elif is_shed or len(self.queue) >= MAX_QUEUED:
            self._respond(node, send, SendStatus.REFUSED)
        elif len(self.running) < SLOTS:
            self._start(node, send)
        else:
            self.queue.append((node, send))

    def _start(self, node, send):
        self.running[send] = node
        fault = self.find_fault_period()
        kind = self.simulation.kinds[send.ticket.route]
        seconds = kind.service_time * self.simulation.rng.lognormvariate(
            0.0, LOG_STANDARD_DEVIATION
        )
        seconds *= fault.slowness if fault else 1.0
        if len(self.running) == SLOTS:
            seconds *= self.simulation.workload.full_slots_factor
        self.simulation.schedule(
            self._compute_duration(seconds), self._finish, node, send
        )

    def _finish(self, node, send):
        if send not in self.running:
            return
        self._free(send)
        fault = self.find_fault_period() or FaultPeriod(0.0, 0.0)
        draw = self.simulation.rng.random()
        if draw < fault.broken:
            self._respond(node, send, SendStatus.LOST)
        elif draw >= fault.broken + fault.lost:
            self._respond(node, send, SendStatus.ANSWERED)

    def _free(self, send):
        del self.running[send]
        if self.queue:
            self._start(*self.queue.pop(0))

    def cancel(self, send):
        """Cancel a request whose connection is closed."""
        if send in self.running:
            self._free(send)
        self.queue = [item for item in self.queue if item[1] is not send]

    def _respond(self, node, send, end):
        delay = self.simulation.get_network_delay(node, self)
        self.simulation.schedule(delay, node.end, send, SendResult(end, self.report()))
