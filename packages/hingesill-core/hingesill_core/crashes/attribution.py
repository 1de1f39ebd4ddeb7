"""Whether it was this request, of those that endpoints had when they ended."""

from msgspec import Struct

from hingesill_core.crashes.fingerprint import get_breadth

__all__ = ["MIN_CRASHES", "find_basis", "is_certain"]

# Endings after which a request is held back, for a moment at least.
MIN_CRASHES = 3
# Endings after which a request is held back for long, whatever else ends endpoints.
MANY_ENDINGS = 5
# Longest gap between endings of one event, in seconds: many endpoints may end at once
# for a reason of their own.
EVENT_SECONDS = 1.0
# Longest distance at which endings of other requests belong to an event, in seconds;
# longer than a retry and a caller's own repeat take.
NEAR_SECONDS = 2.0


class Life(Struct, frozen=True):
    """One life of an endpoint that ended, with the requests that it had.

    Parameters
    ----------
    at : float
        When it was first seen to have ended, in seconds of the node's clock.
    requests : frozenset of str
        Fingerprints.
    """

    at: float
    requests: frozenset


def find_basis(endings):
    """Return the time after which an answer shows that a request is harmless.

    Parameters
    ----------
    endings : sequence of Ending
        That count against it, one at least.

    Notes
    -----
    Fewer endings than needed would be left. So an answer that another node tells of
    later than the request was held back still lets it go.
    """
    times = sorted(ending.at for ending in endings)
    return times[-MIN_CRASHES:][0]


def is_certain(history, fingerprint, held, was_held):
    """Tell whether a request is to be held back for long.

    Parameters
    ----------
    history : CrashHistory
        What is known.
    fingerprint : str
        Of the request.
    held : set of str
        Requests that are held back for long: they explain the endings that they have.
    was_held : bool
        It was held back for long before.

    Notes
    -----
    Whoever was there by chance is answered as soon as an endpoint lives for the tenth
    of a second that it takes. So the endings must belong to two events, without an
    answer in between.

    An endpoint that ends takes all its requests with it, and those are sent again to
    the endpoints that are left, often to the same one, so that such a companion is lost
    with the culprit more than once. Where another request explains the same
    endings, or most endings around are not its own, it takes more of them.
    """
    endings = history.get_crashes(fingerprint)
    if count_events(endings) + was_held < 2:
        return False
    if len(endings) >= MANY_ENDINGS:
        return True
    lives = list_lives(history, get_breadth(fingerprint))
    return stands_out(fingerprint, [life for life in lives if not life.requests & held])


def count_events(endings):
    """Return the events to which endings belong."""
    times = sorted(ending.at for ending in endings)
    gaps = zip(times, times[1:])
    return 1 + sum(later - at > EVENT_SECONDS for at, later in gaps)


def stands_out(fingerprint, lives):
    """Tell whether a request is the best explanation of its endings."""
    own = [life for life in lives if fingerprint in life.requests]
    if not own:
        return False
    others = frozenset.intersection(*(life.requests for life in own))
    if len(others) > 1:
        return False
    near = sum(
        any(abs(life.at - mine.at) <= NEAR_SECONDS for mine in own) for life in lives
    )
    return 2 * len(own) >= near


def list_lives(history, breadth):
    """Return the Life of each ending by fingerprints of one breadth."""
    by_endpoint = {}
    for fingerprint, ending in history.list_crashes():
        if get_breadth(fingerprint) == breadth:
            by_endpoint.setdefault(ending.endpoint, []).append((ending, fingerprint))
    lives = []
    for endings in by_endpoint.values():
        endings.sort(key=lambda pair: pair[0].at)
        lives.extend(join_same(endings))
    return lives


def join_same(endings):
    """Yield the lives of one endpoint from its endings in order of time."""
    first, requests = None, set()
    for ending, fingerprint in endings:
        if first is not None and not ending.is_same(first):
            yield Life(first.at, frozenset(requests))
            first, requests = None, set()
        first = first or ending
        requests.add(fingerprint)
    if first is not None:
        yield Life(first.at, frozenset(requests))
