"""Checks whether an endpoint that gave no answer has crashed."""

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CrashChecks"]

# A terminating process may close its connections a moment before its listening socket.
CONNECT_DELAY_SECONDS = 0.01
# Time for which a check waits until anything is received from the service, in seconds:
# longer than endpoints take to restart.
MAX_WAIT_SECONDS = 10.0
WAIT_INTERVAL_SECONDS = 0.02
# Time between the first byte after an outage and the last connection of a check, in
# seconds. The paths to all endpoints come back together.
RETURN_SECONDS = 0.05


class CrashChecks:
    """Connects to endpoints whose answers were lost and reports those that crashed.

    Parameters
    ----------
    report : callable
        Called with an endpoint's identity and the fingerprints of its requests once a
        connection has failed.

    Notes
    -----
    An endpoint that closed a connection and then accepts no other has crashed; one that
    only cut off an answer, or had too many connections, still listens. No load query is
    sent, so a check needs neither a slot nor the probe budget. Requests that were lost
    at the same time share one check.

    If no other endpoint accepts a connection either, they may all have crashed, or this
    node may have lost its paths to them. The check waits until the node receives
    anything from the service: the endpoint has crashed if it still accepts none
    then, and another one does.
    """

    def __init__(self, report):
        self._report = report
        self._pending = {}

    def begin(self, endpoint, address, fingerprints, runner=None):
        """Check an endpoint that gave no answer to a request.

        Parameters
        ----------
        endpoint, address : str
            Identity and address of the endpoint.
        fingerprints : tuple of str
            Fingerprints of the request.
        runner : ServiceRunner or None
            Knows the service's other endpoints, and when any of them sent something.
        """
        requests = self._pending.get(endpoint)
        if requests is None:
            requests = self._pending[endpoint] = set()
            eventlet.spawn_n(self._check, endpoint, address, runner)
        requests.add(fingerprints)

    def count_pending(self, fingerprints):
        """Return the number of running checks on behalf of a request."""
        return sum(fingerprints in requests for requests in self._pending.values())

    def _check(self, endpoint, address, runner):
        eventlet.sleep(CONNECT_DELAY_SECONDS)
        try:
            detail = find_connect_error(address)
            has_crashed = bool(detail)
            if has_crashed and runner is not None and not accepts_any(runner, endpoint):
                has_crashed, later = self._check_later(endpoint, address, runner)
                detail = f"{detail}; no other endpoint accepted a connection; {later}"
        finally:
            requests = self._pending.pop(endpoint)
        log_event(
            Event.ENDPOINT_LOOKED_AT,
            endpoint=endpoint,
            ended=has_crashed,
            detail=detail,
            requests=sorted(requests),
        )
        if has_crashed:
            self._report(endpoint, requests)

    def _check_later(self, endpoint, address, runner):
        """Check an endpoint again whenever anything was received from its service.

        Returns
        -------
        tuple
            Whether the endpoint has crashed, and the reason as text.
        """
        checked_at = runner.clock()
        until = checked_at + MAX_WAIT_SECONDS
        while runner.clock() < until:
            eventlet.sleep(WAIT_INTERVAL_SECONDS)
            if runner.get_heard_at() <= checked_at:
                continue
            eventlet.sleep(RETURN_SECONDS)
            checked_at = runner.clock()
            error = find_connect_error(address)
            if not error:
                return False, "it accepts connections again"
            if accepts_any(runner, endpoint):
                return True, error
        return False, "no other one did later"


def accepts_any(runner, endpoint):
    """Return whether any other endpoint accepts a connection, or there is none."""
    others = runner.list_other_addresses(endpoint)
    return not others or not all(map(find_connect_error, others))


def find_connect_error(address):
    """Return why no connection to an address can be opened; empty if one can."""
    connection = EndpointConnection(address)
    try:
        connection.open()
    except ConnectFailed as error:
        return str(error)
    finally:
        connection.close()
    return ""
