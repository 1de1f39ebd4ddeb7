"""What a node knows of an endpoint, from its own traffic and from reports."""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp

from hingesill_core.routing.health import Health
from hingesill_core.routing.messages import SendEnd

__all__ = ["EndpointState"]

INITIAL_LATENCY = 0.005
LATENCY_WEIGHT = 0.2
REPORT_DECAY = 0.02
SLOW_START = 2.0
SLOW_START_FLOOR = 0.25
FAULT_PENALTY = 10.0
SHORTEST_REFUSED_PAUSE = 0.01
LONGEST_REFUSED_PAUSE = 1.0
DRAIN_SIGN_HOLDS = 30.0
WAIT_FOR_REPEATABLE = 5.0


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint of a service as one node sees it; times in seconds.

    Attributes
    ----------
    sent : OrderedDict
        Sends in flight with their start, the oldest first.
    sends : int
        All sends so far.
    refused_until : float
        The endpoint asked to be left alone until then.
    draining_until : float
        The endpoint is leaving; the sign holds until then.
    """

    address: str
    slots: int = 1
    send_limit: int = 1
    distance: float = 0.0
    latency: float = INITIAL_LATENCY
    report: object = None
    sent: OrderedDict = field(default_factory=OrderedDict)
    sends: int = 0
    refused_until: float = 0.0
    draining_until: float = 0.0
    cold_since: float | None = None
    last_heard: float | None = None
    health: Health = field(default_factory=Health)

    @property
    def in_flight(self):
        """How many of this node's sends await their end."""
        return len(self.sent)

    def begin(self, send, now):
        """Note the start of a send."""
        self.sent[send] = now
        self.sends += 1
        if self.health.needs_trial(now):
            self.health.on_trial = True

    def finish(self, send):
        """Note the end of a send."""
        self.sent.pop(send, None)

    def learn(self, result, seconds, now, drain_seconds):
        """Take what the end of a send tells of load and state."""
        if result.report is not None:
            self.report = result.report
            self.last_heard = now
        if result.end is SendEnd.ANSWERED:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
            self.last_heard = now
        elif result.end is SendEnd.CANCELLED and seconds > self.latency:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
        elif result.end is SendEnd.REFUSED:
            pause = max(SHORTEST_REFUSED_PAUSE, result.retry_after)
            self.refused_until = now + min(LONGEST_REFUSED_PAUSE, pause)
        if result.draining:
            self.draining_until = now + DRAIN_SIGN_HOLDS

    def has_place(self, ticket, now):
        """Tell whether a request may be sent there now.

        Notes
        -----
        A trial after an ejection is a repeatable request if it can be one. A
        deferrable request leaves the last slot to live ones.
        """
        if len(self.sent) >= self.send_limit or now < self.draining_until:
            return False
        if now < self.refused_until:
            return False
        health = self.health
        if health.ejected_until:
            return health.needs_trial(now) and self._fits_trial(ticket, now)
        if not ticket.route.live and self.slots > 1:
            occupied = len(self.sent) + self.estimate_others(now)
            return occupied + 1 < self.slots
        return True

    def _fits_trial(self, ticket, now):
        waited = now - self.health.ejected_until
        return ticket.route.repeatable or waited > WAIT_FOR_REPEATABLE

    def estimate_others(self, now):
        """Return how many requests of other nodes occupy the endpoint.

        Notes
        -----
        The node's own share is taken out of the report, and what remains
        decays with age: other nodes saw the same report and acted on it.
        """
        report = self.report
        if report is None:
            return 0.0
        others = report.running - report.own_in_flight
        if others <= 0:
            return 0.0
        return others * exp((report.received_at - now) / REPORT_DECAY)

    def measure_overdue(self, now):
        """Return the age of the oldest send without an answer."""
        if not self.sent:
            return 0.0
        return now - next(iter(self.sent.values()))

    def estimate_wait(self, now):
        """Return the expected time to an answer for one more request.

        Notes
        -----
        An answer that is overdue now counts at once, a finished one only
        through the running mean. An endpoint that fails looks slower by its
        share of faults, whatever load it reports.
        """
        latency = max(self.latency, self.measure_overdue(now))
        occupied = len(self.sent) + self.estimate_others(now)
        wait = latency * (1 + occupied / self.slots)
        if occupied >= self.slots:
            wait += latency * (occupied + 1 - self.slots) / self.slots
        wait = wait * (1 + FAULT_PENALTY * self.health.fault_share) + self.distance
        return wait / self.measure_warmth(now)

    def measure_warmth(self, now):
        """Return the share of its full load that a started endpoint may take."""
        if self.cold_since is None:
            return 1.0
        age = now - self.cold_since
        if age >= SLOW_START:
            self.cold_since = None
            return 1.0
        return SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * age / SLOW_START

    def is_draining(self, now):
        """Tell whether the endpoint takes no new work."""
        return now < self.draining_until
