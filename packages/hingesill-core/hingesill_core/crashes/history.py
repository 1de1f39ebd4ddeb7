"""Endpoint crashes by the request that the endpoint had."""

from msgspec import Struct, field

__all__ = ["EndpointCrash", "CrashHistory", "SAME_CRASH_SECONDS"]

# Several nodes see the same crash within this time, and a crashed endpoint takes longer
# to restart. So incarnations are distinguished without the endpoint's own record, which
# may be old or missing while the store is unavailable.
SAME_CRASH_SECONDS = 0.5
# Time for which a crash counts against a request that was not answered since. A request
# that comes once in two minutes must still be found; as long as the first confirmed
# quarantine.
CRASH_RETENTION_SECONDS = 600.0
# Limits on the node's memory.
MAX_REQUESTS = 1024
MAX_CRASHES_PER_REQUEST = 8


class EndpointCrash(Struct, frozen=True):
    """A crash of an endpoint while it had a request.

    Parameters
    ----------
    endpoint : str
        Identity of the endpoint.
    at : float
        Time of the crash, in seconds of the node's clock.
    """

    endpoint: str
    at: float

    def is_same(self, other):
        """Return whether both records are of the same incarnation's crash."""
        near = abs(self.at - other.at) < SAME_CRASH_SECONDS
        return near and self.endpoint == other.endpoint


class RequestHistory(Struct):
    """Crashes and last answer of one request.

    Attributes
    ----------
    crashes : list of EndpointCrash
        Crashes since the request was last answered.
    answered_at : float
        Time of the last answer, in seconds of the node's clock.
    """

    crashes: list = field(default_factory=list)
    answered_at: float = float("-inf")

    def get_newest(self):
        """Return the time of the newest crash, or of the last answer without any."""
        return max((crash.at for crash in self.crashes), default=self.answered_at)


class CrashHistory:
    """Crashes by the fingerprint of the request, limited in number and time.

    Notes
    -----
    The content does not depend on the order in which crashes and answers are recorded,
    so nodes may send them to each other over any path, late and more than once.
    """

    def __init__(self):
        self._requests = {}

    def __len__(self):
        return len(self._requests)

    def __contains__(self, fingerprint):
        return fingerprint in self._requests

    def get_crashes(self, fingerprint):
        """Return the crashes that count against a request."""
        request = self._requests.get(fingerprint)
        return tuple(request.crashes) if request is not None else ()

    def list_crashes(self):
        """Yield the fingerprint and EndpointCrash of all crashes that count."""
        for fingerprint, request in self._requests.items():
            for crash in request.crashes:
                yield fingerprint, crash

    def get_answer_time(self, fingerprint):
        """Return when a request was last answered; -inf if no answer is recorded."""
        request = self._requests.get(fingerprint)
        return request.answered_at if request is not None else float("-inf")

    def record_crash(self, fingerprint, crash):
        """Add an EndpointCrash; return whether it was not known.

        Notes
        -----
        A crash from before the request's last answer does not count. If there are too
        many crashes, the one with the closest neighbours before and after it is
        dropped, so that every event keeps a crash. Otherwise a first event that fills
        the memory hides all later ones: a request was then sent nine more times after
        three endpoints had crashed.
        """
        request = self._find(fingerprint)
        if crash.at <= request.answered_at:
            return False
        if any(crash.is_same(known) for known in request.crashes):
            return False
        request.crashes.append(crash)
        if len(request.crashes) <= MAX_CRASHES_PER_REQUEST:
            return True
        return drop_closest(request.crashes) is not crash

    def record_answer(self, fingerprint, at):
        """Record an answer to a request; return whether other nodes need to know.

        Notes
        -----
        The endpoint survived the request, so earlier crashes had another cause. Further
        answers that take back no crash are not reported.
        """
        request = self._find(fingerprint)
        if at <= request.answered_at:
            return False
        later = [crash for crash in request.crashes if crash.at > at]
        is_first = request.answered_at == float("-inf")
        is_update = is_first or len(later) < len(request.crashes)
        request.answered_at = at
        request.crashes = later
        return is_update

    def _find(self, fingerprint):
        request = self._requests.get(fingerprint)
        if request is None:
            if len(self._requests) >= MAX_REQUESTS:
                self._drop_one()
            request = self._requests[fingerprint] = RequestHistory()
        return request

    def _drop_one(self):
        """Drop the oldest request with at most one crash, or else the oldest one."""
        requests = self._requests.items()
        single = (name for name, known in requests if len(known.crashes) < 2)
        self._requests.pop(next(single, next(iter(self._requests))))

    def drop(self, fingerprint):
        """Remove a request."""
        self._requests.pop(fingerprint, None)

    def remove_expired(self, now):
        """Remove crashes and answers that are too old to count."""
        oldest = now - CRASH_RETENTION_SECONDS
        for fingerprint, request in list(self._requests.items()):
            request.crashes = [crash for crash in request.crashes if crash.at > oldest]
            if request.get_newest() <= oldest:
                del self._requests[fingerprint]


def drop_closest(crashes):
    """Remove, in place, the crash whose neighbours are closest; return it.

    Parameters
    ----------
    crashes : list of EndpointCrash
        At least three; the first and the last in time stay.
    """
    crashes.sort(key=lambda crash: (crash.at, crash.endpoint))
    inner = range(1, len(crashes) - 1)
    closest = min(inner, key=lambda i: crashes[i + 1].at - crashes[i - 1].at)
    return crashes.pop(closest)
