"""Whether an endpoint that gave no answer has ended, or only broke the answer off."""

import eventlet
from msgspec import Struct, field

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["EndingChecks"]


class PendingCheck(Struct):
    """The requests whose answers were lost at an endpoint that is being looked at."""

    fingerprints: set = field(default_factory=set)


class EndingChecks:
    """Connects to endpoints whose answers were lost, and tells of those that ended.

    Parameters
    ----------
    report : callable
        Called with an endpoint's identity and the fingerprints of the requests that
        were there, once it is certain that nothing listens any more.

    Notes
    -----
    A process that ended refuses connections; one that broke off an answer, or closed a
    connection because it had too many, still listens. No question is asked, so that a
    check takes no slot and none of the probe budget. Requests that were lost at the
    same moment share one connection.
    """

    def __init__(self, report):
        self._report = report
        self._pending = {}

    def begin(self, endpoint, address, fingerprint):
        """Look at an endpoint at which a request got no answer."""
        pending = self._pending.get(endpoint)
        if pending is None:
            pending = self._pending[endpoint] = PendingCheck()
            eventlet.spawn_n(self._check, endpoint, address)
        pending.fingerprints.add(fingerprint)

    def is_pending(self, fingerprint):
        """Tell whether it is still open if an endpoint ended under a request."""
        return any(fingerprint in p.fingerprints for p in self._pending.values())

    def _check(self, endpoint, address):
        connection = EndpointConnection(address)
        detail = ""
        try:
            connection.open()
        except ConnectFailed as error:
            detail = str(error)
        finally:
            connection.close()
            pending = self._pending.pop(endpoint)
        log_event(
            Event.ENDPOINT_LOOKED_AT,
            endpoint=endpoint,
            ended=bool(detail),
            detail=detail,
            fingerprints=sorted(pending.fingerprints),
        )
        if detail:
            self._report(endpoint, pending.fingerprints)
