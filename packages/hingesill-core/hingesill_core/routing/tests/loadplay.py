"""Plays a written load against dispatchers in virtual time, without a network.

Callers send to nodes at random, each node decides with a real dispatcher and its part
of the fleet's budgets, and endpoints work in slots. What callers got is what counts.
"""

import heapq
import random
from bisect import bisect_left, bisect_right
from itertools import count

from msgspec import Struct, field

from hingesill_core.configuration.services import Endpoint, ProbeBudget, Service
from hingesill_core.limits.asking import AskBudget
from hingesill_core.limits.spent import SpentTime
from hingesill_core.reasons import Outcome
from hingesill_core.routing.asking import Ask, Reply
from hingesill_core.routing.dispatcher import Dispatcher, FleetView
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import (
    Refusal,
    Send,
    SendEnd,
    SendResult,
    Ticket,
)
from hingesill_core.routing.tests.loads import Request, Spell

__all__ = ["Play"]

DATA_CENTRES = 6
SLOTS = 3
QUEUE = 6
NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.0014
PROBE_SECONDS = 0.001
ROUND_SECONDS = 0.015
NO_CONNECTION_SECONDS = 1.0
MOST_TRIES = 3
# A node reports what it has learnt to the relay of its data centre.
FIRST_REPORT_SECONDS = 1.5
REPORT_SECONDS = 8.0
# A relay tells the fleet what is worth telling, by way of the store.
REVIEW_SECONDS = 1.5
TELLING_SECONDS = 0.05
# Work times spread like the logarithm of a normal value.
WORK_SPREAD = 0.3
# With three slots taken work takes longer.
KNEE_FACTOR = 1.7


class PlayedEndpoint:
    """An endpoint with slots and a queue."""

    def __init__(self, play, number):
        self.play = play
        self.number = number
        self.place = number / play.load.endpoints
        self.identity = f"i{number:04}"
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.running = {}
        self.queue = []
        self.arrivals = []

    def find_spell(self):
        """Return the Spell that is on now, or None."""
        for spell in self.play.load.spells:
            is_on = spell.begin <= self.play.now < spell.end
            if is_on and spell.first <= self.place < spell.last:
                return spell
        return None

    def report(self):
        """Return its word on its load."""
        taken = len(self.running) + len(self.queue)
        return LoadReport(taken, self.play.now, 0, SLOTS)

    def get_warm_in(self):
        """Return the seconds for which it is cold."""
        spell = self.find_spell()
        return spell.end - self.play.now if spell is not None and spell.cold else 0.0

    def is_ill(self):
        """Tell whether it says that it is not well."""
        spell = self.find_spell()
        return spell is not None and spell.ill

    def arrive(self, node, send):
        """Take a request, or refuse it."""
        self.arrivals.append(self.play.now)
        spell = self.find_spell()
        is_shed = spell is not None and self.play.rng.random() < spell.shed
        if spell is not None and spell.down:
            self._tell(node, send, SendEnd.LOST)
        elif is_shed or len(self.queue) >= QUEUE:
            self._tell(node, send, SendEnd.REFUSED)
        elif len(self.running) < SLOTS:
            self._begin(node, send)
        else:
            self.queue.append((node, send))

    def _begin(self, node, send):
        self.running[send] = node
        spell = self.find_spell()
        kind = self.play.kinds[send.ticket.route]
        seconds = kind.work * self.play.rng.lognormvariate(0.0, WORK_SPREAD)
        seconds *= spell.slowness if spell else 1.0
        seconds *= KNEE_FACTOR if len(self.running) == SLOTS else 1.0
        self.play.after(seconds, self._finish, node, send)

    def _finish(self, node, send):
        if send not in self.running:
            return
        self._free(send)
        spell = self.find_spell() or Spell(0.0, 0.0)
        luck = self.play.rng.random()
        if luck < spell.broken:
            self._tell(node, send, SendEnd.LOST)
        elif luck >= spell.broken + spell.lost:
            self._tell(node, send, SendEnd.ANSWERED)

    def _free(self, send):
        del self.running[send]
        if self.queue:
            self._begin(*self.queue.pop(0))

    def cancel(self, send):
        """Stop the work on a request whose connection is closed."""
        if send in self.running:
            self._free(send)
        self.queue = [item for item in self.queue if item[1] is not send]

    def _tell(self, node, send, end):
        way = self.play.get_way(node, self)
        self.play.after(way, node.end, send, SendResult(end, self.report()))


class Attempt(Struct, eq=False):
    """One try of a request at one node."""

    request: Request
    ticket: Ticket
    live: list = field(default_factory=list)
    sends: int = 0
    is_open: bool = True


class PlayedNode:
    """A node: its dispatcher, and what its green threads would do."""

    def __init__(self, play, number):
        load = play.load
        self.play = play
        self.data_centre = f"dc{number % DATA_CENTRES}"
        fleet = FleetView(self.data_centre, load.nodes, 2 * load.nodes, number)
        rng = random.Random(play.rng.random())
        self.dispatcher = Dispatcher(play.service, fleet, rng, AskBudget())
        self.spent = SpentTime()
        self.attempts = {}
        self.is_ticking = False
        self.is_alive = True

    @property
    def slots(self):
        """What it knows of the endpoints' slots."""
        return self.dispatcher.fresh.slots

    def submit(self, request):
        """Take a caller's try."""
        now = self.play.now
        route = request.kind.route
        left = request.deadline - now
        spent = self.spent.estimate(route, left)
        deadline = now + min(left, route.timeout)
        ticket = Ticket(route, now, deadline, spent=spent)
        attempt = self.attempts[ticket] = Attempt(request, ticket)
        self.play.after(deadline - now, self._expire, attempt)
        self._act(attempt, self.dispatcher.submit(ticket, now))

    def _act(self, attempt, decision):
        if isinstance(decision, Ask):
            self._ask(decision)
        elif isinstance(decision, Refusal):
            self._refuse(attempt, decision)
        else:
            self._start(attempt, decision)

    def _ask(self, ask):
        for identity in ask.endpoints:
            endpoint = self.play.endpoints[identity]
            way = self.play.get_way(self, endpoint)
            self.play.after(way + PROBE_SECONDS, self._look_at, endpoint, way)
        if not self.is_ticking:
            self.is_ticking = True
            self.play.after(ROUND_SECONDS, self._tick)

    def _look_at(self, endpoint, way):
        reply = Reply(
            endpoint.identity,
            SendEnd.ANSWERED,
            endpoint.report(),
            endpoint.get_warm_in(),
            endpoint.is_ill(),
        )
        self.play.after(way, self._take, reply)

    def _take(self, reply):
        if not self.is_alive:
            return
        send = self.dispatcher.fresh.take(reply, self.play.now)
        if send is not None:
            self._start(self.attempts[send.ticket], send)

    def _tick(self):
        """Give up on requests in time, and ask again for those that wait."""
        if not self.is_alive:
            return
        now = self.play.now
        fresh = self.dispatcher.fresh
        for ticket, decision in fresh.expire(now):
            attempt = self.attempts[ticket]
            if attempt.live:
                self.dispatcher.hedging.end(ticket)
            else:
                self._act(attempt, decision)
        ask = fresh.ask_again(now)
        self.is_ticking = bool(fresh.waiting)
        if ask is not None:
            self.is_ticking = True
            self._ask(ask)
        if self.is_ticking:
            self.play.after(ROUND_SECONDS, self._tick)

    def _start(self, attempt, send):
        endpoint = self.play.endpoints[send.endpoint]
        attempt.live.append(send)
        attempt.sends += 1
        self.play.note_send(is_extra=attempt.sends > 1)
        self.play.after(self.play.get_way(self, endpoint), endpoint.arrive, self, send)
        if attempt.ticket.route.repeatable:
            overdue = self.dispatcher.hedging.get_overdue_time(send)
            self.play.after(overdue, self._hedge, attempt, send)

    def _hedge(self, attempt, send):
        """Try a second send while the last one has no answer."""
        if not self.is_alive or not attempt.is_open or attempt.live[-1:] != [send]:
            return
        hedging = self.dispatcher.hedging
        now = self.play.now
        decision = hedging.start(attempt.ticket, now)
        if isinstance(decision, Ask):
            self._ask(decision)
        elif isinstance(decision, Send):
            self._start(attempt, decision)
        again = hedging.get_next_try(attempt.ticket, now)
        if again < attempt.ticket.deadline:
            self.play.after(again - now, self._hedge, attempt, send)

    def end(self, send, result):
        """Take the end of a send."""
        attempt = self.attempts.get(send.ticket)
        if not self.is_alive or attempt is None or send not in attempt.live:
            return
        attempt.live.remove(send)
        now = self.play.now
        self.dispatcher.settle(send, result, now)
        if result.end is SendEnd.ANSWERED:
            self._close(attempt)
            self.play.answer(attempt.request)
            self._take(Reply(send.endpoint, SendEnd.ANSWERED, result.report))
        elif not attempt.live:
            self.dispatcher.fresh.leave(attempt.ticket)
            decision, _ = self.dispatcher.retry(attempt.ticket, result.end, now)
            self._act(attempt, decision)

    def _refuse(self, attempt, refusal):
        self._close(attempt)
        self.play.refuse(attempt, refusal)

    def _expire(self, attempt):
        """End a try whose time is over."""
        if self.is_alive and attempt.is_open:
            self._close(attempt, SendEnd.LATE)
            self.play.refuse(attempt, None)

    def _close(self, attempt, end=SendEnd.CANCELLED):
        """Cancel what is still under way."""
        attempt.is_open = False
        self.dispatcher.fresh.leave(attempt.ticket)
        for send in attempt.live:
            self.play.endpoints[send.endpoint].cancel(send)
            self.dispatcher.settle(send, SendResult(end), self.play.now)
        attempt.live.clear()
        self.attempts.pop(attempt.ticket, None)

    def stop(self):
        """End at once, as without power."""
        self.is_alive = False
        for attempt in list(self.attempts.values()):
            for send in attempt.live:
                self.play.endpoints[send.endpoint].cancel(send)
            self.play.lose(attempt.request)


class Play:
    """A load, played.

    Parameters
    ----------
    load : Load
        What happens.
    seed : int
        Of all luck.
    """

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.kinds = {kind.route: kind for kind in load.kinds}
        self.endpoints = {}
        for number in range(load.endpoints):
            endpoint = PlayedEndpoint(self, number)
            self.endpoints[endpoint.identity] = endpoint
        self.service = self._build_service()
        self.requests = []
        self.extra_sends = []
        self.tried_at = []
        self.profile = None
        self.tellings = 0
        self._events = []
        self._order = count()
        self._start_nodes()

    def _build_service(self):
        endpoints = tuple(
            Endpoint(identity, played.data_centre, SLOTS, 2400, identity)
            for identity, played in self.endpoints.items()
        )
        probes = ProbeBudget(54.0 * len(endpoints), 30.0, 1.0, 0.001, "/", True)
        routes = tuple(kind.route for kind in self.load.kinds)
        return Service(
            "arena",
            "fresh_report",
            endpoints,
            routes,
            probes,
            self.load.sends,
            1000,
            0,
            self.load.warm_up_rate,
        )

    def _start_nodes(self):
        self.nodes = [PlayedNode(self, number) for number in range(self.load.nodes)]
        if self.profile is not None:
            self._tell_all(self.nodes, self.profile)
        for relay in self.nodes[:DATA_CENTRES]:
            self.after(REVIEW_SECONDS * self.rng.random(), self._review, relay)
        for number, node in enumerate(self.nodes[DATA_CENTRES:]):
            relay = self.nodes[number % DATA_CENTRES]
            pause = FIRST_REPORT_SECONDS * self.rng.random()
            self.after(pause, self._report, node, relay)

    def _report(self, node, relay):
        """Let a node tell its relay what it has learnt."""
        if not node.is_alive or self.now > self.load.seconds:
            return
        news = node.slots.take_news(self.now)
        if news is not None:
            relay.slots.add_news(news, self.now)
        is_settled = node.slots.is_settled(self.now)
        pause = REPORT_SECONDS if is_settled else FIRST_REPORT_SECONDS
        self.after(pause, self._report, node, relay)

    def _review(self, relay):
        """Let a relay keep what is worth telling."""
        if not relay.is_alive or self.now > self.load.seconds:
            return
        if relay.slots.is_worth_telling(self.now):
            self.profile = relay.slots.build_profile(self.now)
            relay.slots.mark_told(self.profile, self.now)
            self.tellings += 1
            self.after(TELLING_SECONDS, self._tell_all, self.nodes, self.profile)
        self.after(REVIEW_SECONDS, self._review, relay)

    def _tell_all(self, nodes, profile):
        """Let nodes know what a relay has kept."""
        for node in nodes:
            node.slots.adopt(profile, self.now)

    def get_way(self, node, endpoint):
        """Return the seconds from a node to an endpoint."""
        is_near = node.data_centre == endpoint.data_centre
        return NEAR_SECONDS if is_near else FAR_SECONDS

    def after(self, seconds, act, *arguments):
        """Do something later."""
        event = (self.now + seconds, next(self._order), act, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        """Play all; return the requests."""
        self._schedule_next()
        for begin, end in self.load.outages:
            self.after(begin, self._stop_nodes)
            self.after(end, self._start_nodes)
        while self._events:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self.requests

    def _stop_nodes(self):
        for node in self.nodes:
            node.stop()

    def _schedule_next(self):
        rate = self.load.rate * self.load.get_factor(self.now)
        pause = self.rng.expovariate(rate)
        if self.now + pause < self.load.seconds:
            self.after(pause, self._arrive)

    def _arrive(self):
        weights = [kind.share for kind in self.load.kinds]
        kind = self.rng.choices(self.load.kinds, weights)[0]
        is_impatient = self.rng.random() < self.load.impatient
        time = kind.limit * self.rng.uniform(self.load.least_time, 1.0)
        request = Request(kind, self.now, is_impatient, time)
        self.requests.append(request)
        self._try(request)
        self._schedule_next()

    def _try(self, request):
        if self.now >= request.deadline or request.answered_at is not None:
            return
        request.tries += 1
        self.tried_at.append(self.now)
        if self.load.is_out(self.now):
            self._come_back(request, NO_CONNECTION_SECONDS)
            return
        self.rng.choice(self.nodes).submit(request)

    def _come_back(self, request, seconds):
        if request.tries < MOST_TRIES:
            left = request.deadline - self.now
            self.after(min(seconds, left / 3), self._try, request)

    def note_send(self, is_extra):
        """Count an arrival at an endpoint if it is beyond the first of a try."""
        if is_extra:
            self.extra_sends.append(self.now)

    def answer(self, request):
        """Give a caller its answer."""
        if request.answered_at is None and self.now <= request.deadline:
            request.answered_at = self.now

    def refuse(self, attempt, refusal):
        """Tell a caller that it gets no answer; it may come back."""
        request = attempt.request
        request.refusals.append(self.now - attempt.ticket.arrived)
        not_run = refusal is not None and refusal.outcome is Outcome.NOT_RUN
        if not_run or request.kind.route.repeatable:
            told = refusal.retry_after if refusal is not None else None
            self._come_back(request, 0.0 if request.is_impatient else told or 0.0)

    def lose(self, request):
        """Let a caller find out that its node is gone."""
        if request.kind.route.repeatable:
            self._come_back(request, 0.01)

    def find_share(self, of, requests=None):
        """Return the share of requests for which a condition holds."""
        requests = self.requests if requests is None else requests
        return sum(map(bool, map(of, requests))) / max(1, len(requests))

    def count_most_at_cold(self):
        """Return the most requests that came to a cold endpoint within a second."""
        spells = [spell for spell in self.load.spells if spell.cold]
        most = 0
        for endpoint in self.endpoints.values():
            for spell in spells:
                if spell.first <= endpoint.place < spell.last:
                    came = [
                        t for t in endpoint.arrivals if spell.begin <= t < spell.end
                    ]
                    most = max(most, count_most_within(came, 1.0))
        return most

    def list_windows(self, window):
        """Yield the extra sends of each window, and the requests that allow them.

        Notes
        -----
        These are the tries of the window, of the one before it or of the one half a
        window earlier, whichever are most.
        """
        sent = self.tried_at
        extra = self.extra_sends
        for end in extra:
            begin = end - window
            allowing = max(
                bisect_right(sent, end - back) - bisect_left(sent, begin - back)
                for back in (0.0, window / 2, window)
            )
            yield bisect_right(extra, end) - bisect_left(extra, begin), allowing


def count_most_within(times, seconds):
    """Return the most of some ordered times that lie within so many seconds."""
    return max(
        (
            bisect_left(times, begin + seconds) - place
            for place, begin in enumerate(times)
        ),
        default=0,
    )
