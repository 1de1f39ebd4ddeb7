"""What follows a send that brought no answer: another send, or the final answer."""

from hingesill_core.reasons import RetryReason
from hingesill_core.retries.decision import classify_refusal, decide_retry
from hingesill_core.routing.messages import Refusal, RetryDenied, SendStatus

__all__ = ["RetryHandler"]

# Shortest Retry-After where an endpoint refused a request by chance, in seconds.
SOON = 0.01


class RetryHandler:
    """The retries of one service.

    Parameters
    ----------
    dispatcher : Dispatcher
        The service's; its budget of retries is spent.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def decide(self, ticket, end, now):
        """Decide what follows a send that brought no answer.

        Returns
        -------
        tuple
            The Ask, Send, Hold or Refusal to act on, and the RetryReason that is
            counted, which is a ``DENIED`` one with a Refusal.
        """
        p10 = self._dispatcher.get_latency(ticket.route).p10
        verdict = decide_retry(ticket, end, self._dispatcher.retries, now, p10)
        if isinstance(verdict, RetryDenied):
            return self._give_up(ticket, end, now), verdict.reason
        ask = self._dispatcher.begin_queries(ticket, now)
        if isinstance(ask, Refusal):
            return self._find_no_endpoint(ticket, end, now)
        if ask is not None:
            return ask, verdict
        send = self._dispatcher.assign(ticket, now)
        if send is not None:
            return send, verdict
        decision = self._dispatcher.queue_or_refuse(ticket, now)
        if isinstance(decision, Refusal):
            return self._find_no_endpoint(ticket, end, now)
        return decision, verdict

    def _find_no_endpoint(self, ticket, end, now):
        """Return the Refusal of a request for which there is no other endpoint."""
        if end is not SendStatus.NOT_SENT:
            self._dispatcher.retries.refund()
        return self._give_up(ticket, end, now), RetryReason.DENIED_NO_ENDPOINT

    def _give_up(self, ticket, end, now):
        after = self._dispatcher.service_availability.suggest_retry_after(
            ticket.route, now
        )
        if after is None and self._is_by_chance(end):
            after = self._suggest_other_node()
        if after is None:
            after = self._dispatcher.suggest_retry_after(ticket.route, now)
        return classify_refusal(ticket, end, after)

    def _is_by_chance(self, end):
        """Tell whether an endpoint refused a request though there is room."""
        return end is SendStatus.REFUSED and not self._dispatcher.binding.waiting

    def _suggest_other_node(self):
        """Return when to come back after an endpoint refused though it was free.

        Notes
        -----
        Nobody waits here, so the endpoints have room; what was refused by chance is as
        likely to be taken now as later, and the caller comes to another node, which may
        have an extra send left.
        """
        return SOON * (1 + self._dispatcher.rng.random())
