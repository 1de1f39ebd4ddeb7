"""Whether an endpoint that gave no answer has ended, or only broke the answer off."""

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CrashChecks"]

# A process that ends may close its connections a moment before it stops to listen.
PAUSE_SECONDS = 0.01


class CrashChecks:
    """Connects to endpoints whose answers were lost, and tells of those that ended.

    Parameters
    ----------
    report : callable
        Called with an endpoint's identity and the fingerprints of the requests that
        were there, once it is certain that nothing listens any more.

    Notes
    -----
    Where an endpoint closed a connection and then takes no other, it has ended; one
    that only broke off an answer, or had too many connections, still listens. No
    question is asked, so that a check takes no slot and none of the probe budget.
    Requests that were lost at the same moment share one connection.
    """

    def __init__(self, report):
        self._report = report
        self._pending = {}

    def begin(self, endpoint, address, fingerprints):
        """Look at an endpoint at which a request got no answer."""
        requests = self._pending.get(endpoint)
        if requests is None:
            requests = self._pending[endpoint] = set()
            eventlet.spawn_n(self._check, endpoint, address)
        requests.add(fingerprints)

    def count_pending(self, fingerprints):
        """Return the endpoints of which it is open if they ended under a request."""
        return sum(fingerprints in requests for requests in self._pending.values())

    def _check(self, endpoint, address):
        connection = EndpointConnection(address)
        detail = ""
        has_ended = False
        eventlet.sleep(PAUSE_SECONDS)
        try:
            connection.open()
        except ConnectFailed as error:
            detail = str(error)
            has_ended = True
        finally:
            connection.close()
            requests = self._pending.pop(endpoint)
        log_event(
            Event.ENDPOINT_LOOKED_AT,
            endpoint=endpoint,
            ended=has_ended,
            detail=detail,
            requests=sorted(requests),
        )
        if has_ended:
            self._report(endpoint, requests)
