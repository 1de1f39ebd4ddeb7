"""Signs that an endpoint is leaving, as they spread between nodes."""

from msgspec import Struct

__all__ = ["DrainNotice", "DrainNoticeTable"]

MAX_SIGNS = 10_000
LONGEST_HOLD = 3600.0


class DrainNotice(Struct, frozen=True):
    """One endpoint is leaving.

    Parameters
    ----------
    endpoint : str
        Its address.
    sequence : int
        Milliseconds of the origin's wall clock; a larger one replaces a smaller.
    until : float
        Until when it holds, in this node's monotonic seconds. A time that has
        passed takes the sign back.
    """

    endpoint: str
    sequence: int
    until: float


class DrainNoticeTable:
    """The newest sign of each endpoint.

    Notes
    -----
    Wall clocks only order the signs of one endpoint among each other. A wrong
    order ends with the sign's own time, which is bounded.
    """

    def __init__(self):
        self._signs = {}
        self.generation = 0

    def take(self, sign, now):
        """Take a sign; return whether it was news."""
        held = self._signs.get(sign.endpoint)
        if held is not None and held.sequence >= sign.sequence:
            return False
        if held is None and len(self._signs) >= MAX_SIGNS:
            self.forget_ended(now)
        until = min(sign.until, now + LONGEST_HOLD)
        self._signs[sign.endpoint] = DrainNotice(sign.endpoint, sign.sequence, until)
        self.generation += 1
        return True

    def forget_ended(self, now):
        """Drop the signs that ended a while ago."""
        self._signs = {
            endpoint: sign
            for endpoint, sign in self._signs.items()
            if now < sign.until + LONGEST_HOLD
        }

    def holds(self, endpoint, now, spare=0.0):
        """Tell whether a sign holds for some seconds more."""
        sign = self._signs.get(endpoint)
        return sign is not None and now + spare < sign.until

    def list_all(self):
        """Return all signs, those that took one back included."""
        return list(self._signs.values())

    def list_until(self, now):
        """Return until when each endpoint's sign holds, by address."""
        return {
            endpoint: sign.until
            for endpoint, sign in self._signs.items()
            if sign.until > now
        }
