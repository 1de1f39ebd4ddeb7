"""What follows the end of a send: another send or the final answer."""

from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.messages import Refusal, RetryDenied, SendStatus

__all__ = ["NOT_EXECUTED", "classify_refusal", "decide_retry", "mark_may_have_run"]

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

# Ends after which nothing has reached the endpoint.
NOT_EXECUTED = frozenset({SendStatus.CONNECT_FAILED, SendStatus.NOT_SENT})
CERTAINLY_NOT_RUN = NOT_EXECUTED | {SendStatus.REFUSED}


def mark_may_have_run(ticket, end):
    """Note on the ticket whether an endpoint may have run it."""
    if end not in CERTAINLY_NOT_RUN:
        ticket.exposed = True


def decide_retry(ticket, end, budget, now, p10):
    """Decide whether a request may be sent once more.

    Parameters
    ----------
    ticket : Ticket
        The request; its exposure has been marked.
    end : SendStatus
        How its last send ended.
    budget : TokenBudget
        The service's budget of retries.
    now, quick : float
        The time, and how long a quick answer takes, in seconds.

    Returns
    -------
    RetryReason or Denied
        Why it is sent again, or why it is not.
    """
    denial = find_denial(ticket, end, now, p10)
    if denial is not None:
        return RetryDenied(denial)
    # Another endpoint gets what this one did not: that is no extra request.
    if end is not SendStatus.NOT_SENT and not budget.spend():
        return RetryDenied(RetryReason.DENIED_BUDGET)
    return RETRY_REASONS[end]


def find_denial(ticket, end, now, p10):
    """Return the rule that forbids another send, or None."""
    if ticket.retry_forbidden:
        return RetryReason.DENIED_ENDINGS
    if ticket.exposed and not ticket.route.repeatable:
        return RetryReason.DENIED_NOT_REPEATABLE
    if not ticket.replayable:
        return RetryReason.DENIED_NOT_REPEATABLE
    if not ticket.may_retry and end not in NOT_EXECUTED:
        return RetryReason.DENIED_LAYER
    if ticket.sends >= ticket.route.most_sends:
        return RetryReason.DENIED_BUDGET
    if now + p10 > ticket.deadline:
        return RetryReason.DENIED_TIME
    return None


def classify_refusal(ticket, end, retry_after):
    """Return the final answer after a send that is not repeated."""
    outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
    return Refusal(REFUSAL_REASONS[end], outcome, retry_after)
