"""Counters and log lines on how callers' connections end."""

import time
from collections import Counter

from hingesill_node.datapath.connectionstate import ConnectionEnd
from hingesill_node.telemetry.events import Event, log_event
from hingesill_node.telemetry.lograte import LogRate

__all__ = ["ConnectionLog"]

MAX_LOG_LINES_PER_SECOND = 50
LOGGED_ENDS = {
    ConnectionEnd.UNREAD: Event.CONNECTION_UNREAD,
    ConnectionEnd.CUT: Event.ANSWER_CUT,
    ConnectionEnd.EVICTED: Event.CONNECTION_EVICTED,
    ConnectionEnd.REFUSED: Event.CONNECTION_REFUSED,
}


class ConnectionLog:
    """Records the ends of the connections of one address.

    Parameters
    ----------
    listener : str
        Name of the address.
    counters : Counters
        Counts ``connections`` by address and end.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, listener, counters, clock=time.monotonic):
        self.listener = listener
        self.counters = counters
        self._rate = LogRate(MAX_LOG_LINES_PER_SECOND, clock)

    def record(self, state):
        """Count an ended connection, and log it if its caller may miss something."""
        self.counters.add("connections", self.listener, state.end.value)
        event = LOGGED_ENDS.get(state.end)
        if event is not None and self._rate.admit():
            log_event(
                event,
                phase=state.phase.value,
                listener=self.listener,
                caller=state.address[0],
                port=state.address[1],
                unsent_bytes=state.unsent,
            )

    def record_process_end(self, states):
        """Count and log the connections that are open when the process ends."""
        if not states:
            return
        amount = len(states)
        end = ConnectionEnd.PROCESS_END
        self.counters.add("connections", self.listener, end.value, amount)
        phases = Counter(state.phase.value for state in states)
        log_event(Event.CONNECTIONS_LEFT, listener=self.listener, **phases)
