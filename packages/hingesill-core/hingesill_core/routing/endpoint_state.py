"""The state of an endpoint at one node, from its own traffic and from reports."""

from collections import OrderedDict
from math import exp

from msgspec import Struct, field

from hingesill_core.ratelimits.randomadmission import RandomAdmission
from hingesill_core.ratelimits.service import ServiceLimits
from hingesill_core.routing.availability import Availability
from hingesill_core.routing.health import Health
from hingesill_core.routing.messages import SendStatus

__all__ = ["EndpointState", "ServiceView"]

# Weight of the newest answer in the mean slowness.
SLOWNESS_WEIGHT = 0.2
# Upper bound of the slowness of one answer.
MAX_SLOWNESS = 100.0
# Time constant at which the mean slowness decays without answers, in seconds.
SLOWNESS_DECAY_SECONDS = 0.25
# Time constant at which a load report decays to the mean, in seconds.
REPORT_DECAY_SECONDS = 0.02
# Weight of the newest report in the mean load from other nodes.
PEER_LOAD_WEIGHT = 0.05
# Step at which the quantile of latency ratios is followed.
RATIO_STEP = 0.1
# Quantile of latency ratios up to which an answer counts as usual.
RATIO_QUANTILE = 0.9
# Smallest latency ratio that is announced to other nodes.
MIN_SUSPICIOUS_RATIO = 2.2
# Ratio of a suspicious answer to the quantile of latency ratios.
SUSPICIOUS_FACTOR = 1.6
# Time constant at which suspicion decays, in seconds.
SUSPICION_DECAY_SECONDS = 0.03
# Weight of one announcement in the suspicion.
SUSPICION_WEIGHT = 0.5
# Upper bound of the suspicion.
MAX_SUSPICION = 20.0
# Suspicion below which it counts as none.
MIN_SUSPICION = 0.05
# Duration of the slow start after a return or a cold start, in seconds.
SLOW_START_SECONDS = 2.0
# Share of its full load that an endpoint gets at the beginning of the slow start.
MIN_SLOW_START_SHARE = 0.25
# Factor by which the share of faults lengthens the expected wait.
FAULT_PENALTY = 10.0
# Back-off after a refusal, in seconds.
REFUSED_BACKOFF_SECONDS = 0.01
# Time for which only a repeatable request may be the trial request, in seconds.
REPEATABLE_TRIAL_SECONDS = 5.0
# Failed load queries in a row after which an endpoint is queried less.
QUERY_FAILURES_TO_EJECT = 2
# Longest pause between load queries to a failing endpoint, in seconds.
MAX_QUERY_EJECTION_SECONDS = 1.0


def build_query_health():
    """Return the health record of an endpoint's load queries.

    Notes
    -----
    A trial is one more load query and harms no request, so it follows soon. Two
    failures in a row are needed, as a single packet may be lost.
    """
    return Health(
        failures_to_eject=QUERY_FAILURES_TO_EJECT,
        max_ejection=MAX_QUERY_EJECTION_SECONDS,
    )


class ServiceView(Struct):
    """What the endpoints of a service have in common at one node.

    Attributes
    ----------
    peer_load : float
        Mean number of other nodes' requests at an endpoint.
    sends_started : int
        Number of this node's sends so far.
    high_ratio : float
        The 90th percentile of actual to expected latency.
    """

    peer_load: float = 0.0
    sends_started: int = 0
    high_ratio: float = 1.5

    def record_ratio(self, ratio):
        """Record the ratio of an answer's actual to its expected latency."""
        if ratio > self.high_ratio:
            self.high_ratio += RATIO_STEP * RATIO_QUANTILE
        else:
            self.high_ratio -= RATIO_STEP * (1 - RATIO_QUANTILE)

    def get_suspicious_ratio(self):
        """Return the ratio from which an overdue answer is announced to other nodes.

        Notes
        -----
        Under load many answers take long at all endpoints. A ratio that nine in ten
        answers stay below does not show that one endpoint is slower than the others.
        """
        return max(MIN_SUSPICIOUS_RATIO, SUSPICIOUS_FACTOR * self.high_ratio)

    def record_report(self, report):
        """Add a load report to the mean."""
        peer_load = max(0, report.running - report.own_in_flight)
        self.peer_load += PEER_LOAD_WEIGHT * (peer_load - self.peer_load)


class EndpointState(Struct, eq=False):
    """The state of one endpoint of a service at one node; times in seconds.

    Attributes
    ----------
    born : int
        Incarnation of the endpoint.
    slowness : float
        Running mean of the ratio of its answers' latency to the median of their route.
    sent : OrderedDict
        Sends in flight, the oldest first.
    last_send_number : int
        Number of its last send among all sends of the service.
    availability : Availability
        Back-off and draining that this incarnation reported.
    draining_until : float
        Time until which it is draining, by the store or other nodes.
    suspicion, suspected_at : float
        Slowness reported by other nodes, and the time of its last update.
    queried_at : float
        Time of the last load query.
    region : str
        Its region; empty if that is not known.
    distance : float
        Round-trip time to its data centre, in median latencies.
    warm_at, warm_up_reported_at : float
        Time until which it is cold by its last report, and the time of that report.
    entry_warm_in, is_entry_new : float, bool
        Seconds for which it was cold when its entry was written, and whether that has
        not been evaluated yet.
    last_send_at : float
        Time of this node's last send to it.
    limits : ServiceLimits or None
        Rate limits of the service's endpoints.
    cold_share : RandomAdmission
        Admission of this node's sends while the endpoint is cold.
    """

    identity: str
    slots: int = 1
    send_limit: int = 1
    is_near: bool = True
    region: str = ""
    distance: float = 0.0
    slowness: float = 1.0
    report: object = None
    service_view: ServiceView = field(default_factory=ServiceView)
    sent: OrderedDict = field(default_factory=OrderedDict)
    last_send_number: int = 0
    availability: Availability = field(default_factory=Availability)
    draining_until: float = 0.0
    suspicion: float = 0.0
    suspected_at: float = 0.0
    cold_since: float | None = None
    last_response_at: float | None = None
    last_probe_at: float = 0.0
    queried_at: float = float("-inf")
    warm_at: float = float("-inf")
    warm_up_reported_at: float = float("-inf")
    entry_warm_in: float = 0.0
    is_entry_new: bool = False
    last_send_at: float = float("-inf")
    health: Health = field(default_factory=Health)
    query_health: Health = field(default_factory=build_query_health)
    born: int = 0
    limits: ServiceLimits | None = None
    cold_share: RandomAdmission = field(default_factory=RandomAdmission)

    @property
    def in_flight(self):
        """Number of this node's sends in flight."""
        return len(self.sent)

    def begin(self, send, now):
        """Record the start of a send."""
        self.sent[send] = None
        self.last_send_at = now
        if self.limits is not None:
            self.limits.consume_grant(self.identity, now)
        self.service_view.sends_started += 1
        self.last_send_number = self.service_view.sends_started
        if self.health.is_trial_due(now):
            self.health.trial_in_flight = True

    def record_warm_up(self, warm_in, now):
        """Record the endpoint's report of how long it stays cold, in seconds."""
        self.warm_at = now + warm_in
        self.warm_up_reported_at = now

    def record_entry(self, warm_in):
        """Record the warm-up time in its entry, in seconds from the entry's write."""
        if warm_in != self.entry_warm_in:
            self.entry_warm_in = warm_in
            self.is_entry_new = True

    def finish(self, send):
        """Record the end of a send."""
        self.sent.pop(send, None)

    def record_result(self, result, seconds, expected, now):
        """Update slowness, load and availability from the result of a send.

        Parameters
        ----------
        result : SendResult
            Result of the send.
        seconds, expected : float
            Duration of the send, and the median duration on its route.
        now : float
            Seconds of the node's clock.
        """
        if result.report is not None:
            self.report = result.report
            self.service_view.record_report(result.report)
            self.last_response_at = now
        ratio = min(MAX_SLOWNESS, seconds / expected)
        if result.end is SendStatus.ANSWERED:
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
            self.service_view.record_ratio(ratio)
            self.last_response_at = now
        elif result.end is SendStatus.CANCELLED and ratio > self.slowness:
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        elif result.end is SendStatus.REFUSED:
            self.availability.record_backoff(REFUSED_BACKOFF_SECONDS, now)

    def has_capacity(self, ticket, now):
        """Return whether a request may be sent to the endpoint now.

        Notes
        -----
        The trial request after an ejection is a repeatable one if possible. A
        deferrable request leaves the last slot to live ones.
        """
        if len(self.sent) >= self.send_limit or self.is_draining(now):
            return False
        if not self.availability.takes_requests(now):
            return False
        if not self.serves_route(ticket.route):
            return False
        if not self.is_within_limit(now):
            return False
        health = self.health
        if health.ejected_until:
            return self.accepts_trial(ticket, now)
        if not ticket.route.live and self.slots > 1:
            occupied = len(self.sent) + self.estimate_peer_load(now)
            return occupied + 1 < self.slots
        return True

    def accepts_trial(self, ticket, now):
        """Return whether a request may be the trial request of an ejected endpoint."""
        if not self.health.is_trial_due(now):
            return False
        waited = now - self.health.ejected_until
        return ticket.route.repeatable or waited > REPEATABLE_TRIAL_SECONDS

    def estimate_peer_load(self, now):
        """Return the estimated number of other nodes' requests at the endpoint.

        Notes
        -----
        The node's own requests are subtracted from the report. With its age the
        remainder decays to the mean of all endpoints: an endpoint without recent
        reports counts as average, not as idle.
        """
        mean = self.service_view.peer_load
        report = self.report
        if report is None:
            return mean
        peer_load = max(0, report.running - report.own_in_flight)
        return mean + (peer_load - mean) * exp(
            (report.received_at - now) / REPORT_DECAY_SECONDS
        )

    def predict_load(self, now):
        """Return the expected ratio of an answer's latency to the unloaded one."""
        occupied = len(self.sent) + self.estimate_peer_load(now)
        return 1 + max(0.0, occupied + 1 - self.slots) / self.slots

    def measure_slowness(self, now):
        """Return the mean slowness, reduced with the age of the last answer.

        Notes
        -----
        A slow endpoint that gets no requests gives no answers that could show its
        recovery.
        """
        if self.last_response_at is None:
            return 1.0
        age = now - self.last_response_at
        return 1 + (self.slowness - 1) * exp(-age / SLOWNESS_DECAY_SECONDS)

    def measure_overdue_ratio(self, now):
        """Return the ratio of the oldest send's duration to the expected one."""
        if not self.sent:
            return 0.0
        oldest = next(iter(self.sent))
        return (now - oldest.started) / oldest.expected

    def record_suspicion(self, ratio, now):
        """Add another node's report of an overdue answer.

        Notes
        -----
        Reports add up: one overdue answer is weak evidence, three at once are strong.
        """
        previous = self.measure_suspicion(now)
        self.suspicion = min(MAX_SUSPICION, previous + SUSPICION_WEIGHT * (ratio - 1))
        self.suspected_at = now

    def measure_suspicion(self, now):
        """Return the slowness reported by other nodes, reduced with its age."""
        if not self.suspicion:
            return 0.0
        suspicion = self.suspicion * exp(
            (self.suspected_at - now) / SUSPICION_DECAY_SECONDS
        )
        if suspicion < MIN_SUSPICION:
            self.suspicion = 0.0
        return suspicion

    def estimate_wait(self, now):
        """Return the expected time to an answer, in median latencies.

        Notes
        -----
        An overdue answer counts immediately, a finished one only through the running
        mean. A failing endpoint scores as slower by its share of faults, whatever load
        it reports.
        """
        slowness = max(
            self.measure_slowness(now),
            self.measure_overdue_ratio(now),
            1 + self.measure_suspicion(now),
        )
        occupied = len(self.sent) + self.estimate_peer_load(now)
        wait = 1 + occupied / self.slots
        if occupied >= self.slots:
            wait += (occupied + 1 - self.slots) / self.slots
        wait *= slowness * (1 + FAULT_PENALTY * self.health.fault_share)
        return (wait + self.distance) / self.measure_warmth(now)

    def measure_warmth(self, now):
        """Return the share of its full load that an endpoint in slow start may get."""
        if self.cold_since is None:
            return 1.0
        age = now - self.cold_since
        if age >= SLOW_START_SECONDS:
            self.cold_since = None
            return 1.0
        return (
            MIN_SLOW_START_SHARE + (1 - MIN_SLOW_START_SHARE) * age / SLOW_START_SECONDS
        )

    def serves_route(self, route):
        """Return whether the endpoint's region may serve a route."""
        return not route.homes or self.region in route.homes

    def is_within_limit(self, now):
        """Return whether the endpoint's rate limit allows another request.

        Notes
        -----
        The limit applies to each send, also to retries and hedges: an overloaded
        endpoint that accepts three requests a second from all nodes must not get nine.
        """
        limits = self.limits
        if limits is None or not limits.limited:
            return True
        return limits.allows(self.identity, now)

    def is_limited(self):
        """Return whether the endpoint reports a rate limit."""
        return self.limits is not None and self.identity in self.limits.limited

    def is_draining(self, now):
        """Return whether the endpoint is draining and accepts no new requests."""
        return now < self.draining_until or self.availability.is_leaving(now)
