"""Ejecting an endpoint that fails and letting it back in with a trial."""

from msgspec import Struct

from hingesill_core.routing.messages import SendStatus

__all__ = ["Health"]

FAILURES_TO_EJECT = 3
FIRST_EJECTION = 0.5
LONGEST_EJECTION = 10.0
MAX_EJECTED_SHARE = 0.5
FAULT_WEIGHT = 0.1
HANG_FACTOR = 20.0
HANG_FLOOR = 0.25

FAILED = frozenset(
    {SendStatus.FAULT, SendStatus.CONNECT_FAILED, SendStatus.LOST, SendStatus.LATE}
)


class Health(Struct):
    """The record of one endpoint's failures at one node; times in seconds.

    Notes
    -----
    ``fault_share`` is a running mean that makes a failing endpoint look slower
    long before it is ejected: one that fails fast and reports no load would
    otherwise draw all the traffic.

    Attributes
    ----------
    failures_to_eject : int
        Failures in a row.
    longest : float
        Longest ejection.
    """

    consecutive: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_in_flight: bool = False
    fault_share: float = 0.0
    failures_to_eject: int = FAILURES_TO_EJECT
    longest: float = LONGEST_EJECTION

    def note(self, end, now, may_eject):
        """Take the end of a send or a probe.

        Parameters
        ----------
        end : SendStatus
            CANCELLED and REFUSED say nothing on health.
        now : float
            The time.
        may_eject : bool
            False while too many others are ejected.

        Returns
        -------
        bool
            True if the endpoint came back from an ejection.
        """
        if end in FAILED:
            self._note_failure(now, may_eject)
            return False
        if end is not SendStatus.ANSWERED:
            self.trial_in_flight = False
            return False
        self.fault_share -= FAULT_WEIGHT * self.fault_share
        self.consecutive = 0
        came_back = self.trial_in_flight
        if came_back:
            self.trial_in_flight = False
            self.ejections = 0
            self.ejected_until = 0.0
        return came_back

    def _note_failure(self, now, may_eject):
        self.fault_share += FAULT_WEIGHT * (1 - self.fault_share)
        self.consecutive += 1
        failed_trial = self.trial_in_flight
        self.trial_in_flight = False
        if failed_trial or (self.consecutive >= self.failures_to_eject and may_eject):
            self.eject(now)

    def eject(self, now):
        """Keep the endpoint out, twice as long as the last time."""
        pause = min(self.longest, FIRST_EJECTION * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause
        self.consecutive = 0

    def is_ejected(self, now):
        """Tell whether the endpoint is kept out."""
        return now < self.ejected_until

    def is_trial_due(self, now):
        """Tell whether its ejection has ended and a single trial is due."""
        return 0 < self.ejected_until <= now and not self.trial_in_flight

    def is_open(self):
        """Tell whether ordinary traffic may go there."""
        return self.ejected_until == 0.0
