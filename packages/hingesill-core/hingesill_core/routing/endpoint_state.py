"""What a node knows of an endpoint, from its own traffic and from reports."""

from collections import OrderedDict
from math import exp

from msgspec import Struct, field

from hingesill_core.ratelimits.randomadmission import RandomAdmission
from hingesill_core.ratelimits.service import ServiceLimits
from hingesill_core.routing.availability import Availability
from hingesill_core.routing.health import Health
from hingesill_core.routing.messages import SendStatus

__all__ = ["EndpointState", "ServiceView"]

SLOWNESS_WEIGHT = 0.2
MOST_SLOWNESS = 100.0
SLOWNESS_DECAY = 0.25
REPORT_DECAY = 0.02
OTHERS_WEIGHT = 0.05
RATIO_STEP = 0.1
USUAL_SHARE = 0.9
LEAST_SUSPICIOUS = 2.2
BEYOND_USUAL = 1.6
SUSPICION_DECAY = 0.03
SUSPICION_WEIGHT = 0.5
MOST_SUSPICION = 20.0
LEAST_SUSPICION = 0.05
SLOW_START = 2.0
SLOW_START_FLOOR = 0.25
FAULT_PENALTY = 10.0
# Pause after a refusal, in seconds.
REFUSED_PAUSE = 0.01
WAIT_FOR_REPEATABLE = 5.0
FAILED_ASKS = 2
LONGEST_UNREACHED = 1.0


def build_reach():
    """Return the record of questions that an endpoint did not answer.

    Notes
    -----
    A trial is one more question and harms no request, so the endpoint is tried
    again soon; two failures in a row are needed as one packet may be lost.
    """
    return Health(failures_to_eject=FAILED_ASKS, longest=LONGEST_UNREACHED)


class ServiceView(Struct):
    """What the endpoints of a service have in common at one node.

    Attributes
    ----------
    others : float
        Mean number of other nodes' requests at an endpoint.
    turns : int
        Sends of this node so far.
    usual_ratio : float
        Nine in ten answers take at most so many times the expected time.
    """

    others: float = 0.0
    turns: int = 0
    usual_ratio: float = 1.5

    def record_ratio(self, ratio):
        """Take how many times longer than expected an answer took."""
        if ratio > self.usual_ratio:
            self.usual_ratio += RATIO_STEP * USUAL_SHARE
        else:
            self.usual_ratio -= RATIO_STEP * (1 - USUAL_SHARE)

    def get_suspicious_ratio(self):
        """Return the ratio from which an answer is worth telling others of.

        Notes
        -----
        Under load many answers take long everywhere. What nine in ten stay
        below is no sign that one endpoint is slower than the rest.
        """
        return max(LEAST_SUSPICIOUS, BEYOND_USUAL * self.usual_ratio)

    def record_report(self, report):
        """Take a report into the mean."""
        others = max(0, report.running - report.own_in_flight)
        self.others += OTHERS_WEIGHT * (others - self.others)


class EndpointState(Struct, eq=False):
    """One endpoint of a service as one node sees it; times in seconds.

    Attributes
    ----------
    born : int
        Of which life of the endpoint it is the state.
    slowness : float
        Running mean of how many times longer than typical for their route its
        answers take.
    sent : OrderedDict
        Sends in flight, the oldest first.
    turn : int
        The number of its last send among all of the service's.
    availability : Availability
        What this life of the endpoint said on new requests.
    draining_until : float
        Until when it is leaving by the word of others.
    suspicion, suspected_at : float
        What other nodes told of overdue answers, and when it was reckoned.
    queried_at : float
        When it was last asked for its load.
    region : str
        Where it runs; empty if that is not known.
    distance : float
        Way to its data centre and back, in typical answers' times.
    warm_at, warm_up_reported_at : float
        Until when it is cold by its last word, and when that word came.
    entered_warm_in, is_entry_new : float, bool
        Seconds for which it was cold when its entry was written, and whether that
        has not been looked at yet.
    last_send_at : float
        When this node last sent there.
    limits : ServiceLimits or None
        Of the service: what its endpoints in need still take.
    cold_share : RandomAdmission
        This node's part of what it bears while it is cold.
    """

    identity: str
    slots: int = 1
    send_limit: int = 1
    is_near: bool = True
    region: str = ""
    distance: float = 0.0
    slowness: float = 1.0
    report: object = None
    common: ServiceView = field(default_factory=ServiceView)
    sent: OrderedDict = field(default_factory=OrderedDict)
    turn: int = 0
    availability: Availability = field(default_factory=Availability)
    draining_until: float = 0.0
    suspicion: float = 0.0
    suspected_at: float = 0.0
    cold_since: float | None = None
    last_heard: float | None = None
    last_probe: float = 0.0
    queried_at: float = float("-inf")
    warm_at: float = float("-inf")
    warm_up_reported_at: float = float("-inf")
    entered_warm_in: float = 0.0
    is_entry_new: bool = False
    last_send_at: float = float("-inf")
    health: Health = field(default_factory=Health)
    reach: Health = field(default_factory=build_reach)
    born: int = 0
    limits: ServiceLimits | None = None
    cold_share: RandomAdmission = field(default_factory=RandomAdmission)

    @property
    def in_flight(self):
        """How many of this node's sends await their end."""
        return len(self.sent)

    def begin(self, send, now):
        """Note the start of a send."""
        self.sent[send] = None
        self.last_send_at = now
        if self.limits is not None:
            self.limits.use(self.identity, now)
        self.common.turns += 1
        self.turn = self.common.turns
        if self.health.is_trial_due(now):
            self.health.trial_in_flight = True

    def record_warm_up(self, warm_in, now):
        """Take its own word on how long it stays cold, in seconds."""
        self.warm_at = now + warm_in
        self.warm_up_reported_at = now

    def record_entry(self, warm_in):
        """Take what its entry says of its warmth, in seconds from the entry's write."""
        if warm_in != self.entered_warm_in:
            self.entered_warm_in = warm_in
            self.is_entry_new = True

    def finish(self, send):
        """Note the end of a send."""
        self.sent.pop(send, None)

    def learn(self, result, seconds, expected, now):
        """Take what the end of a send tells of load and state.

        Parameters
        ----------
        result : SendResult
            What became of the send.
        seconds, expected : float
            How long it took and how long its route typically takes.
        now : float
            The time.
        """
        if result.report is not None:
            self.report = result.report
            self.common.record_report(result.report)
            self.last_heard = now
        ratio = min(MOST_SLOWNESS, seconds / expected)
        if result.end is SendStatus.ANSWERED:
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
            self.common.record_ratio(ratio)
            self.last_heard = now
        elif result.end is SendStatus.CANCELLED and ratio > self.slowness:
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        elif result.end is SendStatus.REFUSED:
            self.availability.record_backoff(REFUSED_PAUSE, now)

    def has_place(self, ticket, now):
        """Tell whether a request may be sent there now.

        Notes
        -----
        A trial after an ejection is a repeatable request if it can be one. A
        deferrable request leaves the last slot to live ones.
        """
        if len(self.sent) >= self.send_limit or self.is_draining(now):
            return False
        if not self.availability.takes_requests(now):
            return False
        if not self.is_home_of(ticket.route):
            return False
        if not self.is_within_limit(now):
            return False
        health = self.health
        if health.ejected_until:
            return self.accepts_trial(ticket, now)
        if not ticket.route.live and self.slots > 1:
            occupied = len(self.sent) + self.estimate_others(now)
            return occupied + 1 < self.slots
        return True

    def accepts_trial(self, ticket, now):
        """Tell whether a request may try an endpoint that was ejected."""
        if not self.health.is_trial_due(now):
            return False
        waited = now - self.health.ejected_until
        return ticket.route.repeatable or waited > WAIT_FOR_REPEATABLE

    def estimate_others(self, now):
        """Return how many requests of other nodes occupy the endpoint.

        Notes
        -----
        The node's own share is taken out of the report. What remains tends
        with its age to the mean of all endpoints: an endpoint that was not
        heard of for long is an average one, not an idle one.
        """
        mean = self.common.others
        report = self.report
        if report is None:
            return mean
        others = max(0, report.running - report.own_in_flight)
        return mean + (others - mean) * exp((report.received_at - now) / REPORT_DECAY)

    def predict_load(self, now):
        """Return how many times longer than unloaded an answer should take."""
        occupied = len(self.sent) + self.estimate_others(now)
        return 1 + max(0.0, occupied + 1 - self.slots) / self.slots

    def measure_slowness(self, now):
        """Return the mean slowness, less with the age of the last answer.

        Notes
        -----
        An endpoint that nobody sends to because it was slow gives no answer that
        could tell that it no longer is.
        """
        if self.last_heard is None:
            return 1.0
        age = now - self.last_heard
        return 1 + (self.slowness - 1) * exp(-age / SLOWNESS_DECAY)

    def measure_overdue(self, now):
        """Return how many times longer than typical the oldest send has taken."""
        if not self.sent:
            return 0.0
        oldest = next(iter(self.sent))
        return (now - oldest.started) / oldest.expected

    def record_suspicion(self, ratio, now):
        """Add another node's word on an answer that takes long.

        Notes
        -----
        One such answer says little, three at once say much; so they add up.
        """
        held = self.measure_suspicion(now)
        self.suspicion = min(MOST_SUSPICION, held + SUSPICION_WEIGHT * (ratio - 1))
        self.suspected_at = now

    def measure_suspicion(self, now):
        """Return what other nodes told of slowness, less with its age."""
        if not self.suspicion:
            return 0.0
        suspicion = self.suspicion * exp((self.suspected_at - now) / SUSPICION_DECAY)
        if suspicion < LEAST_SUSPICION:
            self.suspicion = 0.0
        return suspicion

    def estimate_wait(self, now):
        """Return the expected time to an answer, in typical answers' times.

        Notes
        -----
        An answer that is overdue now counts at once, a finished one only
        through the running mean. An endpoint that fails looks slower by its
        share of faults, whatever load it reports.
        """
        slowness = max(
            self.measure_slowness(now),
            self.measure_overdue(now),
            1 + self.measure_suspicion(now),
        )
        occupied = len(self.sent) + self.estimate_others(now)
        wait = 1 + occupied / self.slots
        if occupied >= self.slots:
            wait += (occupied + 1 - self.slots) / self.slots
        wait *= slowness * (1 + FAULT_PENALTY * self.health.fault_share)
        return (wait + self.distance) / self.measure_warmth(now)

    def measure_warmth(self, now):
        """Return the share of its full load that a started endpoint may take."""
        if self.cold_since is None:
            return 1.0
        age = now - self.cold_since
        if age >= SLOW_START:
            self.cold_since = None
            return 1.0
        return SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * age / SLOW_START

    def is_home_of(self, route):
        """Tell whether a route's requests may be sent there at all."""
        return not route.homes or self.region in route.homes

    def is_within_limit(self, now):
        """Tell whether the limit that it may have named leaves room for a request.

        Notes
        -----
        It is looked at for each send, also retries and hedges: an endpoint in need that
        takes three requests a second from all nodes must not get nine.
        """
        limits = self.limits
        if limits is None or not limits.limited:
            return True
        return limits.allows(self.identity, now)

    def is_limited(self):
        """Tell whether it names a limit."""
        return self.limits is not None and self.identity in self.limits.limited

    def is_draining(self, now):
        """Tell whether the endpoint takes no new work."""
        return now < self.draining_until or self.availability.is_leaving(now)
