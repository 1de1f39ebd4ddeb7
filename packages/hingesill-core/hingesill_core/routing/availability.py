"""Whether endpoints take new requests of this node, by what they said themselves."""

from math import inf
from weakref import WeakValueDictionary

from msgspec import Struct

__all__ = [
    "Availability",
    "AvailabilityRegistry",
    "AvailabilityChange",
    "MAX_BACKOFF_SECONDS",
    "NO_BACKOFF",
    "RequestedBackoff",
    "INVALID_BACKOFF",
]

# Upper bound of a rest, in seconds.
MAX_BACKOFF_SECONDS = 600.0
# Rest that is assumed where its length cannot be parsed, in seconds.
UNREADABLE_SECONDS = 1.0
# Time for which an address counts as leaving, in seconds, where it identifies no life.
LEAVE_HOLDS = 30.0
# Remaining part of that time in which the endpoint is probed, in seconds.
LEAVE_RENEWAL = 10.0
# Time for which a leaving life is remembered, in seconds.
REMEMBERED_SECONDS = 3600.0
# Most lives that are remembered without being in the directory.
MOST_REMEMBERED = 65_536
# Interval of clean-ups, in seconds.
CLEAN_UP_PAUSE = 10.0


class RequestedBackoff(Struct, frozen=True):
    """What an answer says on the rest that its endpoint wants from this node.

    Parameters
    ----------
    seconds : float
        How long; 0 if it asks for none.
    is_valid : bool
        False if it asks for something that is no length of time.
    """

    seconds: float
    is_valid: bool = True


NO_BACKOFF = RequestedBackoff(0.0)
INVALID_BACKOFF = RequestedBackoff(UNREADABLE_SECONDS, is_valid=False)


class AvailabilityChange(Struct, frozen=True):
    """A rest that begins, or an endpoint's first word that it is leaving.

    Parameters
    ----------
    service, endpoint : str
        The service, and the endpoint's identity.
    born : int
        The life that said so.
    rest : float or None
        Seconds of the rest; None if the endpoint is leaving.
    availability : Availability
        Of that life, as it goes on.
    """

    service: str
    endpoint: str
    born: int
    backoff: float | None
    availability: object


class Availability(Struct, eq=False, weakref=True):
    """What one life of an endpoint said on new requests of this node.

    Attributes
    ----------
    backoff_until : float
        It asked to be left alone until then, in seconds of the node's clock.
    leaving_until, told_at : float
        Until when it counts as leaving, and when it last said so, on the same clock.
    names_life : bool
        Its identity is that of one life, which does not come back once it has left.
    """

    backoff_until: float = -inf
    leaving_until: float = -inf
    told_at: float = -inf
    names_life: bool = False

    def record_backoff(self, seconds, now):
        """Take a rest that the endpoint asks for; the longest end stands.

        Parameters
        ----------
        seconds : float
            From now on.
        now : float
            When the answer was read, in seconds of the node's clock.

        Returns
        -------
        bool
            Whether a rest begins with it.
        """
        begins = not self.is_backing_off(now)
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self.backoff_until = max(self.backoff_until, until)
        return begins and self.is_backing_off(now)

    def record_leaving(self, now):
        """Note that the endpoint is leaving; return whether that is new.

        Parameters
        ----------
        now : float
            When the answer was read, in seconds of the node's clock.
        """
        is_news = not self.is_leaving(now)
        self.told_at = now
        self.leaving_until = inf if self.names_life else now + LEAVE_HOLDS
        return is_news

    def is_leaving(self, now):
        """Tell whether the endpoint said that it is leaving."""
        return now < self.leaving_until

    def needs_leave_renewal(self, now):
        """Tell whether it has to be asked soon whether it is still leaving."""
        return self.is_leaving(now) and self.leaving_until - now < LEAVE_RENEWAL

    def is_backing_off(self, now):
        """Tell whether the endpoint wants nothing from this node."""
        return now < self.backoff_until

    def takes_requests(self, now):
        """Tell whether a request may be sent there."""
        return now >= self.backoff_until and now >= self.leaving_until

    def is_worth_keeping(self, now):
        """Tell whether it may still say something on a life that comes back."""
        return self.is_backing_off(now) or now - self.told_at < REMEMBERED_SECONDS


class AvailabilityRegistry:
    """The Availability of each endpoint's life, for all services of a node.

    Parameters
    ----------
    observe : callable
        Called with each AvailabilityChange.

    Attributes
    ----------
    names_lives : bool
        Identities are no addresses, which other endpoints may have later.

    Notes
    -----
    A life may leave the directory and come back, as its entry lapses in an outage of
    the store or its service is declared anew. What it said counts until it ends.
    """

    def __init__(self, observe=lambda change: None):
        self.observe = observe
        self.names_lives = False
        self._known = WeakValueDictionary()
        self._remembered = {}
        self._clean_up_at = -inf

    def get(self, identity, born):
        """Return the Availability of a life, made on first use.

        Parameters
        ----------
        identity : str
            The endpoint's.
        born : int
            Its life.
        """
        key = (identity, born)
        availability = self._known.get(key)
        if availability is None:
            availability = self._known[key] = Availability(names_life=self.names_lives)
        return availability

    def record_backoff(self, service, identity, born, backoff, now):
        """Take what an answer of a life says on the rest that it wants.

        Parameters
        ----------
        service, identity : str
            The service, and the endpoint's identity.
        born : int
            The life that answered.
        rest : RequestedBackoff
            In the head of the answer.
        now : float
            When that was read, in seconds of the node's clock.
        """
        if not backoff.seconds:
            return
        availability = self.get(identity, born)
        self._remember((identity, born), availability, now)
        if availability.record_backoff(backoff.seconds, now):
            self._tell(service, identity, born, backoff.seconds)

    def record_leaving(self, service, identity, born, now):
        """Note that a life is leaving by its own answer.

        Parameters
        ----------
        service, identity : str
            The service, and the endpoint's identity.
        born : int
            The life that answered.
        now : float
            When the answer was read, in seconds of the node's clock.
        """
        availability = self.get(identity, born)
        self._remember((identity, born), availability, now)
        if availability.record_leaving(now):
            self._tell(service, identity, born, None)

    def _tell(self, service, identity, born, backoff):
        availability = self.get(identity, born)
        change = AvailabilityChange(service, identity, born, backoff, availability)
        self.observe(change)

    @property
    def has_words(self):
        """Whether any life said something lately."""
        return bool(self._remembered)

    def count_backing_off(self, now):
        """Return how many lives want nothing from this node now."""
        return sum(held.is_backing_off(now) for held in self._remembered.values())

    def count_leaving(self, now):
        """Return how many lives are leaving by their own word."""
        return sum(held.is_leaving(now) for held in self._remembered.values())

    def _remember(self, key, availability, now):
        """Keep what a life said though nothing else refers to it."""
        if now >= self._clean_up_at:
            self._clean_up_at = now + CLEAN_UP_PAUSE
            self._remembered = {
                key: held
                for key, held in self._remembered.items()
                if held.is_worth_keeping(now)
            }
        if len(self._remembered) < MOST_REMEMBERED:
            self._remembered[key] = availability
