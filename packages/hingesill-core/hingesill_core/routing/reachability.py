"""Whether this node reaches the endpoints of one service at all."""

from msgspec import Struct, field

__all__ = ["Reachability", "Unanswered"]

# Endpoints that must be silent, or all of them if there are fewer.
MIN_ENDPOINTS = 3
# Seconds without any byte after which a contact counts as unanswered. A load reply
# takes a round trip, whatever the load of the endpoint.
SILENCE_SECONDS = 0.08
# The same for contacts that were reset or refused, which overloaded endpoints do too.
REFUSED_SECONDS = 0.2
# A longer pause between two assessments means that the node itself was delayed, so that
# replies may have arrived unread.
MAX_ASSESSMENT_GAP_SECONDS = 0.06


class Unanswered(Struct):
    """Contacts of one endpoint since anything was received from the service.

    Attributes
    ----------
    since : float
        Time of the first of them, in seconds of the node's clock.
    sent : int
        Number of load queries and connection attempts.
    timed_out, refused : int
        How many of them timed out, and how many were reset or refused.
    """

    since: float
    sent: int = 0
    timed_out: int = 0
    refused: int = 0

    def is_overdue(self, now):
        """Return whether the endpoint should have answered by now."""
        is_silent = self.refused < self.sent
        patience = SILENCE_SECONDS if is_silent else REFUSED_SECONDS
        return now - self.since >= patience


class Reachability(Struct):
    """What a node received from the endpoints of one service, and what it did not.

    Attributes
    ----------
    is_enabled : bool
        Whether the service may be considered out of reach. It may if the node can
        forward requests to other nodes.
    lost_at : float or None
        Time since which it is considered out of reach; None if it is not.
    assessed_at : float
        Time of the last assessment.
    heard_at : float
        Time at which any endpoint of the service last sent anything.
    unanswered : dict
        Unanswered by the identity of each endpoint contacted since then.
    left_out : int
        Load queries since then that the connection limits did not permit.
    """

    is_enabled: bool = False
    lost_at: float | None = None
    assessed_at: float = float("-inf")
    heard_at: float = float("-inf")
    unanswered: dict[str, Unanswered] = field(default_factory=dict)
    left_out: int = 0

    def record_contact(self, endpoint, now):
        """Record the start of a load query or of a connection to an endpoint."""
        contacts = self.unanswered.get(endpoint)
        if contacts is None:
            contacts = self.unanswered[endpoint] = Unanswered(now)
        contacts.sent += 1

    def record_failure(self, endpoint, timed_out):
        """Record that a contact ended without any byte from the endpoint.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        timed_out : bool
            Whether the contact timed out; otherwise it was reset or refused.
        """
        contacts = self.unanswered.get(endpoint)
        if contacts is None:
            return
        if timed_out:
            contacts.timed_out += 1
        else:
            contacts.refused += 1

    def record_left_out(self, endpoint):
        """Record that a contact was not made, as the connections are used up."""
        self.left_out += 1
        contacts = self.unanswered.get(endpoint)
        if contacts is None:
            return
        contacts.sent -= 1
        if not contacts.sent:
            del self.unanswered[endpoint]

    def record_heard(self, now):
        """Record that an endpoint of the service sent something."""
        self.heard_at = now
        self.lost_at = None
        self.left_out = 0
        if self.unanswered:
            self.unanswered.clear()

    def assess(self, endpoints, now):
        """Return whether the service is out of reach; record since when.

        Parameters
        ----------
        endpoints : collection of str
            Identities of the service's endpoints.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        Until anything is received from an endpoint, the service stays out of reach.
        Failures of a part of the endpoints are not evidence, as long as another one
        answers.
        """
        if self.lost_at is not None:
            return True
        if not self.is_enabled or not self.unanswered:
            return False
        gap, self.assessed_at = now - self.assessed_at, now
        if gap > MAX_ASSESSMENT_GAP_SECONDS:
            self._restart(now)
        overdue = sum(
            endpoint in endpoints and contacts.is_overdue(now)
            for endpoint, contacts in self.unanswered.items()
        )
        if not overdue or overdue < min(MIN_ENDPOINTS, len(endpoints)):
            return False
        self.lost_at = now
        return True

    def _restart(self, now):
        """Give all pending contacts the full time for an answer."""
        for contacts in self.unanswered.values():
            if contacts.timed_out + contacts.refused < contacts.sent:
                contacts.since = now

    def forget(self):
        """Drop all evidence, as no requests use the service now."""
        self.lost_at = None
        self.left_out = 0
        self.unanswered.clear()

    def describe(self, now):
        """Return the evidence for the log; empty without unanswered contacts."""
        if not self.unanswered:
            return {}
        contacts = self.unanswered.values()
        sent = sum(item.sent for item in contacts)
        timed_out = sum(item.timed_out for item in contacts)
        refused = sum(item.refused for item in contacts)
        return {
            "endpoints": len(self.unanswered),
            "sent": sent,
            "timed_out": timed_out,
            "refused": refused,
            "pending": sent - timed_out - refused,
            "left_out": self.left_out,
            "ms": round(1000 * (now - min(item.since for item in contacts))),
        }
