"""Life cycle of a node: readiness and planned stop."""

import time

import eventlet

from hingesill_node.blackboard import Phase
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Lifecycle"]

REVIEW_INTERVAL_SECONDS = 0.25
DRAIN_CHECK_INTERVAL_SECONDS = 0.01
QUIET_SECONDS = 0.2


class Lifecycle:
    """Controls the phase of the blackboard.

    Parameters
    ----------
    blackboard : Blackboard
        Its ``phase`` is written.
    settings : Settings
        Provides the balancer's lag, the stop timeout and the isolation time.
    control : Control
        Knows whether the node can serve, and is notified of a planned stop.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, blackboard, settings, control, clock=time.monotonic):
        self.blackboard = blackboard
        self.settings = settings
        self.control = control
        self.clock = clock
        self.stop_requested = False
        self.stop_requested_at = clock()
        self.servers = ()
        self._connected_at = clock()

    def request_stop(self, *_):
        """Request a planned stop; a signal handler."""
        if not self.stop_requested:
            self.stop_requested = True
            self.stop_requested_at = self.clock()

    def run_until_stop(self):
        """Update the phase until a stop is requested."""
        while not self.stop_requested:
            self._review()
            eventlet.sleep(REVIEW_INTERVAL_SECONDS)

    def _review(self):
        phase = self.blackboard.phase
        if self._is_isolated():
            new_phase = Phase.ISOLATED
        elif self.control.is_initialized():
            new_phase = Phase.SERVING
        else:
            new_phase = Phase.STARTING
        if new_phase is not phase:
            self.blackboard.write("phase", new_phase)
            if new_phase is Phase.ISOLATED:
                log_event(Event.ISOLATED)
            ready = new_phase is Phase.SERVING
            log_event(Event.NODE_READY if ready else Event.NODE_NOT_READY)

    def _is_isolated(self):
        """Return whether the store and all nodes have been silent for too long."""
        now = self.clock()
        if self.control.is_connected():
            self._connected_at = now
        return now - self._connected_at > self.settings.isolation_s

    def stop(self, *servers):
        """Stop serving without dropping requests.

        Parameters
        ----------
        *servers : CallerServer
            Their addresses are closed after the time that the platform's balancer needs
            to notice ``/ready``.

        Returns
        -------
        bool
            False if requests were still in flight at the timeout.
        """
        self.servers = servers
        self.blackboard.write("stop_seconds", self._get_stop_end() - self.clock())
        self.blackboard.write("phase", Phase.STOPPING)
        for server in self.servers:
            server.begin_stop()
        log_event(Event.STOP_BEGUN, in_flight=self.blackboard.in_flight)
        self.control.leave()
        lag_ends_at = self.stop_requested_at + self.settings.balancer_lag_s
        eventlet.sleep(max(0.0, lag_ends_at - self.clock()))
        for server in self.servers:
            server.close_address()
        is_quiet = self._wait_until_quiet()
        event = Event.STOP_ENDED if is_quiet else Event.STOP_BOUND_REACHED
        log_event(event, in_flight=self.blackboard.in_flight)
        for server in self.servers:
            server.record_process_end()
        return is_quiet

    def _get_stop_end(self):
        """Return the time at which the process ends in any case."""
        bound = self.settings.balancer_lag_s + self.settings.stop_bound_s
        return self.stop_requested_at + bound

    def _wait_until_quiet(self):
        """Wait until all connections have ended, or until the timeout.

        Returns
        -------
        bool
            Whether no request was in flight at the end.

        Notes
        -----
        Connections without a request are closed from now on: a request that is taken
        late might not be answered before the timeout.
        """
        deadline = self._get_stop_end()
        quiet_since = self.clock()
        while self.clock() <= deadline:
            for server in self.servers:
                server.close_idle()
            eventlet.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
            if self._is_serving():
                quiet_since = self.clock()
            elif self.clock() - quiet_since < QUIET_SECONDS:
                continue
            elif not any(server.has_connections() for server in self.servers):
                return True
        return not self._is_serving()

    def _is_serving(self):
        """Return whether a request has no answer yet, or one that is being written."""
        return bool(
            self.blackboard.in_flight
            or any(server.count_serving() for server in self.servers)
        )
