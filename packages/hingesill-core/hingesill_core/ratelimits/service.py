"""What the endpoints of one service still take, at one node."""

from math import inf

from msgspec import Struct
from msgspec.structs import replace

from hingesill_core.ratelimits.grants import PAUSE_SECONDS, AskPace, HeldGrants
from hingesill_core.ratelimits.ledger import GrantLedger, GrantRun
from hingesill_core.ratelimits.share import FleetShare
from hingesill_core.ratelimits.words import LimitBook, LimitWord

__all__ = ["GrantAsk", "LimitChange", "ServiceLimits"]

# What an endpoint takes at the least in the eyes of the coordinator, requests a second,
# where only an answer to a request can tell that its need is over.
LEAST_TRIED_RATE = 0.25
# Between two requests with which a node looks whether a need is over.
TRIAL_SECONDS = 1.0
# The endpoint that had named a limit is not there any more.
GONE = "gone"
# A coordinator that didn't reply twice in a row is passed over for so long.
LOST_IN_A_ROW = 2
SILENT_SECONDS = 2.0
# The node that grants when the first one doesn't reply grants less: some nodes may
# still reach that one, and both together must stay below what counts as kept.
SECOND_PART = 0.5
# After so long without a word of its own a limited endpoint is asked.
UNHEARD_SECONDS = 0.5
# A caller that is refused is told to come back after so long at the least.
SHORTEST_WAIT = 0.05


class GrantAsk(Struct, frozen=True):
    """Ask a coordinator for grants."""

    node: tuple
    number: int
    wanted: int
    horizon: float


class LimitChange(Struct, frozen=True):
    """An endpoint's limit began, changed or ended, as far as this node knows."""

    service: str
    word: LimitWord
    before: float | None
    source: str


class ServiceLimits:
    """Keeps the limits that endpoints of a service name, together with other nodes.

    A first node of the fleet, found by hashing, grants what the endpoints take, one
    request after another, and the others ask it ahead of need: so the limit holds
    whatever the number of nodes, nothing is saved up while callers rest, and a node
    with most of the callers gets most of it. While no coordinator replies, each node
    takes an even part by chance.

    Parameters
    ----------
    name : str
        Of the service.
    rng : random.Random
        For all choices.
    observe : callable
        Called with each LimitChange.

    Attributes
    ----------
    limited : dict
        Requests a second by identity, of the endpoints that name a limit now. It is
        looked at for each request, so it is changed in place and never replaced.
    coordinators : list
        Addresses of the nodes that grant, the first one first.
    own : tuple or None
        The node's own address; None if it can't be reached by others.
    nodes : int
        That share the limits.
    usable : callable
        Tells by identity and time whether an endpoint takes any work.
    ask_node : callable
        Carries out a GrantAsk.
    """

    def __init__(self, name, rng, observe=lambda change: None):
        self.name = name
        self.rng = rng
        self.observe = observe
        self.book = LimitBook()
        self.limited = self.book.limited
        self.ledger = GrantLedger(rng)
        self.held = HeldGrants()
        self.pace = AskPace()
        self.share = FleetShare()
        self.coordinators = []
        self.own = None
        self.nodes = 1
        self.usable = lambda endpoint, now: True
        self.ask_node = lambda ask: None
        # Only once an answer to a question has named a limit, one that doesn't says
        # that there is none.
        self.is_in_health = False
        # The life by identity of the endpoints that are there, once that is known.
        self.lives = None
        self._tried_at = float("-inf")
        self._denied_until = float("-inf")
        self._wait_until = float("-inf")
        self._lost = 0
        self._silent = {}

    def note(self, endpoint, born, per_second, sent_at, now, is_health=False):
        """Take what an answer of an endpoint named, or that it named nothing.

        Parameters
        ----------
        endpoint : str
            Its identity.
        born : int
            The life that answered.
        per_second : float or None
            The limit.
        sent_at, now : float
            When the request was sent and its answer's head was read.
        is_health : bool
            It was an answer to a question for its load.
        """
        if per_second is None and not self.limited:
            return
        if is_health and per_second is not None:
            self.is_in_health = True
        if is_health and not self.is_in_health:
            return
        word = LimitWord(endpoint, born, per_second, sent_at, now)
        self.take(word, "health" if is_health else "answer")

    def take(self, word, source):
        """Take a word; return whether the endpoint's limit changed by it."""
        lives = self.lives or {}
        if lives.get(word.endpoint, word.born) != word.born:
            return False
        held = self.book.get(word.endpoint)
        if not self.book.take(word):
            return False
        before = None if held is None else held.per_second
        if word.per_second is None:
            self.held.drop(word.endpoint)
        self.observe(LimitChange(self.name, word, before, source))
        return True

    def has_same(self, word):
        """Tell whether a word says nothing else than what is known."""
        held = self.book.get(word.endpoint)
        return (
            held is not None
            and held.born == word.born
            and held.per_second == word.per_second
        )

    def keep(self, lives):
        """Forget what endpoints said that are gone.

        Parameters
        ----------
        lives : dict
            The life by identity of the endpoints that are there.
        """
        self.lives = lives
        for word in self.book.keep(lives):
            self.held.drop(word.endpoint)
            if word.per_second is not None:
                ended = replace(word, per_second=None)
                self.observe(LimitChange(self.name, ended, word.per_second, GONE))

    def is_first(self):
        """Tell whether this node grants before all others."""
        return self.own is not None and self.coordinators[:1] == [self.own]

    def list_unheard(self, now):
        """Return endpoints that named a limit and were not heard of lately."""
        return [
            word.endpoint
            for word in self.book.list_limited()
            if now - word.latest > UNHEARD_SECONDS
        ]

    def allows(self, endpoint, now):
        """Tell whether a request may be sent to an endpoint now."""
        return endpoint not in self.limited or self.held.find(endpoint, now) is not None

    def use(self, endpoint, now):
        """Count a request that is sent to an endpoint."""
        if endpoint not in self.limited:
            return
        grant = self.held.find(endpoint, now)
        if grant is not None:
            self.held.use(grant)

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
        at = self._get_earliest(now)
        times += [at] * (len(untils) - len(times))
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
        if not self.limited:
            return
        self._note_lost_ask(now)
        wanted = self.pace.count_wanted(waiting, self.held.count(now), now)
        if wanted > 0 and now >= self._denied_until and not self.pace.is_open(now):
            self._get_granted(wanted, patience, now)

    def want_trial(self, now):
        """See to it that limited endpoints get a request now and then.

        Notes
        -----
        Where answers to questions name no limits, only an answer to a request tells
        that the need is over, and others may have room for all requests.
        """
        if self.is_in_health or now - self._tried_at < TRIAL_SECONDS:
            return
        self._tried_at = now
        self.want(1, PAUSE_SECONDS, now)

    def _get_granted(self, wanted, patience, now):
        coordinator = self._find_coordinator(now)
        if coordinator is None:
            self._take_share(now)
        elif not self.pace.take_turn(now):
            return
        elif coordinator == self.own:
            horizon = self.pace.choose_horizon(patience, now)
            self._take_granted(self.grant(wanted, horizon, now), now)
        else:
            horizon = self.pace.choose_horizon(patience, now)
            number = self.pace.begin(now)
            self.ask_node(GrantAsk(coordinator, number, wanted, horizon))

    def _find_coordinator(self, now):
        """Return whom to ask: this node itself, another one, or None."""
        if self.own is None:
            return None
        for node in self.coordinators:
            if node == self.own or self._silent.get(node, now) <= now:
                return node
        return None

    def _note_lost_ask(self, now):
        if not self.pace.take_lost(now):
            return
        self._lost += 1
        if self._lost >= LOST_IN_A_ROW:
            self._lost = 0
            coordinator = self._find_coordinator(now)
            if coordinator is not None:
                self._silent[coordinator] = now + SILENT_SECONDS

    def _take_share(self, now):
        """Take this node's part of what the endpoints allow, by chance."""
        rates = self._list_rates(now)
        total = sum(rates.values())
        if self.share.take(total, self.nodes, now, self.rng):
            names = list(rates)
            endpoint = self.rng.choices(names, list(rates.values()))[0]
            self.held.add(GrantRun(endpoint, 0.0, 0.0, 1), now)
            return
        self._deny(SHORTEST_WAIT, self.nodes / total if total else SILENT_SECONDS, now)

    def grant(self, wanted, horizon, now):
        """Return the Granted for a node that wants grants, as a coordinator does."""
        return self.ledger.grant(self._list_rates(now), wanted, horizon, now)

    def _list_rates(self, now):
        """Return what this node gives out a second, by endpoint."""
        part = SECOND_PART if self._is_second() else 1.0
        least = 0.0 if self.is_in_health else LEAST_TRIED_RATE
        return {
            endpoint: max(part * rate, least)
            for endpoint, rate in self.limited.items()
            if self.usable(endpoint, now)
        }

    def _is_second(self):
        return bool(self.coordinators) and not self.is_first()

    def take_reply(self, number, granted, pause, now):
        """Take what a coordinator granted; return whether it was waited for."""
        if not self.pace.end(number, now):
            return False
        self._lost = 0
        self.pace.pause = pause
        self._take_granted(granted, now)
        return True

    def _take_granted(self, granted, now):
        for run in granted.runs:
            self.held.add(run, now)
        if granted.again_in > 0 or granted.wait > 0:
            self._deny(granted.again_in, granted.wait, now)

    def _deny(self, again_in, wait, now):
        """Refuse what has no grant until some may come with the next ask."""
        self._denied_until = now + max(again_in, self.pace.get_pause(now))
        self._wait_until = now + max(SHORTEST_WAIT, wait)
