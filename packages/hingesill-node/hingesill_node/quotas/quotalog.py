"""Bounded log lines on the quotas of organisations."""

from hingesill_node.telemetry.events import Event, log_event

__all__ = ["MAX_LOG_LINES_PER_SECOND", "QuotaLog"]

# Log lines per second and event: callers can cause any number of refusals.
MAX_LOG_LINES_PER_SECOND = 50
CHANGE_EVENTS = {
    "over-quota": Event.OVER_QUOTA,
    "within-quota": Event.WITHIN_QUOTA,
    "coordinator-lost": Event.COORDINATOR_LOST,
    "coordinator-found": Event.COORDINATOR_FOUND,
}


class QuotaLog:
    """Logs refused requests and changes that operators have to know of.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self._second = 0
        self._lines = {}
        self._left_out = {}

    def log_change(self, change):
        """Log a QuotaChange."""
        event = CHANGE_EVENTS[change.kind]
        left_out = self._count_line(event)
        if left_out is not None:
            log_event(
                event,
                organisation=change.organisation,
                coordinator=format_node(change.coordinator),
                lines_left_out=left_out,
            )

    def log_refusal(self, request_id, organisation, decision, waited, find_usage):
        """Log a request that got no token.

        Parameters
        ----------
        request_id : str
            Identifier of the request.
        organisation : Organisation
            Its organisation.
        decision : QuotaDecision
            The decision.
        waited : float
            Seconds for which the request waited for the decision.
        find_usage : callable
            Returns the QuotaUsage of the organisation at this node, or None.
        """
        event = Event.REQUEST_OVER_QUOTA
        left_out = self._count_line(event)
        if left_out is None:
            return
        usage = find_usage()
        retry_after = decision.retry_after
        log_event(
            event,
            request=request_id,
            organisation=organisation.name,
            rate=organisation.rate,
            burst=organisation.burst,
            waited_ms=round(waited * 1000, 1),
            retry_after_ms=None if retry_after is None else round(retry_after * 1000),
            coordinator=None if usage is None else format_node(usage.coordinator),
            used=None if usage is None else usage.used,
            refused=None if usage is None else usage.refused,
            lines_left_out=left_out,
        )

    def _count_line(self, event):
        """Return how many lines were left out before; None to leave out this one."""
        second = int(self.clock())
        if second != self._second:
            self._second = second
            self._lines.clear()
        lines = self._lines[event] = self._lines.get(event, 0) + 1
        if lines > MAX_LOG_LINES_PER_SECOND:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return None
        return self._left_out.pop(event, 0)


def format_node(node):
    """Return IP number and port of a node as text, None for none."""
    return None if node is None else "%s:%d" % tuple(node)
