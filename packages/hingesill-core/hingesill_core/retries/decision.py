"""The decision after a failed send: a retry or the final response."""

from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.messages import Refusal, RetryDenied, SendStatus

__all__ = [
    "DEFINITELY_NOT_RUN",
    "NOT_DELIVERED",
    "classify_refusal",
    "decide_retry",
    "find_denial",
    "mark_may_have_run",
]

RETRY_REASONS = {
    SendStatus.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    SendStatus.NOT_SENT: RetryReason.NOT_SENT,
    SendStatus.REFUSED: RetryReason.ENDPOINT_REFUSED,
    SendStatus.LOST: RetryReason.ANSWER_LOST,
    SendStatus.LATE: RetryReason.ANSWER_LOST,
    SendStatus.FAULT: RetryReason.ENDPOINT_FAULT,
}

REFUSAL_REASONS = {
    SendStatus.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    SendStatus.NOT_SENT: RefusalReason.NO_ENDPOINT,
    SendStatus.REFUSED: RefusalReason.ENDPOINT_REFUSED,
    SendStatus.LOST: RefusalReason.ANSWER_LOST,
    SendStatus.LATE: RefusalReason.ANSWER_LATE,
    SendStatus.FAULT: RefusalReason.ANSWER_LOST,
    SendStatus.CANCELLED: RefusalReason.CALLER_GONE,
}

# Statuses of sends that did not reach the endpoint.
NOT_DELIVERED = frozenset({SendStatus.CONNECT_FAILED, SendStatus.NOT_SENT})
# Statuses of sends that no endpoint ran.
DEFINITELY_NOT_RUN = NOT_DELIVERED | {SendStatus.REFUSED}


def mark_may_have_run(ticket, status):
    """Mark the request if an endpoint may have executed it."""
    if status not in DEFINITELY_NOT_RUN:
        ticket.exposed = True


def decide_retry(ticket, status, budget, now, p10):
    """Decide whether a request may be sent again.

    Parameters
    ----------
    ticket : Ticket
        The request, marked by `mark_may_have_run`.
    status : SendStatus
        Status of its last send.
    budget : TokenBudget
        The service's budget of retries.
    now, p10 : float
        The time, and the 10th percentile of the response time, in seconds.

    Returns
    -------
    RetryReason or RetryDenied
        The reason for the retry, or for its denial.
    """
    denial = find_denial(ticket, status, now, p10)
    if denial is not None:
        return RetryDenied(denial)
    # A request that was not sent costs no token: the next send is not an extra one.
    if status is not SendStatus.NOT_SENT and not budget.spend():
        return RetryDenied(RetryReason.DENIED_BUDGET)
    return RETRY_REASONS[status]


def find_denial(ticket, status, now, p10):
    """Return the reason that forbids another send, or None."""
    if ticket.retry_forbidden:
        return RetryReason.DENIED_ENDINGS
    if ticket.exposed and not ticket.route.repeatable:
        return RetryReason.DENIED_NOT_REPEATABLE
    if not ticket.replayable:
        return RetryReason.DENIED_NOT_REPEATABLE
    if not ticket.may_retry and status not in NOT_DELIVERED:
        return RetryReason.DENIED_LAYER
    if ticket.sends >= ticket.route.most_sends:
        return RetryReason.DENIED_BUDGET
    if now + p10 > ticket.deadline:
        return RetryReason.DENIED_TIME
    return None


def classify_refusal(ticket, status, retry_after):
    """Return the final response after a send that is not retried."""
    outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
    return Refusal(REFUSAL_REASONS[status], outcome, retry_after)
