"""Log of requests that are refused before they are read to their end."""

import time

from hingesill_core.reasons import RefusalReason
from hingesill_node.telemetry.events import Event, log_event
from hingesill_node.telemetry.lograte import LogRate

__all__ = ["MAX_LOG_LINES_PER_SECOND", "RequestFaultLog"]

# Leaves most of the node's log lines to other events.
MAX_LOG_LINES_PER_SECOND = 50
LOGGED_REASONS = {
    RefusalReason.CONNECTION_LIMIT: Event.REQUEST_BEYOND_LIMIT,
    RefusalReason.MEMORY_LIMIT: Event.REQUEST_BEYOND_LIMIT,
    RefusalReason.HEAD_TOO_LARGE: Event.REQUEST_BEYOND_LIMIT,
}


class RequestFaultLog:
    """Logs the faults of requests on one address, at a limited rate.

    Parameters
    ----------
    listener : str
        Name of the address.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, listener, clock=time.monotonic):
        self.listener = listener
        self._rate = LogRate(MAX_LOG_LINES_PER_SECOND, clock)

    def write(self, part, fault, caller, **fields):
        """Log one fault, at most `MAX_LOG_LINES_PER_SECOND` times a second.

        Parameters
        ----------
        part : str
            ``head`` or ``body``.
        fault : RequestFault
            What was found.
        caller : str
            IP address of the sender.
        **fields
            Further fields of the log line.
        """
        if self._rate.admit():
            log_event(
                LOGGED_REASONS.get(fault.reason, Event.REQUEST_NOT_WHOLE),
                part=part,
                listener=self.listener,
                caller=caller,
                reason=fault.reason.value,
                detail=str(fault),
                **fields,
            )
