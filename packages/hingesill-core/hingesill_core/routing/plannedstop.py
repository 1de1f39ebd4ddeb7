"""Admission of requests while the node stops in a planned way."""

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal

__all__ = ["PlannedStop"]

# Answers from which the slowest one tells how long others may take.
MIN_ANSWERS = 10
# Ratio of the time that is left for an answer to the slowest recent one.
SLOWEST_FACTOR = 1.25
# Ratio of a slow answer's time to the usual one, which other nodes may have observed.
USUAL_FACTOR = 8.0
# Time in which an answer is passed on to the caller, in seconds.
ANSWER_MARGIN_SECONDS = 0.2
# Retry-After of a refusal, in seconds: a new connection reaches another node.
RETRY_AFTER_SECONDS = 0.01


class PlannedStop:
    """Decides which requests the endpoints of a service can still answer.

    A request that is passed on and not answered before the process ends is lost: its
    caller does not learn whether it ran. One that is refused before it is sent may go
    to another node at once.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service.

    Attributes
    ----------
    ends_at : float or None
        End of the process, in seconds of the node's clock; None before a planned stop.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher
        self.ends_at = None

    def find_refusal(self, ticket, now):
        """Return the Refusal of a request that must not be sent any more, or None.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Seconds of the node's clock.
        """
        if self.ends_at is None or self._can_answer(ticket, now):
            return None
        outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
        retry_after = RETRY_AFTER_SECONDS * (1 + self._dispatcher.rng.random())
        return Refusal(RefusalReason.NODE_STOPPING, outcome, retry_after)

    def _can_answer(self, ticket, now):
        """Return whether a request that is sent now is answered before the end."""
        left = self.ends_at - now - ANSWER_MARGIN_SECONDS
        if ticket.deadline - now <= left:
            return True
        longest = self._estimate_longest(ticket.route)
        return longest is not None and longest <= left

    def _estimate_longest(self, route):
        """Return the seconds in which an answer can be expected, None if unknown."""
        dispatcher = self._dispatcher
        for latency in (dispatcher.get_latency(route), dispatcher.latency):
            if latency.answers >= MIN_ANSWERS:
                return SLOWEST_FACTOR * latency.slowest
        usual = dispatcher.binding.concurrency_model.baselines.get_usual(route)
        return None if usual is None else USUAL_FACTOR * usual
