"""Notices that an endpoint is leaving, which nodes exchange."""

from msgspec import Struct

__all__ = ["DrainNotice", "DrainNoticeTable"]

MAX_NOTICES = 10_000
MAX_NOTICE_SECONDS = 3600.0


class DrainNotice(Struct, frozen=True):
    """Notice that one endpoint is leaving.

    Parameters
    ----------
    endpoint : str
        Address of the endpoint.
    sequence : int
        Milliseconds of the origin's wall clock; the larger of two replaces the other.
    until : float
        Time until which the notice is valid, in this node's monotonic seconds. A time
        that has passed withdraws the notice.
    """

    endpoint: str
    sequence: int
    until: float


class DrainNoticeTable:
    """The newest notice of each endpoint.

    Notes
    -----
    Wall clocks only order the notices of the same endpoint. An error in the order lasts
    no longer than the notice itself, whose duration is limited.
    """

    def __init__(self):
        self._notices = {}
        self.generation = 0

    def take(self, notice, now):
        """Apply a notice; return whether it was newer than the known one."""
        known = self._notices.get(notice.endpoint)
        if known is not None and known.sequence >= notice.sequence:
            return False
        if known is None and len(self._notices) >= MAX_NOTICES:
            self.remove_expired(now)
        until = min(notice.until, now + MAX_NOTICE_SECONDS)
        self._notices[notice.endpoint] = DrainNotice(
            notice.endpoint, notice.sequence, until
        )
        self.generation += 1
        return True

    def remove_expired(self, now):
        """Remove the notices that expired more than `MAX_NOTICE_SECONDS` ago."""
        self._notices = {
            endpoint: notice
            for endpoint, notice in self._notices.items()
            if now < notice.until + MAX_NOTICE_SECONDS
        }

    def holds(self, endpoint, now, spare=0.0):
        """Return whether an endpoint's notice is valid for `spare` more seconds."""
        notice = self._notices.get(endpoint)
        return notice is not None and now + spare < notice.until

    def list_all(self):
        """Return all notices, including withdrawn ones."""
        return list(self._notices.values())

    def list_until(self, now):
        """Return the time until which each endpoint's notice is valid, by address."""
        return {
            endpoint: notice.until
            for endpoint, notice in self._notices.items()
            if notice.until > now
        }
