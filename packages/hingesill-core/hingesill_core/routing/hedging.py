"""Second sends of requests whose answer is overdue."""

from hingesill_core.reasons import RetryReason
from hingesill_core.retries.budget import TokenBudget
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY
from hingesill_core.routing.messages import RetryDenied

__all__ = ["Hedging"]

# In typical answers' times: with all of the budget and with none of it left.
EARLIEST = 1.8
LATEST = 4.5
# With asked endpoints, in typical answers' times: what a hedge itself takes, with
# its questions, and what an answer may take before it counts as overdue.
NEEDS = 1.25
EARLIEST_ASKED = 1.4
# Tokens that a hedge leaves for retries where a node may save up more than one. Where
# it may not, hedges go first: a refused caller can return at once, one that waits for
# a silent endpoint cannot.
KEPT_FOR_RETRIES = 1.0
# Interval of attempts to hedge after one found no token or endpoint, in seconds.
AGAIN_SECONDS = 0.25


class Hedging:
    """Decides when and where a request is sent a second time.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's.
    share : float
        Hedges that a request earns, where endpoints are not asked.
    """

    def __init__(self, dispatcher, share):
        self.dispatcher = dispatcher
        self.budget = TokenBudget(share)

    def get_overdue_time(self, send):
        """Return the seconds after which an answer is worth a second send.

        Notes
        -----
        While much of the budget is left that is soon. As it runs out only the
        answers that take longest are worth it, so that the budget goes where it
        shortens the tail. Where endpoints are asked, it goes to answers that are
        about to miss their target, as late as a second send still helps.
        """
        median = self.dispatcher.get_latency(send.ticket.route).median
        if self.dispatcher.service.policy == FRESH_REPORT_POLICY:
            return compute_last_chance(send, median)
        elapsed = 1 - self.budget.tokens / self.budget.burst
        return (EARLIEST + (LATEST - EARLIEST) * elapsed) * median

    def start(self, ticket, now):
        """Begin a second send of a request while its first has no answer.

        Parameters
        ----------
        ticket : Ticket
            The request; one send of it is under way.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        Ask, Send or Denied
            Whom to ask first, where to send it, or the rule that forbids it. An
            Ask after which nothing is sent is told to `end`.
        """
        denial = self._find_denial(ticket, now)
        if denial is not None:
            return RetryDenied(denial)
        if self.dispatcher.service.policy == FRESH_REPORT_POLICY:
            return self._ask(ticket, now)
        return self._send(ticket, now)

    def get_next_try(self, ticket, now):
        """Return when a second send that did not come about is worth another try.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        float
            Seconds of the node's clock; infinite if no rule will allow it any more.
        """
        is_over = self._find_denial(ticket, now) is not None
        return float("inf") if is_over else now + AGAIN_SECONDS

    def _find_denial(self, ticket, now):
        if ticket.sends >= ticket.route.most_sends:
            return RetryReason.DENIED_BUDGET
        if not ticket.route.repeatable or not ticket.replayable:
            return RetryReason.DENIED_NOT_REPEATABLE
        if not ticket.may_retry:
            return RetryReason.DENIED_LAYER
        p10 = self.dispatcher.get_latency(ticket.route).p10
        return RetryReason.DENIED_TIME if now + p10 > ticket.deadline else None

    def _send(self, ticket, now):
        """Return a Send by what is known already, or Denied."""
        free = [
            state
            for state in self.dispatcher.states.values()
            if state.identity not in ticket.tried and state.has_place(ticket, now)
        ]
        if not free:
            return RetryDenied(RetryReason.DENIED_NO_ENDPOINT)
        if not self.budget.spend():
            return RetryDenied(RetryReason.DENIED_BUDGET)
        state = self.dispatcher.choose(free, now, self.dispatcher.rng)
        return self.dispatcher.start_send(ticket, state, now, hedge=True)

    def _ask(self, ticket, now):
        """Return an Ask for a second endpoint, or Denied.

        Notes
        -----
        A retry saves an answer that is lost, a hedge one that is late; so both
        draw on the budget of retries, and hedges leave a token for those.
        """
        retries = self.dispatcher.retries
        kept = min(KEPT_FOR_RETRIES, max(0.0, retries.burst - 1.0))
        if not retries.spend(keep=kept):
            return RetryDenied(RetryReason.DENIED_BUDGET)
        ask = self.dispatcher.binding.enter_hedge(ticket, now)
        if ask is None:
            retries.refund()
            return RetryDenied(RetryReason.DENIED_NO_ENDPOINT)
        return ask

    def end(self, ticket):
        """Take back a hedge that asked and was not sent."""
        self.dispatcher.binding.leave(ticket)
        self.dispatcher.retries.refund()


def compute_last_chance(send, median):
    """Return the seconds after which a second send can just meet the target."""
    ticket = send.ticket
    waited = send.started - ticket.arrived
    left = ticket.route.target - ticket.elapsed - waited
    chance = left - NEEDS * median
    return chance if chance >= EARLIEST_ASKED * median else LATEST * median
