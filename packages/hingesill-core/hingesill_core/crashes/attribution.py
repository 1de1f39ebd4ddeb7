"""Attribution of endpoint crashes to one of the requests that the endpoints had."""

from msgspec import Struct

from hingesill_core.crashes.fingerprint import get_scope

__all__ = ["MIN_CRASHES", "find_clearing_time", "is_confirmed"]

# Number of crashes after which a request is quarantined, at least provisionally.
MIN_CRASHES = 3
# Number of crashes after which a quarantine is confirmed, whatever other requests were
# at the endpoints.
MIN_CRASHES_TO_CONFIRM = 5
# Maximum gap between crashes of one event, in seconds: many endpoints may crash at once
# for a reason that has nothing to do with the request.
EVENT_SECONDS = 1.0
# Maximum distance at which crashes under other requests belong to an event, in seconds;
# longer than a retry and a caller's own repeat take.
NEARBY_SECONDS = 2.0


class CrashedIncarnation(Struct, frozen=True):
    """One incarnation of an endpoint that crashed, with the requests that it had.

    Parameters
    ----------
    at : float
        Time at which the crash was first seen, in seconds of the node's clock.
    requests : frozenset of str
        Fingerprints of the requests.
    """

    at: float
    requests: frozenset


def find_clearing_time(crashes):
    """Return the time after which an answer shows that a request is harmless.

    Parameters
    ----------
    crashes : sequence of EndpointCrash
        The crashes that count against the request, at least one.

    Notes
    -----
    An answer after this time leaves fewer crashes than a quarantine needs. So an answer
    still releases the request if another node reports it after the quarantine began.
    """
    times = sorted(crash.at for crash in crashes)
    return times[-MIN_CRASHES:][0]


def is_confirmed(history, fingerprint, quarantined, was_quarantined):
    """Return whether the quarantine of a request is to be confirmed.

    Parameters
    ----------
    history : CrashHistory
        All crashes that count.
    fingerprint : str
        The request.
    quarantined : set of str
        Other requests with a confirmed quarantine: they explain their crashes.
    was_quarantined : bool
        The request had a confirmed quarantine before.

    Notes
    -----
    An unrelated request is answered as soon as an endpoint runs for the tenth of a
    second that the request takes. So the crashes must belong to two events, without an
    answer in between.

    When an endpoint crashes, all its requests are lost and sent again to the remaining
    endpoints, often to the same one, so an unrelated request may be lost together with
    the harmful one more than once. If another request explains the same crashes, or
    most crashes nearby happened without the request, more crashes are needed.
    """
    crashes = history.get_crashes(fingerprint)
    if count_events(crashes) + was_quarantined < 2:
        return False
    if len(crashes) >= MIN_CRASHES_TO_CONFIRM:
        return True
    incarnations = list_incarnations(history, get_scope(fingerprint))
    return is_best_explanation(
        fingerprint, [one for one in incarnations if not one.requests & quarantined]
    )


def count_events(crashes):
    """Return the number of events to which crashes belong."""
    times = sorted(crash.at for crash in crashes)
    gaps = zip(times, times[1:])
    return 1 + sum(later - at > EVENT_SECONDS for at, later in gaps)


def is_best_explanation(fingerprint, incarnations):
    """Return whether a request explains its crashes better than any other request."""
    own = [one for one in incarnations if fingerprint in one.requests]
    if not own:
        return False
    common = frozenset.intersection(*(one.requests for one in own))
    if len(common) > 1:
        return False
    nearby = sum(
        any(abs(one.at - mine.at) <= NEARBY_SECONDS for mine in own)
        for one in incarnations
    )
    return 2 * len(own) >= nearby


def list_incarnations(history, scope):
    """Return the crashed incarnations that fingerprints of one scope report."""
    by_endpoint = {}
    for fingerprint, crash in history.list_crashes():
        if get_scope(fingerprint) == scope:
            by_endpoint.setdefault(crash.endpoint, []).append((crash, fingerprint))
    incarnations = []
    for crashes in by_endpoint.values():
        crashes.sort(key=lambda pair: pair[0].at)
        incarnations.extend(group_by_incarnation(crashes))
    return incarnations


def group_by_incarnation(crashes):
    """Yield the incarnations of one endpoint from its crashes in order of time."""
    first, requests = None, set()
    for crash, fingerprint in crashes:
        if first is not None and not crash.is_same(first):
            yield CrashedIncarnation(first.at, frozenset(requests))
            first, requests = None, set()
        first = first or crash
        requests.add(fingerprint)
    if first is not None:
        yield CrashedIncarnation(first.at, frozenset(requests))
