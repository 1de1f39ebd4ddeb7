"""Evidence on whether this node reaches the endpoints of one service at all."""

from msgspec import Struct, field

__all__ = ["Reachability", "Unanswered"]


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


class Reachability(Struct):
    """What a node received from the endpoints of one service, and what it did not.

    Attributes
    ----------
    heard_at : float
        Time at which any endpoint of the service last sent anything.
    unanswered : dict
        Unanswered by the identity of each endpoint contacted since then.
    left_out : int
        Load queries since then that the connection limits did not permit.
    """

    heard_at: float = float("-inf")
    unanswered: dict[str, Unanswered] = field(default_factory=dict)
    left_out: int = 0

    def record_contact(self, endpoint, now):
        """Record the start of a load query or of a connection to an endpoint."""
        contacts = self.unanswered.get(endpoint)
        if contacts is None:
            contacts = self.unanswered[endpoint] = Unanswered(now)
        contacts.sent += 1

    def record_failure(self, endpoint, timed_out, now):
        """Record that a contact ended without any byte from the endpoint.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        timed_out : bool
            Whether the contact timed out; otherwise it was reset or refused.
        now : float
            Seconds of the node's clock.
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
        self.left_out = 0
        if self.unanswered:
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
