"""The handling of a failed send: a retry or the final response."""

from hingesill_core.reasons import RetryReason
from hingesill_core.retries.decision import classify_refusal, decide_retry, find_denial
from hingesill_core.routing.messages import Refusal, RetryDenied, SendStatus

__all__ = ["RetryHandler"]

# Minimum Retry-After where an endpoint refused a request by chance, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.01


class RetryHandler:
    """Handles the retries of one service.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service; its retry budget is spent.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def decide(self, ticket, status, now):
        """Decide what follows a failed send.

        Returns
        -------
        tuple
            The LoadQuery, Send, Queued or Refusal to act on, and the RetryReason to
            count, which is a ``DENIED`` one with a Refusal.
        """
        p10 = self._dispatcher.get_latency(ticket.route).p10
        retry = decide_retry(ticket, status, self._dispatcher.retries, now, p10)
        if isinstance(retry, RetryDenied):
            return self.refuse(ticket, status, now), retry.reason
        diverted = self._dispatcher.divert_admitted(ticket, now)
        if isinstance(diverted, Refusal):
            if status is not SendStatus.NOT_SENT:
                self._dispatcher.retries.refund()
            return diverted, RetryReason.DENIED_NO_ENDPOINT
        if diverted is not None:
            return diverted, retry
        query = self._dispatcher.begin_queries(ticket, now)
        if isinstance(query, Refusal):
            return self._refuse_without_endpoint(ticket, status, now)
        if query is not None:
            return query, retry
        send = self._dispatcher.assign(ticket, now)
        if send is not None:
            return send, retry
        decision = self._dispatcher.queue_or_refuse(ticket, now)
        if isinstance(decision, Refusal):
            return self._refuse_without_endpoint(ticket, status, now)
        return decision, retry

    def _refuse_without_endpoint(self, ticket, status, now):
        """Return the Refusal of a request without another eligible endpoint."""
        if status is not SendStatus.NOT_SENT:
            self._dispatcher.retries.refund()
        return self.refuse(ticket, status, now), RetryReason.DENIED_NO_ENDPOINT

    def is_forbidden(self, ticket, status, now):
        """Return whether a request must not be sent again, whatever the budget."""
        p10 = self._dispatcher.get_latency(ticket.route).p10
        return find_denial(ticket, status, now, p10) is not None

    def refuse(self, ticket, status, now):
        """Return the Refusal of a request that is not sent again after this status."""
        retry_after = self._dispatcher.service_availability.suggest_retry_after(
            ticket.route, now
        )
        if retry_after is None and self._was_refused_with_capacity(status):
            retry_after = self._suggest_immediate_retry()
        if retry_after is None:
            retry_after = self._dispatcher.suggest_retry_after(ticket.route, now)
        return classify_refusal(ticket, status, retry_after)

    def _was_refused_with_capacity(self, status):
        """Return whether an endpoint with capacity refused the request."""
        return status is SendStatus.REFUSED and not self._dispatcher.binding.waiting

    def _suggest_immediate_retry(self):
        """Return the Retry-After for a refusal by an endpoint with capacity.

        Notes
        -----
        No request is queued at this node, so the endpoints have capacity. A request
        refused by chance is as likely to be accepted now as later, and the caller
        reaches another node, which may have a retry token left.
        """
        return MIN_RETRY_AFTER_SECONDS * (1 + self._dispatcher.rng.random())
