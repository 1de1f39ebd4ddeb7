"""Requests that are held back, for how long, and what follows."""

from msgspec import Struct

__all__ = ["QUARANTINE_SECONDS", "Quarantine", "QuarantinedRequest"]

# While it is not certain what ended endpoints, so that a request which was there by
# chance is tried again before its caller gives up.
SHORT_QUARANTINE_SECONDS = 1.0
# Of a first long hold; each further one is twice as long. The platform's store grants
# no longer lease, so what is kept there ends by itself.
QUARANTINE_SECONDS = 600.0
MAX_QUARANTINE_SECONDS = 3600.0
# After a hold, for how long one more ending holds the request back again.
TRIAL_SECONDS = 600.0
# Bound of the memory of a node and of what may lie in the store.
MAX_QUARANTINED_REQUESTS = 256


class QuarantinedRequest(Struct, frozen=True):
    """A request that is sent to no endpoint, or has been let go on trial.

    Parameters
    ----------
    since : float
        An answer later than this ends the matter, in seconds of the node's clock.
    until : float
        It is held back until then.
    times : int
        How often it has been held back for long; 0 while it is not certain.
    """

    since: float
    until: float
    times: int

    def is_active(self, now):
        """Tell whether it is held back."""
        return now < self.until

    def is_on_probation(self, now):
        """Tell whether it was let go, but not long ago."""
        return self.until <= now < self.until + TRIAL_SECONDS


class Quarantine:
    """Requests by fingerprint that are held back or on trial.

    Notes
    -----
    A hold ends by itself, whatever comes meanwhile: the endpoints may have been mended.
    Then one more ending holds the request back again, and an answer ends the matter. A
    request that goes on ending endpoints costs one an hour.
    """

    def __init__(self):
        self._requests = {}

    def __len__(self):
        return len(self._requests)

    def get(self, fingerprint):
        """Return the QuarantinedRequest, active or on trial, or None."""
        return self._requests.get(fingerprint)

    def list_long(self, now):
        """Return by fingerprint those that are held back for long now."""
        return {
            fingerprint: request
            for fingerprint, request in self._requests.items()
            if request.times and request.is_active(now)
        }

    def list_certain(self):
        """Return the fingerprints of those that were held back for long."""
        return {name for name, request in self._requests.items() if request.times}

    def is_on_probation(self, fingerprint, now):
        """Tell whether one more ending holds a request back again."""
        request = self._requests.get(fingerprint)
        return request is not None and request.is_on_probation(now)

    def hold(self, fingerprint, since, now, is_certain):
        """Hold a request back from now on; return its QuarantinedRequest."""
        before = self._requests.get(fingerprint)
        times = before.times if before is not None else 0
        seconds = SHORT_QUARANTINE_SECONDS
        if is_certain:
            times += 1
            seconds = compute_hold(times)
        request = QuarantinedRequest(since, now + seconds, times)
        return self.adopt(fingerprint, request)

    def adopt(self, fingerprint, request):
        """Hold a request back as another node does; return the QuarantinedRequest."""
        if (
            fingerprint not in self._requests
            and len(self._requests) >= MAX_QUARANTINED_REQUESTS
        ):
            self._requests.pop(next(iter(self._requests)))
        self._requests[fingerprint] = request
        return request

    def release(self, fingerprint):
        """Forget a request."""
        self._requests.pop(fingerprint, None)

    def forget(self, now):
        """Forget requests that have passed their trial."""
        for fingerprint, request in list(self._requests.items()):
            if not (request.is_active(now) or request.is_on_probation(now)):
                del self._requests[fingerprint]


def compute_hold(times):
    """Return the seconds of a long hold, the first one or a further one."""
    return min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2 ** (times - 1))
