"""The choices of one service whose requests ask endpoints before they go."""

from hingesill_core.limits.asking import AskBudget
from hingesill_core.reasons import RefusalReason
from hingesill_core.routing.asking import (
    Ask,
    AskPlan,
    AskRules,
    judge_reply,
)
from hingesill_core.routing.messages import SendEnd

__all__ = ["FreshChoice"]


class FreshChoice:
    """Decides whom to ask, whether a reply will do, and when to stop asking.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's; its endpoints' states are read and written.
    pool : AskBudget
        Shared by the services of this node whose budgets are pooled.
    rules : AskRules
        How to ask.
    """

    def __init__(self, dispatcher, pool, rules=None):
        self.dispatcher = dispatcher
        self.pool = pool
        self.rules = rules or AskRules()
        self.budget = AskBudget()
        self.has_reports = True

    def configure(self, service, fleet):
        """Put a declaration and a view of the fleet in force."""
        if service.probes.pooled:
            self.budget = self.pool
        self.budget.set_part(service.name, service.probes, fleet.nodes)

    def begin(self, ticket, now):
        """Return the first Ask of a request, or None if nobody may be asked."""
        if not self.has_reports:
            return None
        target = ticket.route.target or self.rules.default_target
        patience = min(self.rules.longest_patience, self.rules.patience * target)
        ticket.plan = AskPlan(now, min(now + patience, ticket.deadline))
        return self._ask(ticket, now, 0.0)

    def _ask(self, ticket, now, pause):
        candidates = self._list_candidates(ticket, now)
        if not candidates:
            return None
        count = min(self.rules.at_once, len(candidates))
        count = self.budget.take(count, now)
        if count == 0:
            return None
        plan = ticket.plan
        chosen = self._sample(candidates, count)
        plan.rounds += 1
        plan.asked.update(state.identity for state in chosen)
        for state in chosen:
            if state.reach.needs_trial(now):
                state.reach.on_trial = True
        return Ask(tuple(state.identity for state in chosen), pause)

    def _sample(self, candidates, count):
        """Return endpoints at random, one of them of the own data centre.

        Notes
        -----
        Its reply comes first, so the request stays near if there is room, and
        what is full here still finds room elsewhere in the same round.
        """
        rng = self.dispatcher.rng
        near = [state for state in candidates if state.is_near]
        if not near or count < 2:
            return rng.sample(candidates, count)
        first = rng.choice(near)
        others = [state for state in candidates if state is not first]
        return [first, *rng.sample(others, count - 1)]

    def _list_candidates(self, ticket, now):
        """Return the endpoints worth asking, those not asked yet if there are any."""
        usable = [s for s in self.dispatcher.states.values() if can_ask(s, ticket, now)]
        for keep in (
            lambda s: s.identity not in ticket.tried,
            lambda s: s.reach.is_open() or s.reach.needs_trial(now),
            lambda s: s.identity not in ticket.plan.asked,
        ):
            usable = [state for state in usable if keep(state)] or usable
        return usable

    def take(self, ticket, reply, now):
        """Take a reply; return the Send if it is good enough, else None."""
        state = self.note_reply(reply, now)
        if state is None or reply.report is None:
            return None
        if not can_ask(state, ticket, now):
            return None
        if judge_reply(reply, ticket.plan.rounds, self.rules):
            return self.dispatcher.start_send(ticket, state, now)
        ticket.plan.note(reply)
        return None

    def note_reply(self, reply, now):
        """Learn from a reply; return the endpoint's state, or None if it is gone."""
        state = self.dispatcher.states.get(reply.endpoint)
        if state is None:
            return None
        state.reach.note(reply.end, now, may_eject=True)
        if reply.end is SendEnd.ANSWERED:
            self.has_reports = reply.report is not None
            state.report = reply.report or state.report
        return state

    def proceed(self, ticket, now):
        """Return what follows a round that brought no Send.

        Returns
        -------
        Ask, Send, Hold or Refusal
        """
        plan = ticket.plan
        if now < plan.until:
            ask = self._ask(ticket, now, self.rules.pause)
            if ask is not None:
                return ask
        if plan.best is None:
            return self.dispatcher.dispatch_unasked(ticket, now)
        state = self.dispatcher.states.get(plan.best.endpoint)
        usable = state is not None and can_ask(state, ticket, now)
        if usable and self._is_worth_sending(plan.best):
            return self.dispatcher.start_send(ticket, state, now)
        return self.dispatcher.refuse(ticket, RefusalReason.QUEUE_FULL, now)

    def _is_worth_sending(self, reply):
        report = reply.report
        waiting = report.running - (report.slots or 1)
        return waiting < self.rules.most_waiting


def can_ask(state, ticket, now):
    """Tell whether an endpoint may get the request, as far as known before."""
    if state.is_draining(now) or now < state.refused_until:
        return False
    return state.health.is_open() or state.accepts_trial(ticket, now)
