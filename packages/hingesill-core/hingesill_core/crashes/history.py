"""Which endpoints ended while they had a request, by request."""

from msgspec import Struct, field

__all__ = ["EndpointCrash", "CrashHistory", "SAME_LIFE_SECONDS"]

# What several nodes saw of one end of an endpoint lies closer together, and one that
# ended needs longer to be back. So lives are told apart without the endpoint's word,
# which may be old or missing while the store is away.
SAME_LIFE_SECONDS = 0.5
# How long an end is held against a request that was not answered since, so that one
# that comes once in two minutes is still found. As long as the longest hold.
MEMORY_SECONDS = 600.0
# Guards of the node's memory.
MOST_REQUESTS = 1024
MOST_ENDINGS = 8


class EndpointCrash(Struct, frozen=True):
    """An endpoint ended while it had a request.

    Parameters
    ----------
    endpoint : str
        Its identity.
    at : float
        When, in seconds of the node's clock.
    """

    endpoint: str
    at: float

    def is_same(self, other):
        """Tell whether another one is the end of the same life."""
        near = abs(self.at - other.at) < SAME_LIFE_SECONDS
        return near and self.endpoint == other.endpoint


class RequestHistory(Struct):
    """What is known of one request.

    Attributes
    ----------
    endings : list of Ending
        Since it was last answered.
    answered_at : float
        When an endpoint last answered it, in seconds of the node's clock.
    """

    endings: list = field(default_factory=list)
    answered_at: float = float("-inf")

    def get_newest(self):
        """Return the time of the newest word."""
        return max((e.at for e in self.endings), default=self.answered_at)


class CrashHistory:
    """Endings by the fingerprint of the request; bounded in number and time.

    Notes
    -----
    What it holds does not depend on the order in which it is told, so that nodes may
    tell each other on any way, more than once and late.
    """

    def __init__(self):
        self._requests = {}

    def __len__(self):
        return len(self._requests)

    def __contains__(self, fingerprint):
        return fingerprint in self._requests

    def get_crashes(self, fingerprint):
        """Return the endings that count against a request."""
        request = self._requests.get(fingerprint)
        return tuple(request.endings) if request is not None else ()

    def list_crashes(self):
        """Yield fingerprint and Ending of all that count."""
        for fingerprint, request in self._requests.items():
            for ending in request.endings:
                yield fingerprint, ending

    def get_answered(self, fingerprint):
        """Return when a request was answered after an ending; -inf if it was not."""
        request = self._requests.get(fingerprint)
        return request.answered_at if request is not None else float("-inf")

    def record_crash(self, fingerprint, ending):
        """Take an Ending; return whether it was not known.

        Notes
        -----
        One from before the request's last answer says nothing against it. Of too many,
        those go that have others close before and after them, so that each event stays
        known: a first event that filled the memory hid all later ones, and a request
        was sent nine times more once three endpoints had ended (one play of six).
        """
        request = self._find(fingerprint)
        if ending.at <= request.answered_at:
            return False
        if any(ending.is_same(known) for known in request.endings):
            return False
        request.endings.append(ending)
        if len(request.endings) <= MOST_ENDINGS:
            return True
        return drop_closest(request.endings) is not ending

    def record_answer(self, fingerprint, at):
        """Take that an endpoint answered a request; return whether others need to know.

        Notes
        -----
        An endpoint lived through the request, so what ended others was something else.
        That it is answered again and again is no news.
        """
        request = self._find(fingerprint)
        if at <= request.answered_at:
            return False
        later = [ending for ending in request.endings if ending.at > at]
        is_first = request.answered_at == float("-inf")
        is_news = is_first or len(later) < len(request.endings)
        request.answered_at = at
        request.endings = later
        return is_news

    def _find(self, fingerprint):
        request = self._requests.get(fingerprint)
        if request is None:
            if len(self._requests) >= MOST_REQUESTS:
                self._drop_one()
            request = self._requests[fingerprint] = RequestHistory()
        return request

    def _drop_one(self):
        """Forget the oldest request with at most one ending, else the oldest."""
        requests = self._requests.items()
        single = (name for name, known in requests if len(known.endings) < 2)
        self._requests.pop(next(single, next(iter(self._requests))))

    def drop(self, fingerprint):
        """Forget a request."""
        self._requests.pop(fingerprint, None)

    def forget(self, now):
        """Forget what is too old to count."""
        oldest = now - MEMORY_SECONDS
        for fingerprint, request in list(self._requests.items()):
            request.endings = [e for e in request.endings if e.at > oldest]
            if request.get_newest() <= oldest:
                del self._requests[fingerprint]


def drop_closest(endings):
    """Remove, in place, the ending whose neighbours are closest; return it.

    Parameters
    ----------
    endings : list of Ending
        Three at least; the first and the last in time stay.
    """
    endings.sort(key=lambda ending: (ending.at, ending.endpoint))
    inner = range(1, len(endings) - 1)
    closest = min(inner, key=lambda i: endings[i + 1].at - endings[i - 1].at)
    return endings.pop(closest)
