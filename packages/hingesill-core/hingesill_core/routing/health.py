"""Ejection of failing endpoints, with one trial request before the return."""

from msgspec import Struct

from hingesill_core.routing.messages import SendStatus

__all__ = ["Health"]

# Failures in a row after which an endpoint is ejected.
FAILURES_TO_EJECT = 3
# Duration of the first ejection, in seconds; each further one is twice as long.
FIRST_EJECTION_SECONDS = 0.5
# Upper bound of an ejection, in seconds.
MAX_EJECTION_SECONDS = 10.0
MAX_EJECTED_SHARE = 0.5
# Weight of the newest result in the share of faults.
FAULT_WEIGHT = 0.1
HANG_FACTOR = 20.0
HANG_FLOOR = 0.25

FAILED = frozenset(
    {SendStatus.FAULT, SendStatus.CONNECT_FAILED, SendStatus.LOST, SendStatus.LATE}
)


class Health(Struct):
    """The failure record of one endpoint at one node; times in seconds.

    Attributes
    ----------
    failed_at : float
        Time of the last failure.
    failures_to_eject : int
        Failures in a row after which it is ejected.
    max_ejection : float
        Upper bound of an ejection.

    Notes
    -----
    ``fault_share`` is a running mean that makes a failing endpoint score as slower
    long before it is ejected: one that fails fast and reports no load would
    otherwise attract all the traffic.
    """

    consecutive: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_in_flight: bool = False
    failed_at: float = float("-inf")
    fault_share: float = 0.0
    failures_to_eject: int = FAILURES_TO_EJECT
    max_ejection: float = MAX_EJECTION_SECONDS

    def record(self, end, now, may_eject):
        """Record the end of a send or a probe.

        Parameters
        ----------
        end : SendStatus
            CANCELLED and REFUSED are no evidence of health.
        now : float
            Seconds of the node's clock.
        may_eject : bool
            False while too many other endpoints are ejected.

        Returns
        -------
        bool
            Whether the endpoint returned from an ejection.
        """
        if end in FAILED:
            self._record_failure(now, may_eject)
            return False
        if end is not SendStatus.ANSWERED:
            self.trial_in_flight = False
            return False
        self.fault_share -= FAULT_WEIGHT * self.fault_share
        self.consecutive = 0
        recovered = self.trial_in_flight
        if recovered:
            self.trial_in_flight = False
            self.ejections = 0
            self.ejected_until = 0.0
        return recovered

    def _record_failure(self, now, may_eject):
        self.failed_at = now
        self.fault_share += FAULT_WEIGHT * (1 - self.fault_share)
        self.consecutive += 1
        failed_trial = self.trial_in_flight
        self.trial_in_flight = False
        if failed_trial or (self.consecutive >= self.failures_to_eject and may_eject):
            self.eject(now)

    def eject(self, now):
        """Eject the endpoint, for twice as long as the last time."""
        pause = min(self.max_ejection, FIRST_EJECTION_SECONDS * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause
        self.consecutive = 0

    def drop_failures(self, since):
        """Forget the failures, if there was one after a time that shows nothing."""
        if self.failed_at < since:
            return
        self.consecutive = self.ejections = 0
        self.ejected_until = self.fault_share = 0.0
        self.trial_in_flight = False
        self.failed_at = float("-inf")

    def is_ejected(self, now):
        """Return whether the endpoint is ejected."""
        return now < self.ejected_until

    def is_trial_due(self, now):
        """Return whether the ejection has ended and its trial request is due."""
        return 0 < self.ejected_until <= now and not self.trial_in_flight

    def accepts_traffic(self):
        """Return whether the endpoint gets ordinary traffic."""
        return self.ejected_until == 0.0
