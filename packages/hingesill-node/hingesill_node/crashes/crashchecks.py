"""Checks whether an endpoint that gave no answer has crashed."""

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CrashChecks"]

# A terminating process may close its connections a moment before its listening socket.
CONNECT_DELAY_SECONDS = 0.01


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

    If no other endpoint accepts a connection either, this node may have lost its paths
    to all of them, and nothing is reported.
    """

    def __init__(self, report):
        self._report = report
        self._pending = {}

    def begin(self, endpoint, address, fingerprints, others=()):
        """Check an endpoint that gave no answer to a request.

        Parameters
        ----------
        endpoint, address : str
            Identity and address of the endpoint.
        fingerprints : tuple of str
            Fingerprints of the request.
        others : sequence of str
            Addresses of other endpoints, for comparison.
        """
        requests = self._pending.get(endpoint)
        if requests is None:
            requests = self._pending[endpoint] = set()
            eventlet.spawn_n(self._check, endpoint, address, others)
        requests.add(fingerprints)

    def count_pending(self, fingerprints):
        """Return the number of running checks on behalf of a request."""
        return sum(fingerprints in requests for requests in self._pending.values())

    def _check(self, endpoint, address, others):
        eventlet.sleep(CONNECT_DELAY_SECONDS)
        try:
            detail = find_connect_error(address)
            has_crashed = bool(detail)
            if has_crashed and others and all(map(find_connect_error, others)):
                has_crashed = False
                detail = f"{detail}; no other endpoint accepts a connection"
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
