"""Requests grants from coordinators for the requests that wait."""

from math import inf

from msgspec import Struct

from hingesill_core.ratelimits.grants import PAUSE_SECONDS, GrantPool, GrantRequestPace
from hingesill_core.ratelimits.grantscheduler import GrantRun
from hingesill_core.ratelimits.randomadmission import RandomAdmission

__all__ = ["PendingGrantRequest", "GrantClient"]

# Interval of trial requests that find out whether a limit has ended, in seconds.
TRIAL_SECONDS = 1.0
# Lost requests in a row after which a coordinator is skipped, and for how many seconds.
LOST_IN_A_ROW = 2
SILENT_SECONDS = 2.0
# Shortest Retry-After of a refusal, in seconds.
SHORTEST_WAIT = 0.05


class PendingGrantRequest(Struct, frozen=True):
    """Ask a coordinator for grants.

    Parameters
    ----------
    node : tuple
        IP number and port of the coordinator.
    number : int
        Of this node's asks.
    wanted : int
        How many.
    horizon : float
        Seconds within which they are of use.
    """

    node: tuple
    number: int
    wanted: int
    horizon: float


class GrantClient:
    """Gets grants for the requests of one service at one node.

    Parameters
    ----------
    limits : ServiceLimits
        Of the service.
    rng : random.Random
        For what is taken by chance.

    Attributes
    ----------
    held : GrantPool
        That were not used yet.
    pace : GrantRequestPace
        When this node may ask.
    nodes : int
        That share the limits.
    ask_node : callable
        Carries out a PendingGrantRequest.
    """

    def __init__(self, limits, rng):
        self.limits = limits
        self.rng = rng
        self.held = GrantPool()
        self.pace = GrantRequestPace()
        self.share = RandomAdmission()
        self.nodes = 1
        self.ask_node = lambda ask: None
        self._asked = None
        self._lost = 0
        self._silent = {}
        self._tried_at = float("-inf")
        self._denied_until = float("-inf")
        self._wait_until = float("-inf")

    def record_request(self, now):
        """Count a request that needs a grant."""
        self.pace.record_request(now)

    def record_change(self, report, before):
        """Take that an endpoint names another limit.

        Parameters
        ----------
        word : ReportedLimit
            What it names now.
        before : float or None
            Requests a second that it named before.

        Notes
        -----
        What was granted of a higher limit is of no use any more, and what was refused
        by the old one may be granted now.
        """
        self._denied_until = float("-inf")
        is_higher = before is None or (report.per_second or 0.0) >= before
        if report.per_second is None or not is_higher:
            self.held.drop(report.endpoint)

    def want(self, waiting, patience, now):
        """See to it that grants come for requests that wait for one.

        Parameters
        ----------
        waiting : int
            How many.
        patience : float
            Seconds for which they wait at the longest.
        now : float
            Seconds of the node's clock.
        """
        if not self.limits.limited:
            return
        self._note_lost_ask(now)
        wanted = self.pace.count_wanted(waiting, self.held.count(now), now)
        if wanted > 0 and now >= self._denied_until and not self.pace.is_open(now):
            self._get_granted(wanted, patience, now)

    def request_trial_grant(self, now):
        """See to it that limited endpoints get a request now and then.

        Notes
        -----
        Where answers to questions name no limits, only an answer to a request tells
        that the need is over, and others may have room for all requests.
        """
        if self.limits.is_in_health or now - self._tried_at < TRIAL_SECONDS:
            return
        self._tried_at = now
        self.want(1, PAUSE_SECONDS, now)

    def _get_granted(self, wanted, patience, now):
        coordinator = self._find_coordinator(now)
        if coordinator is None:
            self._take_share(now)
            return
        if not self.pace.take_turn(now):
            return
        horizon = self.pace.choose_horizon(patience, now)
        if coordinator == self.limits.own:
            excluded = self.limits.list_avoided(now)
            self._take_granted(self.limits.grant(wanted, horizon, now, excluded), now)
            return
        self._asked = coordinator
        number = self.pace.begin(now)
        self.ask_node(PendingGrantRequest(coordinator, number, wanted, horizon))

    def _find_coordinator(self, now):
        """Return whom to ask: this node itself, another one, or None."""
        own = self.limits.own
        if own is None:
            return None
        for node in self.limits.coordinators:
            if node == own or self._silent.get(node, now) <= now:
                return node
        return None

    def _note_lost_ask(self, now):
        """Pass a coordinator over that didn't reply several times in a row."""
        if not self.pace.take_lost(now):
            return
        self._lost += 1
        if self._lost >= LOST_IN_A_ROW:
            self._lost = 0
            self._silent[self._asked] = now + SILENT_SECONDS

    def _take_share(self, now):
        """Take this node's part of what the endpoints allow, by chance."""
        excluded = self.limits.list_avoided(now)
        rates = self.limits.list_rates()
        rates = {name: rate for name, rate in rates.items() if name not in excluded}
        total = sum(rates.values())
        if self.share.take(total, self.nodes, now, self.rng):
            endpoint = self.rng.choices(list(rates), list(rates.values()))[0]
            self.held.add(GrantRun(endpoint, 0.0, 0.0, 1), now)
            return
        self._deny(SHORTEST_WAIT, self.nodes / total if total else SILENT_SECONDS, now)

    def take_reply(self, number, granted, pause, now):
        """Take what a coordinator granted.

        Parameters
        ----------
        number : int
            Of the ask; others than the last one are passed over, and late replies.
        granted : Granted
            What it gives.
        pause : float
            Seconds between two asks.
        now : float
            The time.
        """
        if not self.pace.end(number, now):
            return
        self._lost = 0
        self.pace.pause = pause
        self._take_granted(granted, now)

    def _take_granted(self, granted, now):
        for run in granted.runs:
            self.held.add(run, now)
        if granted.retry_after > 0 or granted.wait > 0:
            self._deny(granted.retry_after, granted.wait, now)

    def _deny(self, retry_after, wait, now):
        """Refuse what has no grant until some may come with the next ask."""
        self._denied_until = now + max(retry_after, self.pace.get_pause(now))
        self._wait_until = now + max(SHORTEST_WAIT, wait)

    def list_surplus(self, untils, now):
        """Return the indices of waiting requests that get no grant in time.

        Parameters
        ----------
        untils : list of float
            Until when each one waits, the most urgent one first.
        now : float
            Seconds of the node's clock.
        """
        times = self.held.list_times(now)
        times += [self._get_earliest(now)] * (len(untils) - len(times))
        return [index for index, until in enumerate(untils) if times[index] > until]

    def _get_earliest(self, now):
        """Return from when on more grants than those that are held may be used."""
        if self.pace.is_open(now):
            return now
        if now < self._denied_until:
            return inf
        return now + self.pace.get_pause(now)

    def get_wait(self, now):
        """Return the seconds until a request that is refused now may be granted."""
        return max(0.0, self._wait_until - now)
