"""Hedges: second sends of requests whose answer is overdue."""

from hingesill_core.reasons import RetryReason
from hingesill_core.retries.budget import TokenBudget
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY
from hingesill_core.routing.messages import RetryDenied

__all__ = ["Hedging"]

# Hedge delay with a full budget, in median latencies.
MIN_DELAY_FACTOR = 1.8
# Hedge delay with an empty budget, in median latencies.
MAX_DELAY_FACTOR = 4.5
# Duration of a hedge with its load queries, in median latencies.
HEDGE_DURATION_FACTOR = 1.25
# Smallest hedge delay with load queries, in median latencies.
MIN_QUERIED_DELAY_FACTOR = 1.4
# Tokens that a hedge leaves for retries where a node may save more than one. Elsewhere
# hedges go first: a refused caller can retry immediately, a caller that waits for an
# unresponsive endpoint cannot.
RESERVED_RETRY_TOKENS = 1.0
# Interval of attempts to hedge after one found no token or endpoint, in seconds.
ATTEMPT_INTERVAL_SECONDS = 0.25


class Hedging:
    """Decides when and where a request is sent a second time.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service.
    share : float
        Hedges earned by each request, where no load queries are used.
    """

    def __init__(self, dispatcher, share):
        self.dispatcher = dispatcher
        self.budget = TokenBudget(share)

    def get_hedge_delay(self, send):
        """Return the seconds after which a request without an answer is hedged.

        Notes
        -----
        The delay is short while much of the budget is left. As it runs out only the
        slowest answers are hedged, so that the budget shortens the tail. With load
        queries the budget goes to answers that are about to miss their target, as late
        as a second send can still meet it.
        """
        median = self.dispatcher.get_latency(send.ticket.route).median
        if self.dispatcher.service.policy == FRESH_REPORT_POLICY:
            return compute_latest_delay(send, median)
        used_share = 1 - self.budget.tokens / self.budget.burst
        return (
            MIN_DELAY_FACTOR + (MAX_DELAY_FACTOR - MIN_DELAY_FACTOR) * used_share
        ) * median

    def start(self, ticket, now):
        """Begin a second send of a request while its first has no answer.

        Parameters
        ----------
        ticket : Ticket
            The request; one send of it is in flight.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        LoadQuery, Send or RetryDenied
            The endpoints to query first, the endpoint to send to, or the reason against
            it. A LoadQuery without a send afterwards requires a call of `cancel`.
        """
        denial = self._find_denial(ticket, now)
        if denial is not None:
            return RetryDenied(denial)
        if self.dispatcher.service.policy == FRESH_REPORT_POLICY:
            return self._query(ticket, now)
        return self._send(ticket, now)

    def get_next_attempt_time(self, ticket, now):
        """Return when to attempt a hedge again after an attempt without a send.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        float
            Seconds of the node's clock; infinite if the rules forbid any further
            attempt.
        """
        is_over = self._find_denial(ticket, now) is not None
        return float("inf") if is_over else now + ATTEMPT_INTERVAL_SECONDS

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
        """Return a Send chosen by known state, or RetryDenied."""
        free = [
            state
            for state in self.dispatcher.states.values()
            if state.identity not in ticket.tried and state.has_capacity(ticket, now)
        ]
        if not free:
            return RetryDenied(RetryReason.DENIED_NO_ENDPOINT)
        if not self.budget.spend():
            return RetryDenied(RetryReason.DENIED_BUDGET)
        state = self.dispatcher.choose(free, now, self.dispatcher.rng)
        return self.dispatcher.start_send(ticket, state, now, hedge=True)

    def _query(self, ticket, now):
        """Return a LoadQuery for a second endpoint, or RetryDenied.

        Notes
        -----
        Hedges draw on the budget of retries, as a retry replaces a lost answer and a
        hedge a late one; they leave a token for retries.
        """
        retries = self.dispatcher.retries
        reserved = min(RESERVED_RETRY_TOKENS, max(0.0, retries.burst - 1.0))
        if not retries.spend(reserve=reserved):
            return RetryDenied(RetryReason.DENIED_BUDGET)
        query = self.dispatcher.binding.add_hedge(ticket, now)
        if query is None:
            retries.refund()
            return RetryDenied(RetryReason.DENIED_NO_ENDPOINT)
        return query

    def cancel(self, ticket):
        """Cancel a hedge that was not sent after its load query; refund its token."""
        self.dispatcher.binding.remove(ticket)
        self.dispatcher.retries.refund()


def compute_latest_delay(send, median):
    """Return the latest hedge delay in seconds that can still meet the target."""
    ticket = send.ticket
    waited = send.started - ticket.arrived
    left = ticket.route.target - ticket.elapsed - waited
    delay = left - HEDGE_DURATION_FACTOR * median
    return (
        delay
        if delay >= MIN_QUERIED_DELAY_FACTOR * median
        else MAX_DELAY_FACTOR * median
    )
