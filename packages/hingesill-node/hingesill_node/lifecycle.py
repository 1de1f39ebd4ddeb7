"""From start to planned stop: when the node is ready, and how it ends."""

import time

import eventlet

from hingesill_node.blackboard import Phase
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Lifecycle"]

REVIEW_SECONDS = 0.25
DRAIN_CHECK_SECONDS = 0.01
QUIET_SECONDS = 0.2


class Lifecycle:
    """Moves the blackboard's phase.

    Parameters
    ----------
    blackboard : Blackboard
        Its phase is written.
    settings : Settings
        The lag, the bound and the isolation time.
    control : Control
        Asked whether the node can serve, and told of a planned stop.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, blackboard, settings, control, clock=time.monotonic):
        self.blackboard = blackboard
        self.settings = settings
        self.control = control
        self.clock = clock
        self.stop_asked = False
        self._heard_at = clock()

    def ask_stop(self, *_):
        """Begin a planned stop; a signal handler."""
        self.stop_asked = True

    def run_until_stop(self):
        """Keep the phase until a stop is asked for."""
        while not self.stop_asked:
            self._review()
            eventlet.sleep(REVIEW_SECONDS)

    def _review(self):
        phase = self.blackboard.phase
        if self._is_isolated():
            wanted = Phase.ISOLATED
        elif self.control.is_initialized():
            wanted = Phase.SERVING
        else:
            wanted = Phase.STARTING
        if wanted is not phase:
            self.blackboard.write("phase", wanted)
            if wanted is Phase.ISOLATED:
                log_event(Event.ISOLATED)
            ready = wanted is Phase.SERVING
            log_event(Event.NODE_READY if ready else Event.NODE_NOT_READY)

    def _is_isolated(self):
        """Tell whether neither the store nor any node was heard of for long."""
        now = self.clock()
        if self.control.is_connected():
            self._heard_at = now
        return now - self._heard_at > self.settings.isolation_s

    def stop(self, listener):
        """End without cutting anything off.

        Parameters
        ----------
        listener : socket
            Closed once the platform's balancer has had time to see ``/ready``.

        Returns
        -------
        bool
            False if requests outlived the bound.
        """
        self.blackboard.write("phase", Phase.STOPPING)
        log_event(Event.STOP_BEGUN, in_flight=self.blackboard.in_flight)
        self.control.leave()
        eventlet.sleep(self.settings.balancer_lag_s)
        listener.close()
        is_quiet = self._wait_until_quiet()
        ended = Event.STOP_ENDED if is_quiet else Event.STOP_BOUND_REACHED
        log_event(ended, in_flight=self.blackboard.in_flight)
        return is_quiet

    def _wait_until_quiet(self):
        """Return True once no request was in flight for a while.

        Notes
        -----
        What is in flight is looked at last, with no other green thread in
        between: a request that was read before the end is waited for.
        """
        bound = self.clock() + self.settings.stop_bound_s
        quiet_since = self.clock()
        while self.clock() <= bound:
            eventlet.sleep(DRAIN_CHECK_SECONDS)
            if self.blackboard.in_flight:
                quiet_since = self.clock()
            elif self.clock() - quiet_since >= QUIET_SECONDS:
                return True
        return False
