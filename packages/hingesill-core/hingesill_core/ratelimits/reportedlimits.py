"""Limits that endpoints report, and the order of two reports."""

from msgspec import Struct

__all__ = ["LimitTable", "ReportedLimit", "NO_LIMIT", "ParsedLimit", "INVALID_LIMIT"]

# Retention of an ended limit, in seconds: other nodes may still send an older report.
ENDED_LIMIT_SECONDS = 60.0

# Reports that are kept for a service.
MAX_REPORTS = 65_536


class ParsedLimit(Struct, frozen=True):
    """The limit in the header of a response.

    Parameters
    ----------
    per_second : float or None
        Requests that the endpoint accepts from all nodes together; None for no limit.
    is_valid : bool
        False if the header's value is not a limit; such a header is ignored and does
        not end a limit.
    """

    per_second: float | None
    is_valid: bool = True


NO_LIMIT = ParsedLimit(None)
INVALID_LIMIT = ParsedLimit(None, is_valid=False)


class ReportedLimit(Struct, frozen=True):
    """An endpoint's report of the rate of requests that it accepts.

    Parameters
    ----------
    endpoint : str
        Identity of the endpoint.
    born : int
        Incarnation that sent the report.
    per_second : float or None
        Requests from all nodes together; None for no limit.
    earliest, latest : float
        Bounds of the time at which the report was written, in seconds of the node's
        clock.
    """

    endpoint: str
    born: int
    per_second: float | None
    earliest: float
    latest: float

    def is_stricter(self, other):
        """Return whether it allows fewer requests than another report."""
        if self.per_second is None:
            return False
        return other.per_second is None or self.per_second < other.per_second


class LimitTable:
    """The newest report of each endpoint of a service that has ever had a limit.

    Attributes
    ----------
    limited : dict
        Requests a second by identity, for the endpoints that have a limit now.
    """

    def __init__(self):
        self.limited = {}
        self._reports = {}

    def get(self, endpoint):
        """Return the newest ReportedLimit of an endpoint, or None."""
        return self._reports.get(endpoint)

    def list_limited(self):
        """Return the ReportedLimits of the endpoints that have a limit now."""
        return [self._reports[endpoint] for endpoint in self.limited]

    def apply_report(self, report):
        """Apply a report; return whether it changed the endpoint's limit."""
        known = self._reports.get(report.endpoint)
        if known is None and (report.per_second is None or self.is_full()):
            return False
        if known is not None and not replaces(report, known):
            return False
        self._reports[report.endpoint] = report
        if report.per_second is None:
            self.limited.pop(report.endpoint, None)
        else:
            self.limited[report.endpoint] = report.per_second
        previous = (
            None if known is None or known.born != report.born else known.per_second
        )
        return report.per_second != previous

    def is_full(self):
        """Return whether reports of further endpoints are rejected."""
        return len(self._reports) >= MAX_REPORTS

    def keep(self, incarnations):
        """Delete the reports of incarnations that have ended; return them.

        Parameters
        ----------
        incarnations : dict
            Current incarnation by identity of the registered endpoints.
        """
        gone = [
            report
            for report in self._reports.values()
            if is_superseded(report, incarnations)
        ]
        for report in gone:
            del self._reports[report.endpoint]
            self.limited.pop(report.endpoint, None)
        return gone

    def expire(self, now):
        """Delete reports without a limit that are older than `ENDED_LIMIT_SECONDS`."""
        for endpoint, report in list(self._reports.items()):
            if report.per_second is None and now - report.latest > ENDED_LIMIT_SECONDS:
                del self._reports[endpoint]


def is_superseded(report, incarnations):
    """Return whether the incarnation that sent a report is no longer registered."""
    return incarnations.get(report.endpoint) != report.born


def replaces(report, known):
    """Return whether a report replaces the known one.

    Notes
    -----
    The header of a response was written at an unknown time between the start of the
    request and the arrival of the response. If the order of two reports is uncertain,
    the stricter one applies: a response that was in flight when the limit began must
    not end it.
    """
    if report.born != known.born:
        return report.born > known.born
    if report.earliest >= known.latest:
        return True
    return report.latest > known.earliest and report.is_stricter(known)
