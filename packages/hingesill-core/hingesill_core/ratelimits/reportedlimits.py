"""The limits that endpoints report, and which of two reports is the newer one."""

from msgspec import Struct

__all__ = ["LimitBook", "ReportedLimit", "NO_LIMIT", "ParsedLimit", "INVALID_LIMIT"]

# Time for which an ended limit is remembered, in seconds: other nodes may still pass an
# older report on.
REMEMBERED_SECONDS = 60.0

# Most reports that are remembered for a service.
MOST_WORDS = 65_536


class ParsedLimit(Struct, frozen=True):
    """What the head of an answer names.

    Parameters
    ----------
    per_second : float or None
        Requests that the endpoint takes from all nodes together; None for no limit.
    is_valid : bool
        False if it names something that is no limit; that is no word at all.
    """

    per_second: float | None
    is_valid: bool = True


NO_LIMIT = ParsedLimit(None)
INVALID_LIMIT = ParsedLimit(None, is_valid=False)


class ReportedLimit(Struct, frozen=True):
    """An endpoint's word on the requests that it takes.

    Parameters
    ----------
    endpoint : str
        Its identity.
    born : int
        The life that said it.
    per_second : float or None
        Requests from all nodes together; None if it named no limit.
    earliest, latest : float
        Between which times it was said, in seconds of the node's clock.
    """

    endpoint: str
    born: int
    per_second: float | None
    earliest: float
    latest: float

    def is_stricter(self, other):
        """Tell whether it allows less than another word."""
        if self.per_second is None:
            return False
        return other.per_second is None or self.per_second < other.per_second


class LimitBook:
    """The newest word of each endpoint of a service that ever named a limit.

    Attributes
    ----------
    limited : dict
        Requests a second by identity, of the endpoints that name a limit now.
    """

    def __init__(self):
        self.limited = {}
        self._words = {}

    def get(self, endpoint):
        """Return the newest ReportedLimit of an endpoint, or None."""
        return self._words.get(endpoint)

    def list_limited(self):
        """Return the ReportedLimits of endpoints that name a limit now."""
        return [self._words[endpoint] for endpoint in self.limited]

    def take(self, report):
        """Take a word; return whether the endpoint's limit is another one now."""
        held = self._words.get(report.endpoint)
        if held is None and (report.per_second is None or self.is_full()):
            return False
        if held is not None and not replaces(report, held):
            return False
        self._words[report.endpoint] = report
        if report.per_second is None:
            self.limited.pop(report.endpoint, None)
        else:
            self.limited[report.endpoint] = report.per_second
        before = None if held is None or held.born != report.born else held.per_second
        return report.per_second != before

    def is_full(self):
        """Tell whether no word of another endpoint is taken."""
        return len(self._words) >= MOST_WORDS

    def keep(self, lives):
        """Forget the words of lives that are over; return them.

        Parameters
        ----------
        lives : dict
            The life by identity of the endpoints that are there.
        """
        gone = [report for report in self._words.values() if is_over(report, lives)]
        for report in gone:
            del self._words[report.endpoint]
            self.limited.pop(report.endpoint, None)
        return gone

    def forget(self, now):
        """Forget words that name no limit and are old, at a time."""
        for endpoint, report in list(self._words.items()):
            if report.per_second is None and now - report.latest > REMEMBERED_SECONDS:
                del self._words[endpoint]


def is_over(report, lives):
    """Tell whether another life has followed the one that said a word, or none."""
    return lives.get(report.endpoint) != report.born


def replaces(report, held):
    """Tell whether a word counts in place of the one that is held.

    Notes
    -----
    When an answer's head was written is known only to lie between its request and its
    arrival. Of two words whose order isn't certain the stricter one counts: an answer
    that was under way when the need began must not end it.
    """
    if report.born != held.born:
        return report.born > held.born
    if report.earliest >= held.latest:
        return True
    return report.latest > held.earliest and report.is_stricter(held)
