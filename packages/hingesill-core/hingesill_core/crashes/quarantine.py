"""Quarantine of requests under which endpoints crashed, and the probation after it."""

from msgspec import Struct

__all__ = ["QUARANTINE_SECONDS", "Quarantine", "QuarantinedRequest"]

# Duration of a provisional quarantine, while the cause of the crashes is uncertain. It
# is short, so that an unrelated request is retried before its caller gives up.
SHORT_QUARANTINE_SECONDS = 1.0
# Duration of the first confirmed quarantine; each further one lasts twice as long, up
# to the maximum. The maximum is the longest lease that the platform's store grants, so
# stored quarantines expire with their lease.
QUARANTINE_SECONDS = 600.0
MAX_QUARANTINE_SECONDS = 3600.0
# Time after a quarantine in which a single crash starts the next one.
PROBATION_SECONDS = 600.0
# Limits the memory of a node and the number of keys in the store.
MAX_QUARANTINED_REQUESTS = 256


class QuarantinedRequest(Struct, frozen=True):
    """A request that is not sent to any endpoint, or that is on probation.

    Parameters
    ----------
    since : float
        An answer later than this clears the request, in seconds of the node's clock.
    until : float
        Time at which the quarantine ends.
    times : int
        Number of confirmed quarantines; 0 while the quarantine is provisional.
    """

    since: float
    until: float
    times: int

    def is_active(self, now):
        """Return whether the request is quarantined."""
        return now < self.until

    def is_on_probation(self, now):
        """Return whether the quarantine ended less than the probation time ago."""
        return self.until <= now < self.until + PROBATION_SECONDS


class Quarantine:
    """Requests that are quarantined or on probation, by fingerprint.

    Notes
    -----
    A quarantine always expires, because the endpoints may have been repaired. After
    that a single crash quarantines the request again, and an answer clears it. A
    request that continues to crash endpoints costs one endpoint an hour.
    """

    def __init__(self):
        self._requests = {}

    def __len__(self):
        return len(self._requests)

    def get(self, fingerprint):
        """Return the QuarantinedRequest, active or on probation, or None."""
        return self._requests.get(fingerprint)

    def list_active_confirmed(self, now):
        """Return the requests in a confirmed quarantine, by fingerprint."""
        return {
            fingerprint: request
            for fingerprint, request in self._requests.items()
            if request.times and request.is_active(now)
        }

    def list_confirmed(self):
        """Return the fingerprints of confirmed quarantines, active or on probation."""
        return {name for name, request in self._requests.items() if request.times}

    def is_on_probation(self, fingerprint, now):
        """Return whether a single crash quarantines a request again."""
        request = self._requests.get(fingerprint)
        return request is not None and request.is_on_probation(now)

    def start(self, fingerprint, since, now, is_confirmed):
        """Start the quarantine of a request; return its QuarantinedRequest."""
        before = self._requests.get(fingerprint)
        times = before.times if before is not None else 0
        seconds = SHORT_QUARANTINE_SECONDS
        if is_confirmed:
            times += 1
            seconds = compute_quarantine_seconds(times)
        request = QuarantinedRequest(since, now + seconds, times)
        return self.put(fingerprint, request)

    def put(self, fingerprint, request):
        """Add or replace a QuarantinedRequest and return it."""
        if (
            fingerprint not in self._requests
            and len(self._requests) >= MAX_QUARANTINED_REQUESTS
        ):
            self._requests.pop(next(iter(self._requests)))
        self._requests[fingerprint] = request
        return request

    def release(self, fingerprint):
        """Remove a request from quarantine or probation."""
        self._requests.pop(fingerprint, None)

    def remove_expired(self, now):
        """Remove requests whose probation is over."""
        for fingerprint, request in list(self._requests.items()):
            if not (request.is_active(now) or request.is_on_probation(now)):
                del self._requests[fingerprint]


def compute_quarantine_seconds(times):
    """Return the duration of a request's n-th confirmed quarantine."""
    return min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2 ** (times - 1))
