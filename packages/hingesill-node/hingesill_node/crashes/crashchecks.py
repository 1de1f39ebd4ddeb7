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
    """

    def __init__(self, report):
        self._report = report
        self._pending = {}

    def begin(self, endpoint, address, fingerprints):
        """Check an endpoint that gave no answer to a request."""
        requests = self._pending.get(endpoint)
        if requests is None:
            requests = self._pending[endpoint] = set()
            eventlet.spawn_n(self._check, endpoint, address)
        requests.add(fingerprints)

    def count_pending(self, fingerprints):
        """Return the number of running checks on behalf of a request."""
        return sum(fingerprints in requests for requests in self._pending.values())

    def _check(self, endpoint, address):
        connection = EndpointConnection(address)
        detail = ""
        has_crashed = False
        eventlet.sleep(CONNECT_DELAY_SECONDS)
        try:
            connection.open()
        except ConnectFailed as error:
            detail = str(error)
            has_crashed = True
        finally:
            connection.close()
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
